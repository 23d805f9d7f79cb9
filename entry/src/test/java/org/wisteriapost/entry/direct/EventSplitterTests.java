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

	// However the bytes are cut on the way, what is passed on ends after a whole event,
	// and nothing is lost or added.
	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 7, 16, 100 })
	void passesOnWholeEventsHoweverTheBytesAreCut(int size) {
		EventSplitter splitter = new EventSplitter();
		StringBuilder passed = new StringBuilder();
		int events = 0;
		byte[] all = STREAM.getBytes(StandardCharsets.UTF_8);
		for (int from = 0; from < all.length; from += size) {
			byte[] part = java.util.Arrays.copyOfRange(all, from, Math.min(all.length, from + size));
			String whole = new String(splitter.whole(part), StandardCharsets.UTF_8);
			assertThat(whole.isEmpty() || whole.endsWith("\n\n") || whole.endsWith("\r\n\r\n"), Matchers.equalTo(true));
			events += splitter.events();
			passed.append(whole);
		}
		assertThat(passed.toString(), Matchers.equalTo(STREAM));
		assertThat(events, Matchers.equalTo(3));
		assertThat(splitter.lastId(), Matchers.equalTo(Optional.of("3")));
	}

	// The runner dies within the second event: the caller has the first one only, and the
	// run that goes on elsewhere begins after it.
	@Test
	void keepsWhatFollowsTheLastWholeEvent() {
		EventSplitter splitter = new EventSplitter();
		splitter.whole("id: 1\ndata: a\n\nid: 2\nda".getBytes(StandardCharsets.UTF_8));
		assertThat(splitter.lastId(), Matchers.equalTo(Optional.of("1")));
		assertThat(new String(splitter.rest(), StandardCharsets.UTF_8), Matchers.equalTo("id: 2\nda"));
	}

}
