package org.wisteriapost.policy.routing;

import java.time.Duration;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * A caller is told that there is no such route, though it was declared long before. The
 * entry's table was old: the way to the store was full. An answer of that kind is final,
 * so it may rest only on a table that holds all that binds.
 */
class RejectionGuardTests {

	private static final long MILLI = 1_000_000;

	private final RejectionGuard guard = RejectionGuard.of(Duration.ofSeconds(2));

	@Test
	void nothingIsRejectedBeforeAnythingIsKnown() {
		assertThat(this.guard.allows(5 * MILLI), Matchers.equalTo(false));
		assertThat(this.guard.ageNanos(5 * MILLI).isPresent(), Matchers.equalTo(false));
	}

	// A clock that starts below zero, as the process's own may, counts like any other.
	@ParameterizedTest
	@CsvSource({ "0,true", "1000,true", "1800,true", "1801,false", "60000,false" })
	void anOldTableRejectsNothing(long ageMillis, boolean allowed) {
		long confirmed = -700 * MILLI;
		this.guard.confirmed(confirmed);
		assertThat(this.guard.allows(confirmed + ageMillis * MILLI), Matchers.equalTo(allowed));
	}

	// The VM is suspended for ten seconds, which its own clock does not count: right
	// after waking the table seems a few milliseconds old. Nothing is rejected until
	// something asked for since has confirmed it.
	@Test
	void afterASuspensionNothingThatWasKnownBeforeCounts() {
		this.guard.confirmed(1000 * MILLI);
		this.guard.doubt(1005 * MILLI);
		assertThat(this.guard.allows(1006 * MILLI), Matchers.equalTo(false));
		this.guard.confirmed(1004 * MILLI);
		assertThat(this.guard.allows(1007 * MILLI), Matchers.equalTo(false));
		this.guard.confirmed(1008 * MILLI);
		assertThat(this.guard.allows(1009 * MILLI), Matchers.equalTo(true));
	}

	@Test
	void whatIsConfirmedForAnEarlierMomentChangesNothing() {
		this.guard.confirmed(1000 * MILLI);
		this.guard.confirmed(400 * MILLI);
		assertThat(this.guard.ageNanos(1500 * MILLI).getAsLong(), Matchers.equalTo(500 * MILLI));
	}

}
