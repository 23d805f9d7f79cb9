package org.wisteriapost.protocol.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

class EventBoundaryTests {

	// Guards against a stream that is broken off and counts as complete.
	@ParameterizedTest
	@ValueSource(strings = { "d", "data: 1", "data: 1\n", "data: 1\r\n", "data: 1\r\n\r", "data: 1\n\nid: 2\n",
			"data: 1\n\ni", "\nid: 1", "data: 1\n\n\nid: 2", "data: [DONE]\n" })
	void streamThatEndsWithinAnEvent(String stream) {
		assertThat(read(stream).withinEvent(), equalTo(true));
	}

	// Guards against a complete stream that counts as broken off.
	@ParameterizedTest
	@ValueSource(strings = { "", "\n", "data: 1\n\n", "data: 1\r\n\r\n", "data: 1\n\r\n", "data: 1\r\n\n",
			"data: 1\n\n\n", "data: 1\r\n\r\n\r\n", ": comment\n\n", "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n" })
	void streamThatEndsAfterAnEvent(String stream) {
		assertThat(read(stream).withinEvent(), equalTo(false));
	}

	@ParameterizedTest
	@CsvSource({ "text/event-stream, true", "text/event-stream; charset=utf-8, true", "Text/Event-Stream, true",
			"application/json, false", "'', false" })
	void mediaTypeOfEventStreams(String type, boolean expected) {
		assertThat(EventBoundary.isEventStream(Map.of("content-type", type)), equalTo(expected));
	}

	private static EventBoundary read(String stream) {
		EventBoundary boundary = new EventBoundary();
		boundary.read(stream.getBytes(StandardCharsets.UTF_8));
		return boundary;
	}

}
