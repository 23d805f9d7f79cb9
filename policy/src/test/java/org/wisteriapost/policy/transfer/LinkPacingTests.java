package org.wisteriapost.policy.transfer;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class LinkPacingTests {

	private static final long SECOND = 1_000_000_000;

	@ParameterizedTest
	@CsvSource({ "0, 800", "0.5, 500", "1, 200", "7, 200", "-1, 800" })
	void rateFallsWithLatenessButNeverToZero(double lateness, double rate) {
		assertThat(new LinkShare(1000, 0.8, 0.2).rate(lateness), is(closeTo(rate, 1e-6)));
	}

	@Test
	void shareWhileLateNeverExceedsTheNormalShare() {
		assertThat(new LinkShare(1000, 0.3, 0.9).rate(1), is(300.0));
	}

	// An engine that has just started holds no weights and receives no requests, so each
	// unused tenth of its link delays its first response.
	@Test
	void idleRateUsesNearlyTheWholeLink() {
		assertThat(new LinkShare(1000, 0.85, 0.3).idleRate(), is(closeTo(970, 1e-6)));
	}

	@Test
	void averageRateStaysWithinTheLimitAndBurst() {
		TokenBucket pacer = TokenBucket.create(0.1);
		pacer.setRate(1000, 0);
		int sent = 0;
		for (long now = 0; now < 10 * SECOND; now += SECOND / 1000) {
			if (pacer.delayNanos(now) == 0) {
				pacer.consume(50);
				sent += 50;
			}
		}
		assertThat(sent, is(lessThanOrEqualTo(10 * 1000 + 100 + 50)));
		assertThat(sent, is(greaterThan(9500)));
	}

	@Test
	void noDelayWithoutARate() {
		TokenBucket pacer = TokenBucket.create(0.1);
		pacer.consume(1_000_000);
		assertThat(pacer.delayNanos(1), is(0L));
	}

	@Test
	void burstIsBoundedAfterALongPause() {
		TokenBucket pacer = TokenBucket.create(0.1);
		pacer.setRate(1000, 0);
		assertThat(pacer.delayNanos(3600 * SECOND), is(0L));
		pacer.consume(101);
		assertThat(pacer.delayNanos(3600 * SECOND), is(greaterThan(0L)));
	}

}
