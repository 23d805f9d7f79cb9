package org.wisteriapost.policy.bundle;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;

/**
 * Encodes and decodes the canonical form of stored objects: JSON with sorted keys and no
 * white space. A bundle's digest is the hash of exactly these bytes.
 */
public final class BundleCodec {

	private static final Code CONTENT_UNREADABLE = Code.error("content-unreadable",
			"An object read from the platform or a peer is not what its key says.");

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.configure(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY, true)
		.configure(MapperFeature.SORT_CREATOR_PROPERTIES_FIRST, false)
		.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
		.build();

	private BundleCodec() {
	}

	public static byte[] encode(Record value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("records of this package always encode", ex);
		}
	}

	public static Bundle bundle(byte[] bytes) {
		return decode(bytes, Bundle.class);
	}

	public static Head head(byte[] bytes) {
		return decode(bytes, Head.class);
	}

	public static VmStatus status(byte[] bytes) {
		return decode(bytes, VmStatus.class);
	}

	public static <T> T decode(byte[] bytes, Class<T> type) {
		try {
			return MAPPER.readValue(bytes, type);
		}
		catch (IOException ex) {
			throw CodedException.of(CONTENT_UNREADABLE, type.getSimpleName() + ": " + ex.getMessage(), ex);
		}
	}

}
