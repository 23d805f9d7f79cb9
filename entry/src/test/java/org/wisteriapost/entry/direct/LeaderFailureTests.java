package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.List;

import org.hamcrest.Matchers;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Fourteen entries of one failure domain whose leader fails. The link to the store must
 * not be filled with a copy of everything for each follower. In virtual time.
 */
class LeaderFailureTests extends LeaderHarness {

	private static final long SILENCE_DETECTION_MILLIS = 1300;

	// The activation delay of three seconds, less the time of a request in transit.
	private static final long MAX_STALENESS_MILLIS = 2700;

	// The leader crashes, is rejected by the store or freezes for three seconds. If all
	// followers read, the slow link between regions would carry thirteen copies, none
	// of which arrives in time.
	@ParameterizedTest
	@EnumSource(names = { "CRASHES", "REJECTED_BY_STORE", "FREEZES" })
	void fewEntriesReadAfterLeaderFailure(Failure failure) {
		Entry leader = awaitSingleLeader();
		fail(leader, failure);
		run(8000);
		assertThat(this.maxReaders, Matchers.lessThanOrEqualTo(3));
		assertThat(this.fullAnswers, Matchers.lessThanOrEqualTo(SIZE + 2));
		assertThat(laggingEntries(), Matchers.empty());
	}

	@ParameterizedTest
	@EnumSource(names = { "CRASHES", "REJECTED_BY_STORE", "FREEZES" })
	void followersCatchUpSoonAfterFailureDetection(Failure failure) {
		Entry leader = awaitSingleLeader();
		fail(leader, failure);
		run((failure == Failure.FREEZES) ? SILENCE_DETECTION_MILLIS + 1000 : 1000);
		assertThat(laggingEntries(), Matchers.empty());
	}

	// The successor has not finished reading after half a second. The others start one
	// by one and follow the first that finishes.
	@ParameterizedTest
	@CsvSource({ "600,4", "1000,7" })
	void slowSuccessorDoesNotMakeAllEntriesRead(long readMillis, int maxConcurrentReaders) {
		Entry leader = awaitSingleLeader();
		this.readNanos = Duration.ofMillis(readMillis).toNanos();
		fail(leader, Failure.CRASHES);
		run(2 * readMillis + 300);
		assertThat(this.maxReaders, Matchers.lessThanOrEqualTo(maxConcurrentReaders));
		assertThat(laggingEntries(), Matchers.empty());
	}

	// The successor fails with the leader.
	@ParameterizedTest
	@EnumSource(names = { "CRASHES", "REJECTED_BY_STORE", "FREEZES" })
	void secondSuccessorReadsWhenFirstFails(Failure failure) {
		Entry first = awaitSingleLeader();
		fail(first, failure);
		run((failure == Failure.FREEZES) ? SILENCE_DETECTION_MILLIS : 100);
		Entry successor = this.entries.values()
			.stream()
			.filter((entry) -> entry != first && !entry.controller.isFollower())
			.findFirst()
			.orElseThrow();
		fail(successor, failure);
		run((failure == Failure.FREEZES) ? SILENCE_DETECTION_MILLIS + 1200 : 1200);
		assertThat(laggingEntries(), Matchers.empty());
		assertThat(this.maxReaders, Matchers.lessThanOrEqualTo(5));
	}

	// A sender of unsolicited updates would have a subscriber for ever and never become
	// a follower.
	@ParameterizedTest
	@EnumSource(names = { "CRASHES", "REJECTED_BY_STORE", "FREEZES" })
	void noUnsolicitedUpdatesRemainAfterFailover(Failure failure) {
		Entry leader = awaitSingleLeader();
		fail(leader, failure);
		run(8000);
		this.unsolicited.clear();
		run(2000);
		assertThat(this.unsolicited, Matchers.empty());
	}

	// If the failure is detected late, little of the bound is left. If all entries read
	// at once, they would fill a link that is slow for one already.
	@ParameterizedTest
	@CsvSource({ "FREEZES,1000,7", "FREEZES,1500,10", "STORE_SILENT,1000,7", "STORE_SILENT,1500,10" })
	void slowSuccessorDoesNotMakeAllEntriesReadAfterLateDetection(Failure failure, long readMillis,
			int maxConcurrentReaders) {
		Entry leader = awaitSingleLeader();
		this.readNanos = Duration.ofMillis(readMillis).toNanos();
		fail(leader, failure, leader);
		run(8000);
		assertThat(this.maxReaders, Matchers.lessThanOrEqualTo(maxConcurrentReaders));
		assertThat(laggingEntries(), Matchers.empty());
	}

	// The successors hear the leader well and do not read, so the follower must not
	// wait for them. Up to three of them are cut off from the store and have no state.
	@ParameterizedTest
	@CsvSource({ "SILENT_TO_ONE,0,2000", "CLOSED_TO_ONE,0,2000", "SILENT_TO_ONE,1,2300", "SILENT_TO_ONE,3,2700" })
	void followerThatAloneLosesLeaderDoesNotWaitForSuccessors(Failure failure, int rejectedSuccessors,
			long maxLagMillis) {
		Entry leader = awaitSingleLeader();
		List<Entry> ranked = rankedEntries();
		List<Entry> rejected = ranked.subList(1, rejectedSuccessors + 1);
		rejected.forEach((entry) -> this.droppingLinks.add(leader.name + " to " + entry.name));
		rejected.forEach((entry) -> fail(entry, Failure.REJECTED_BY_STORE));
		run(4000);
		ranked.getLast().maxLagNanos = 0;
		fail(leader, failure, ranked.getLast());
		run(5000);
		assertThat(ranked.getLast().maxLagNanos / 1_000_000, Matchers.lessThan(maxLagMillis));
	}

	// One follower loses the leader, some of its successors too. It reaches the store,
	// so the activation delay applies: a stale table would send requests to the old
	// service or accept revoked tokens.
	@ParameterizedTest
	@CsvSource({ "SILENT_TO_ONE,0,1", "SILENT_TO_ONE,0,5", "SILENT_TO_ONE,0,13", "SILENT_TO_ONE,1,13",
			"SILENT_TO_ONE,4,13", "SILENT_TO_ONE,12,13", "CLOSED_TO_ONE,0,13", "CLOSED_TO_ONE,4,13", "FREEZES,0,13",
			"FREEZES,1,13", "FREEZES,4,13", "STORE_SILENT,0,1", "STORE_SILENT,0,13", "STORE_SILENT,1,13",
			"STORE_SILENT,4,13" })
	void stalenessStaysWithinBoundWhenOneFollowerLosesLeader(Failure failure, int silentSuccessors, int rank) {
		Entry leader = awaitSingleLeader();
		List<Entry> ranked = rankedEntries();
		assertThat(ranked.getFirst(), Matchers.sameInstance(leader));
		Entry affected = ranked.get(rank);
		ranked.subList(1, silentSuccessors + 1)
			.forEach((entry) -> this.droppingLinks.add(entry.name + " to " + affected.name));
		this.entries.values().forEach((entry) -> entry.maxLagNanos = 0);
		fail(leader, failure, affected);
		run(8000);
		List<Entry> others = this.entries.values().stream().filter((entry) -> entry != leader).toList();
		assertThat(others.stream().map((entry) -> entry.maxLagNanos / 1_000_000).toList(),
				Matchers.everyItem(Matchers.lessThan(MAX_STALENESS_MILLIS)));
		assertThat(this.maxReaders, Matchers.lessThanOrEqualTo(5));
	}

}
