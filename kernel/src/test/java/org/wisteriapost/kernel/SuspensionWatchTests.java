package org.wisteriapost.kernel;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * A VM is suspended and goes on: its monotonic clock has stood still, the time of day has
 * not. What the process knew seems as young as before, and it isn't.
 */
class SuspensionWatchTests {

	private static final long MILLI = 1_000_000;

	private final SuspensionWatch watch = SuspensionWatch.start(50 * MILLI, 1_000_000);

	@ParameterizedTest
	@CsvSource({ "20,20,false", "5000,5000,false", "20,10020,true", "20,600,true", "20,300,false", "20,-2000,false" })
	void timeOfDayThatRunsAheadIsASuspension(long monotonicMillis, long dayMillis, boolean suspended) {
		assertThat(this.watch.woke((50 + monotonicMillis) * MILLI, 1_000_000 + dayMillis), Matchers.equalTo(suspended));
	}

	// The time of day is set back, then the VM is suspended: the next difference counts.
	@Test
	void eachLookIsComparedWithTheOneBefore() {
		assertThat(this.watch.woke(70 * MILLI, 990_000), Matchers.equalTo(false));
		assertThat(this.watch.woke(90 * MILLI, 990_020), Matchers.equalTo(false));
		assertThat(this.watch.woke(110 * MILLI, 995_000), Matchers.equalTo(true));
		assertThat(this.watch.woke(130 * MILLI, 995_020), Matchers.equalTo(false));
	}

	// A clock that is slewed by some milliseconds at each look is none.
	@Test
	void aSlowDriftIsNoSuspension() {
		for (int look = 1; look < 1000; look++) {
			assertThat(this.watch.woke((50 + look * 20L) * MILLI, 1_000_000 + look * 21L), Matchers.equalTo(false));
		}
	}

}
