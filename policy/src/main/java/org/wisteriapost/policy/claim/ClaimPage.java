package org.wisteriapost.policy.claim;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;

/**
 * The value of one claim object: all keys of one slot of time and one shard. A page of a
 * later slot takes the object over, so that the objects do not grow in number; from then
 * on the earlier slot's keys are refused, never taken for new.
 *
 * @param slot counts slots of time since 1970
 * @param records one for each key
 */
record ClaimPage(long slot, List<ClaimRecord> records) {

	/** Nothing was ever claimed here. */
	static final ClaimPage NONE = new ClaimPage(-1, List.of());

	private static final Code CLAIMS_UNREADABLE = Code.error("claims-unreadable",
			"A claim object in the platform is not what was written there.");

	private static final ObjectMapper MAPPER = new ObjectMapper();

	ClaimPage {
		records = List.copyOf(records);
	}

	/**
	 * Returns the page in a value.
	 */
	static ClaimPage decode(byte[] value) {
		try {
			return MAPPER.readValue(value, ClaimPage.class);
		}
		catch (IOException ex) {
			throw CodedException.of(CLAIMS_UNREADABLE, ex.getMessage(), ex);
		}
	}

	byte[] encode() {
		try {
			return MAPPER.writeValueAsBytes(this);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("records of texts and bytes always encode", ex);
		}
	}

	Optional<ClaimRecord> find(String key) {
		return this.records.stream().filter((record) -> record.key().equals(key)).findFirst();
	}

	ClaimPage with(ClaimRecord record) {
		List<ClaimRecord> more = new ArrayList<>(this.records);
		more.removeIf((one) -> one.key().equals(record.key()));
		more.add(record);
		return new ClaimPage(this.slot, more);
	}

	ClaimPage without(String key) {
		return new ClaimPage(this.slot, this.records.stream().filter((record) -> !record.key().equals(key)).toList());
	}

}
