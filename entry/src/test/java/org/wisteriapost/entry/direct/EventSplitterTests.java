package org.wisteriapost.entry.direct;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;

class EventSplitterTests {

	private static final String STREAM = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";

	// Chunk boundaries may fall anywhere; no byte is lost or added.
	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 7, 16, 100 })
	void forwardsOnlyCompleteEventsForAnyChunkSize(int size) {
		EventSplitter splitter = new EventSplitter();
		StringBuilder forwarded = new StringBuilder();
		int events = 0;
		byte[] all = STREAM.getBytes(StandardCharsets.UTF_8);
		for (int from = 0; from < all.length; from += size) {
			byte[] part = java.util.Arrays.copyOfRange(all, from, Math.min(all.length, from + size));
			String whole = new String(splitter.completeEvents(part), StandardCharsets.UTF_8);
			assertThat(whole.isEmpty() || whole.endsWith("\n\n") || whole.endsWith("\r\n\r\n"), Matchers.equalTo(true));
			events += splitter.eventCount();
			forwarded.append(whole);
		}
		assertThat(forwarded.toString(), Matchers.equalTo(STREAM));
		assertThat(events, Matchers.equalTo(3));
		assertThat(splitter.lastEventId(), Matchers.equalTo(Optional.of("3")));
	}

	// The runner fails within the second event: the caller has received only the first,
	// and the stream is resumed after it.
	@Test
	void retainsAnIncompleteEvent() {
		EventSplitter splitter = new EventSplitter();
		splitter.completeEvents("id: 1\ndata: a\n\nid: 2\nda".getBytes(StandardCharsets.UTF_8));
		assertThat(splitter.lastEventId(), Matchers.equalTo(Optional.of("1")));
		assertThat(splitter.withinEvent(), Matchers.equalTo(true));
		String rest = new String(splitter.completeEvents("ta: b\n\n".getBytes(StandardCharsets.UTF_8)),
				StandardCharsets.UTF_8);
		assertThat(rest, Matchers.equalTo("id: 2\ndata: b\n\n"));
	}

	// Guards against a complete stream that counts as broken off for a surplus line end.
	@ParameterizedTest
	@ValueSource(strings = { "", "\n", "\n\n" })
	void surplusEmptyLinesAreWithinNoEvent(String surplus) {
		EventSplitter splitter = new EventSplitter();
		byte[] stream = ("id: 1\ndata: a\n\n" + surplus).getBytes(StandardCharsets.UTF_8);
		splitter.completeEvents(stream);
		assertThat(splitter.eventCount(), Matchers.equalTo(1));
		assertThat(splitter.withinEvent(), Matchers.equalTo(false));
	}

}
