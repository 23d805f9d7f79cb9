package org.wisteriapost.policy.transfer;

import java.util.ArrayDeque;
import java.util.Deque;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;

class RequestWindowTests {

	private static final long MILLI = 1_000_000;

	private static final double PART_BYTES = 7_980;

	private final RequestWindow window = new RequestWindow(8);

	// At its declared capacity the window opens fully. At a fifth of it at most four
	// parts are in flight, so that a request to the engine waits a quarter of a second
	// behind them instead of two; below that, a single part.
	@ParameterizedTest
	@CsvSource({ "665000,8,8", "118000,1,4", "44000,1,1" })
	void windowFollowsTheLinkCapacity(double bytesPerSecond, int min, int max) {
		long part = (long) (PART_BYTES / 665_000 * 1000 * MILLI);
		this.window.recordResponseTime(part, 0);
		long interval = (long) (PART_BYTES / bytesPerSecond * 1000 * MILLI);
		Deque<Long> sent = new ArrayDeque<>();
		long now = 0;
		for (int answer = 0; answer < 80; answer++) {
			while (sent.size() < Math.max(1, this.window.size())) {
				sent.add(now);
			}
			now += interval;
			this.window.recordResponseTime(now - sent.remove(), now);
		}
		assertThat(this.window.size(),
				Matchers.allOf(Matchers.greaterThanOrEqualTo(min), Matchers.lessThanOrEqualTo(max)));
	}

	// A peer's own link is saturated, while fast responses of the others show that the
	// local link is not.
	@Test
	void oneSlowPeerDoesNotShrinkTheWindow() {
		for (int answer = 0; answer < 40; answer++) {
			this.window.recordResponseTime((answer % 3 == 0) ? 1500 * MILLI : 60 * MILLI, answer * 100 * MILLI);
		}
		assertThat(this.window.size(), Matchers.equalTo(8));
	}

	@Test
	void partsThatAreLateTogetherCountOnce() {
		for (int chunk = 0; chunk < 6; chunk++) {
			this.window.recordResponseTime(100 * MILLI, chunk);
		}
		for (int chunk = 0; chunk < 8; chunk++) {
			this.window.recordLate(1000 * MILLI + chunk);
		}
		assertThat(this.window.size(), Matchers.equalTo(4));
	}

}
