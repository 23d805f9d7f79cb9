package org.wisteriapost.standin;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * JSON encoding and decoding for the stand-ins and their tools.
 */
final class Json {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
		.configure(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS, true)
		.build();

	private Json() {
	}

	static byte[] write(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("cannot encode as JSON: " + value, ex);
		}
	}

	static <T> T read(byte[] bytes, Class<T> type) {
		try {
			return MAPPER.readValue(bytes, type);
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("cannot parse " + type.getSimpleName() + ": " + ex.getMessage(), ex);
		}
	}

	static JsonNode tree(byte[] bytes) {
		return read(bytes, JsonNode.class);
	}

}
