package org.wisteriapost.entry.direct;

import java.time.Duration;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;

class GracefulShutdownTests {

	private static final long MILLI = 1_000_000;

	private static final Duration GRACE = Duration.ofSeconds(8);

	private final GracefulShutdown shutdown = new GracefulShutdown(GRACE);

	// A stream accepted 3.4 s after the signal that takes 4 s on a slow engine would be
	// cut off at the end of the grace period; if refused, another entry serves it.
	@ParameterizedTest
	@CsvSource({ "100,false", "2800,false", "3000,true", "3440,true", "7000,true" })
	void refusesRequestsThatMightBeCutOff(long millis, boolean refused) {
		this.shutdown.begin(0);
		assertThat(this.shutdown.refusesRequests(millis * MILLI), Matchers.equalTo(refused));
	}

	@ParameterizedTest
	@CsvSource({ "0,1000,false", "0,2700,true", "1,6900,false", "1,7700,true" })
	void exitsAfterTheLastAnswerAndBeforeTheGracePeriodEnds(int inProgress, long millis, boolean mayExit) {
		this.shutdown.begin(0);
		assertThat(this.shutdown.mayExit(inProgress, millis * MILLI), Matchers.equalTo(mayExit));
	}

	// Guards against a request that is passed on after the process has decided to exit.
	@Test
	void refusesRequestsOnceTheProcessMayExit() {
		this.shutdown.begin(0);
		assertThat(this.shutdown.refusesRequests(2700 * MILLI), Matchers.is(false));
		assertThat(this.shutdown.mayExit(0, 2700 * MILLI), Matchers.is(true));
		assertThat(this.shutdown.refusesRequests(2700 * MILLI), Matchers.is(true));
		assertThat(this.shutdown.mayExit(1, 2710 * MILLI), Matchers.is(true));
	}

	@ParameterizedTest
	@CsvSource({ "7300,false", "7500,true" })
	void requestsEndBeforeTheProcessExits(long millis, boolean end) {
		this.shutdown.begin(0);
		assertThat(this.shutdown.endsRequests(millis * MILLI), Matchers.equalTo(end));
		assertThat(this.shutdown.mayExit(1, millis * MILLI), Matchers.is(false));
	}

	@Test
	void refusesNothingBeforeShutdown() {
		assertThat(this.shutdown.refusesRequests(Long.MAX_VALUE), Matchers.equalTo(false));
		assertThat(this.shutdown.mayExit(0, Long.MAX_VALUE), Matchers.equalTo(false));
	}

}
