package org.wisteriapost.entry.direct;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Fourteen entries of one failure domain replace a leader that still sends heartbeats. In
 * virtual time.
 */
class LeaderChangeTests extends LeaderHarness {

	private static final long MAX_STALENESS_MILLIS = 3000;

	// The leader's watch of routes hangs while its heartbeats go on. Followers must not
	// keep a table with moved routes and revoked tokens.
	@Test
	void leaderWithStaleRoutesIsReplaced() {
		Entry leader = awaitSingleLeader();
		this.entries.values().forEach((entry) -> entry.maxStalenessNanos = 0);
		fail(leader, Failure.ROUTES_SILENT, leader);
		run(9000);
		assertThat(othersThan(leader).stream().map((entry) -> entry.maxStalenessNanos / 1_000_000).toList(),
				Matchers.everyItem(Matchers.lessThan(MAX_STALENESS_MILLIS)));
		assertThat(othersThan(leader).stream().map((entry) -> entry.maxLagNanos / 1_000_000).toList(),
				Matchers.everyItem(Matchers.lessThan(1000L)));
		assertThat(this.maxReaders, Matchers.lessThanOrEqualTo(3));
	}

	// The link to the store is too full for any read of routes. If all entries read, it
	// would stay full.
	@Test
	void staleRoutesEverywhereDoNotMakeAllEntriesRead() {
		awaitSingleLeader();
		this.entries.values().forEach((entry) -> entry.routesSilentNanos = now());
		run(12_000);
		assertThat(this.maxReaders, Matchers.lessThanOrEqualTo(5));
		assertThat(laggingEntries(), Matchers.empty());
	}

	// After a leader has frozen, a single leader is restored within seconds, and no
	// follower lacks updates in the meantime.
	@Test
	void singleLeaderIsRestoredAfterFreeze() {
		Entry first = awaitSingleLeader();
		fail(first, Failure.FREEZES);
		run(8000);
		this.entries.values().forEach((entry) -> entry.maxLagNanos = 0);
		run(8000);
		assertThat(this.entries.values().stream().filter((entry) -> !entry.controller.isFollower()).toList(),
				Matchers.hasSize(1));
		assertThat(this.entries.values().stream().map((entry) -> entry.maxLagNanos / 1_000_000).toList(),
				Matchers.everyItem(Matchers.lessThan(500L)));
		this.unsolicited.clear();
		run(2000);
		assertThat(this.unsolicited, Matchers.empty());
	}

}
