package org.wisteriapost.kernel;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Guards against a resumed VM that treats state from before the suspension as fresh.
 */
class SuspensionDetectorTests {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final SuspensionDetector detector = SuspensionDetector.start(50 * NANOS_PER_MILLI, 1_000_000);

	@ParameterizedTest
	@CsvSource({ "20,20,false", "5000,5000,false", "20,10020,true", "20,600,true", "20,300,false", "20,-2000,false" })
	void wallClockAheadOfMonotonicClockIsASuspension(long monotonicMillis, long wallClockMillis, boolean suspended) {
		assertThat(
				this.detector.detectSuspension((50 + monotonicMillis) * NANOS_PER_MILLI, 1_000_000 + wallClockMillis),
				Matchers.equalTo(suspended));
	}

	// A suspension after the wall clock was set back must still be detected.
	@Test
	void eachCheckIsComparedWithThePreviousOne() {
		assertThat(this.detector.detectSuspension(70 * NANOS_PER_MILLI, 990_000), Matchers.equalTo(false));
		assertThat(this.detector.detectSuspension(90 * NANOS_PER_MILLI, 990_020), Matchers.equalTo(false));
		assertThat(this.detector.detectSuspension(110 * NANOS_PER_MILLI, 995_000), Matchers.equalTo(true));
		assertThat(this.detector.detectSuspension(130 * NANOS_PER_MILLI, 995_020), Matchers.equalTo(false));
	}

	// Slewing by a millisecond between checks must not add up to a suspension.
	@Test
	void clockSlewIsNotASuspension() {
		for (int check = 1; check < 1000; check++) {
			assertThat(this.detector.detectSuspension((50 + check * 20L) * NANOS_PER_MILLI, 1_000_000 + check * 21L),
					Matchers.equalTo(false));
		}
	}

}
