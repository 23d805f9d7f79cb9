package org.wisteriapost.policy.routing;

import java.time.Duration;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * An entry with a stale table must not reject a request for a route that has been
 * declared meanwhile: a rejection is final, so it requires a table with all active
 * declarations.
 */
class RejectionGuardTests {

	private static final long MILLI = 1_000_000;

	private final RejectionGuard guard = RejectionGuard.of(Duration.ofSeconds(2));

	@Test
	void nothingIsRejectedBeforeTheFirstConfirmation() {
		assertThat(this.guard.allows(5 * MILLI), Matchers.equalTo(false));
		assertThat(this.guard.stalenessNanos(5 * MILLI).isPresent(), Matchers.equalTo(false));
	}

	// System.nanoTime() may be negative.
	@ParameterizedTest
	@CsvSource({ "0,true", "1000,true", "1800,true", "1801,false", "60000,false" })
	void aStaleTableRejectsNothing(long stalenessMillis, boolean allowed) {
		long confirmed = -700 * MILLI;
		this.guard.confirmed(confirmed);
		assertThat(this.guard.allows(confirmed + stalenessMillis * MILLI), Matchers.equalTo(allowed));
	}

	// The monotonic clock does not count a suspension of the VM, so right after it the
	// table
	// seems a few milliseconds old. Nothing is rejected until a read that began
	// afterwards
	// has confirmed it.
	@Test
	void confirmationsBeforeASuspensionAreDiscarded() {
		this.guard.confirmed(1000 * MILLI);
		this.guard.discardBefore(1005 * MILLI);
		assertThat(this.guard.allows(1006 * MILLI), Matchers.equalTo(false));
		this.guard.confirmed(1004 * MILLI);
		assertThat(this.guard.allows(1007 * MILLI), Matchers.equalTo(false));
		this.guard.confirmed(1008 * MILLI);
		assertThat(this.guard.allows(1009 * MILLI), Matchers.equalTo(true));
	}

	@Test
	void aConfirmationOfAnEarlierTimeIsIgnored() {
		this.guard.confirmed(1000 * MILLI);
		this.guard.confirmed(400 * MILLI);
		assertThat(this.guard.stalenessNanos(1500 * MILLI).getAsLong(), Matchers.equalTo(500 * MILLI));
	}

}
