package org.wisteriapost.policy.transfer;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;

class RequestWindowTests {

	private static final long MILLI = 1_000_000;

	private final RequestWindow window = new RequestWindow(8);

	// All that is asked for shares the VM's link. On one that carries what it is declared
	// to the window opens; on one that carries a fifth of it at most two pieces of 32 KB
	// are on their way, so that a request of the engine waits for half a second behind
	// them and not for two.
	@ParameterizedTest
	@CsvSource({ "665000,8,8", "118000,1,2" })
	void theWindowFollowsTheLink(double bytesPerSecond, int least, int most) {
		long now = 0;
		for (int piece = 0; piece < 40; piece++) {
			long took = (long) (this.window.size() * 32_768 / bytesPerSecond * 1000 * MILLI);
			now += took / this.window.size();
			this.window.answered(took, now);
		}
		assertThat(this.window.size(),
				Matchers.allOf(Matchers.greaterThanOrEqualTo(least), Matchers.lessThanOrEqualTo(most)));
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
