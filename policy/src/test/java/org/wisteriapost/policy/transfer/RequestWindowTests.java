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

	// All that is asked for shares the VM's link. On one that carries what it is declared
	// to the window opens; on one that carries a fifth of it at most four parts of 8 KB
	// are on their way, so that a request of the engine waits for a quarter of a second
	// behind them and not for two, and on one that carries less a single part.
	@ParameterizedTest
	@CsvSource({ "665000,8,8", "118000,1,4", "44000,1,1" })
	void theWindowFollowsTheLink(double bytesPerSecond, int least, int most) {
		long part = (long) (PART_BYTES / 665_000 * 1000 * MILLI);
		this.window.answered(part, 0);
		long each = (long) (PART_BYTES / bytesPerSecond * 1000 * MILLI);
		Deque<Long> asked = new ArrayDeque<>();
		long now = 0;
		for (int answer = 0; answer < 80; answer++) {
			while (asked.size() < Math.max(1, this.window.size())) {
				asked.add(now);
			}
			now += each;
			this.window.answered(now - asked.remove(), now);
		}
		assertThat(this.window.size(),
				Matchers.allOf(Matchers.greaterThanOrEqualTo(least), Matchers.lessThanOrEqualTo(most)));
	}

	// One of several peers has a link of its own that is full. What comes quickly from
	// the others shows that this VM's link is not.
	@Test
	void onePeerThatIsSlowNarrowsNothing() {
		for (int answer = 0; answer < 40; answer++) {
			this.window.answered((answer % 3 == 0) ? 1500 * MILLI : 60 * MILLI, answer * 100 * MILLI);
		}
		assertThat(this.window.size(), Matchers.equalTo(8));
	}

	@Test
	void piecesThatAreLateTogetherCountOnce() {
		for (int piece = 0; piece < 6; piece++) {
			this.window.answered(100 * MILLI, piece);
		}
		for (int piece = 0; piece < 8; piece++) {
			this.window.late(1000 * MILLI + piece);
		}
		assertThat(this.window.size(), Matchers.equalTo(4));
	}

}
