package org.wisteriapost.protocol.outside.http;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Encodes and decodes JSON of the external systems; unknown members are ignored.
 */
final class Json {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
		.configure(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES, true)
		.build();

	private Json() {
	}

	static <T> T read(byte[] bytes, Class<T> type) {
		try {
			T value = MAPPER.readValue(bytes, type);
			if (value == null) {
				throw new IllegalArgumentException("JSON null instead of " + type.getSimpleName());
			}
			return value;
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("not a valid " + type.getSimpleName() + ": " + ex.getMessage(), ex);
		}
	}

	static byte[] write(Record value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("record cannot be encoded as JSON", ex);
		}
	}

}
