package org.wisteriapost.entry.direct;

import java.time.Duration;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;

class DepartureTests {

	private static final long MILLI = 1_000_000;

	private static final Duration GRACE = Duration.ofSeconds(8);

	private final Departure departure = new Departure(GRACE);

	// A stream that is taken 3.4 s after the signal and lasts 4 s at a slow engine is cut
	// when the process has to end. So nothing is taken later than 3 s after the signal:
	// what is refused goes to another entry, what was taken ends whole.
	@ParameterizedTest
	@CsvSource({ "100,false", "2800,false", "3000,true", "3440,true", "7000,true" })
	void takesNothingThatMightNotEnd(long millis, boolean refuses) {
		this.departure.leave(0);
		assertThat(this.departure.refuses(millis * MILLI), Matchers.equalTo(refuses));
	}

	@ParameterizedTest
	@CsvSource({ "0,1000,false", "0,2700,true", "1,6900,false", "1,7700,true" })
	void endsWhenTheLastAnswerIsOutAndBeforeItWouldBeKilled(int inProgress, long millis, boolean over) {
		this.departure.leave(0);
		assertThat(this.departure.over(inProgress, millis * MILLI), Matchers.equalTo(over));
	}

	@Test
	void anEntryThatStaysRefusesNothing() {
		assertThat(this.departure.refuses(Long.MAX_VALUE), Matchers.equalTo(false));
		assertThat(this.departure.over(0, Long.MAX_VALUE), Matchers.equalTo(false));
	}

}
