package org.wisteriapost.entry.direct;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.hamcrest.Matchers;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Some followers of a failure domain lose their leader at the same time, while the others
 * still hear it.
 */
class PartialLeaderFailureTests extends LeaderHarness {

	private static final long MAX_STALENESS_MILLIS = 3000;

	private boolean legacyPeers;

	// The other entries are of the previous version: a follower does not report when it
	// last heard its leader.
	@Override
	void deliver() {
		if (this.legacyPeers) {
			List<Sent> all = List.copyOf(this.inTransit);
			this.inTransit.clear();
			for (Sent sent : all) {
				boolean strip = sent.frame().hasNews() && !sent.frame().getNews().getCurrent();
				this.inTransit.add(strip ? new Sent(sent.from(), sent.to(),
						sent.frame()
							.toBuilder()
							.setNews(sent.frame().getNews().toBuilder().clearHeardAgoMillis())
							.build())
						: sent);
			}
		}
		super.deliver();
	}

	// During a rollout, a follower of the new version alone loses its leader.
	@ParameterizedTest
	@CsvSource({ "SILENT_TO_ONE,1", "SILENT_TO_ONE,5", "SILENT_TO_ONE,13", "STORE_SILENT,13" })
	void stalenessStaysWithinBoundAmongLegacyPeers(Failure failure, int rank) {
		Entry leader = awaitSingleLeader();
		this.legacyPeers = true;
		Entry affected = rankedEntries().get(rank);
		this.entries.values().forEach((entry) -> entry.maxLagNanos = 0);
		fail(leader, failure, affected);
		run(8000);
		assertThat(affected.maxLagNanos / 1_000_000, Matchers.lessThan(MAX_STALENESS_MILLIS));
	}

	// A link between two racks drops all frames, so some followers lose the leader, and
	// some frames between these are lost as well. All reach the store.
	@ParameterizedTest
	@CsvSource({ "1,2,0", "2,2,0", "3,3,0", "4,3,0", "5,4,0", "6,5,0", "7,6,0", "8,8,0", "9,10,0", "10,2,10", "11,3,10",
			"12,4,20", "13,5,20", "14,6,30", "15,8,30", "16,10,30", "17,2,40", "18,3,40", "19,4,40", "20,6,40" })
	void stalenessStaysWithinBoundWhenSomeFollowersLoseLeader(long seed, int affectedFollowers, int silentLinks) {
		Random random = new Random(seed);
		Entry leader = awaitSingleLeader();
		List<Entry> others = new ArrayList<>(othersThan(leader));
		Collections.shuffle(others, random);
		others.subList(0, affectedFollowers)
			.forEach((entry) -> this.droppingLinks.add(leader.name + " to " + entry.name));
		for (int i = 0; i < silentLinks; i++) {
			Entry from = others.get(random.nextInt(others.size()));
			Entry to = others.get(random.nextInt(others.size()));
			this.droppingLinks.add(from.name + " to " + to.name);
		}
		this.entries.values().forEach((entry) -> entry.maxLagNanos = 0);
		run(10_000);
		assertThat("maximum of concurrent readers: " + this.maxReaders,
				others.stream().map((entry) -> entry.maxLagNanos / 1_000_000).toList(),
				Matchers.everyItem(Matchers.lessThan(MAX_STALENESS_MILLIS)));
		assertThat(laggingEntries(), Matchers.empty());
	}

}
