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
 * The value of one claim object: the records of all keys of one time slot and shard.
 * Later slots reuse the object, which bounds the number of objects; keys of the earlier
 * slot are then rejected as expired and never taken for new.
 *
 * @param slot index of the time slot since 1970
 * @param records one per key
 */
record ClaimPage(long slot, List<ClaimRecord> records) {

	/** The state before the first claim. */
	static final ClaimPage EMPTY = new ClaimPage(-1, List.of());

	private static final Code CLAIMS_UNREADABLE = Code.error("claims-unreadable",
			"A claim object in the platform is not what was written there.");

	private static final ObjectMapper MAPPER = new ObjectMapper();

	ClaimPage {
		records = List.copyOf(records);
	}

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
		List<ClaimRecord> updated = new ArrayList<>(this.records);
		updated.removeIf((existing) -> existing.key().equals(record.key()));
		updated.add(record);
		return new ClaimPage(this.slot, updated);
	}

	ClaimPage without(String key) {
		return new ClaimPage(this.slot, this.records.stream().filter((record) -> !record.key().equals(key)).toList());
	}

}
