package org.wisteriapost.policy.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.policy.fleet.StoreRole.Step;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Entries of one failure domain with a leader that reads the site's store. When it fails,
 * followers must not keep using its last state: callers would be sent to runners that
 * have left, and refused for routes that exist.
 */
class StoreRoleTests {

	private static final long MILLI = 1_000_000;

	private static final long TICK = 100 * MILLI;

	private final Group group = new Group(10);

	@ParameterizedTest
	@ValueSource(ints = { 2, 3, 10, 40 })
	void oneEntryOfTheGroupReadsAndTheOthersFollow(int size) {
		Group entries = new Group(size);
		entries.run(3000);
		assertThat(entries.readers(), Matchers.hasSize(1));
	}

	// After the leader timeout no follower is without a leader, and in the end one entry
	// reads for all again. At most two resume reading: copies for all would fill a narrow
	// link to the store.
	@ParameterizedTest
	@EnumSource
	void followersFailOverWithinTheLeaderTimeout(Loss loss) {
		this.group.run(3000);
		String leader = this.group.readers().iterator().next();
		this.group.resumedReads = 0;
		this.group.lose(leader, loss);
		this.group.run(StoreRole.LEADER_TIMEOUT_MILLIS + 200);
		assertThat(this.group.withoutLeader(leader), Matchers.empty());
		this.group.run(5000);
		Set<String> readers = this.group.readers();
		readers.remove(leader);
		assertThat(readers, Matchers.hasSize(1));
		assertThat(this.group.resumedReads, Matchers.lessThanOrEqualTo(2));
	}

	// This entry alone has lost the leader, or the store refuses all others: each peer
	// answers that it does not read. The entry must then read itself, in bounded time.
	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 10, 40 })
	void entryWithoutASuccessorReadsItself(int others) {
		Set<String> group = new TreeSet<>();
		IntStream.range(0, others).forEach((i) -> group.add("entry-" + i));
		String self = RendezvousHashing.rank(IntStream.range(0, 1000).mapToObj((i) -> "self-" + i).toList(), "store")
			.getLast();
		StoreRole role = StoreRole.of(self);
		List<Step> steps = new ArrayList<>();
		long now = 0;
		for (; !role.isFollower(); now += TICK) {
			for (Step step : role.tick(group, true, now)) {
				if (step instanceof Step.Ask ask) {
					role.statusReceived(ask.entry(), true, true, now);
				}
			}
		}
		long lostAt = now;
		for (; role.isFollower(); now += TICK) {
			steps.addAll(role.tick(group, false, now));
			for (String peer : group) {
				steps.addAll(role.statusReceived(peer, false, false, now));
			}
		}
		assertThat(steps.getLast(), Matchers.equalTo(new Step.Read()));
		assertThat(now - lostAt, Matchers.lessThanOrEqualTo(StoreRole.MAX_FAILOVER_MILLIS * MILLI + TICK));
	}

	// Half of the entries have lost their link to the leader. Further entries read then,
	// and no entry is without updates.
	@Test
	void twoLeadersDoNoHarm() {
		this.group.run(3000);
		String leader = this.group.readers().iterator().next();
		this.group.names()
			.stream()
			.filter((name) -> !name.equals(leader))
			.limit(5)
			.forEach((name) -> this.group.unlinkedPeers.computeIfAbsent(name, (key) -> new TreeSet<>()).add(leader));
		this.group.run(6000);
		assertThat(this.group.withoutLeader(""), Matchers.empty());
		assertThat(this.group.readers().size(), Matchers.lessThanOrEqualTo(3));
	}

	@Test
	void entryWithFollowersDoesNotStopReading() {
		StoreRole role = StoreRole.of("z");
		for (int i = 0; i < 50; i++) {
			assertThat(role.tick(Set.of("a", "b", "c"), false, i * TICK), Matchers.empty());
		}
		assertThat(role.isFollower(), Matchers.equalTo(false));
	}

	@Test
	void updatesOfPeersThatWereNotAskedAreIgnored() {
		StoreRole role = StoreRole.of("z");
		role.tick(Set.of("a"), true, 0);
		assertThat(role.acceptsUpdatesFrom("a"), Matchers.equalTo(false));
		assertThat(role.statusReceived("a", true, true, TICK), Matchers.empty());
	}

	/** How a leader fails. */
	enum Loss {

		/** Its links close. */
		DIES,
		/** It sends nothing and its links stay open. */
		HANGS,
		/** The store does not answer it, which it reports. */
		REFUSED_BY_STORE

	}

	/** Entries that are linked to each other, in virtual time. */
	private static final class Group {

		private final Map<String, StoreRole> roles = new HashMap<>();

		private final Map<String, Set<String>> followers = new HashMap<>();

		private final Map<String, Loss> losses = new HashMap<>();

		private final Map<String, Set<String>> unlinkedPeers = new HashMap<>();

		private long now;

		private int resumedReads;

		private Group(int size) {
			for (int i = 0; i < size; i++) {
				this.roles.put("entry-" + i, StoreRole.of("entry-" + i));
				this.followers.put("entry-" + i, new TreeSet<>());
			}
		}

		private Set<String> names() {
			return new TreeSet<>(this.roles.keySet());
		}

		private void lose(String name, Loss loss) {
			this.losses.put(name, loss);
		}

		private void run(long millis) {
			for (long until = this.now + millis * MILLI; this.now < until; this.now += TICK) {
				names().forEach(this::tick);
				names().forEach(this::sendHeartbeats);
			}
		}

		private void tick(String name) {
			if (unresponsive(name)) {
				return;
			}
			Set<String> others = names();
			others.remove(name);
			others.removeIf((other) -> this.losses.get(other) == Loss.DIES);
			others.removeAll(this.unlinkedPeers.getOrDefault(name, Set.of()));
			boolean mayFollow = this.followers.get(name).isEmpty() && !this.losses.containsKey(name);
			carryOut(name, this.roles.get(name).tick(others, mayFollow, this.now));
		}

		private void sendHeartbeats(String name) {
			if (unresponsive(name)) {
				return;
			}
			boolean current = !this.roles.get(name).isFollower() && !this.losses.containsKey(name);
			for (String peer : List.copyOf(this.followers.get(name))) {
				if (!this.unlinkedPeers.getOrDefault(peer, Set.of()).contains(name)) {
					carryOut(peer, this.roles.get(peer).statusReceived(name, current, true, this.now));
				}
			}
		}

		private void carryOut(String name, List<Step> steps) {
			for (Step step : steps) {
				switch (step) {
					case Step.Ask ask -> this.followers.get(ask.entry()).add(name);
					case Step.Dismiss dismiss -> this.followers.get(dismiss.entry()).remove(name);
					case Step.Rest rest -> {
					}
					case Step.Read read -> this.resumedReads++;
				}
			}
		}

		private boolean unresponsive(String name) {
			Loss loss = this.losses.get(name);
			return loss == Loss.DIES || loss == Loss.HANGS;
		}

		private Set<String> readers() {
			Set<String> readers = names();
			readers.removeIf((name) -> this.roles.get(name).isFollower());
			return readers;
		}

		// The followers without a working leader.
		private List<String> withoutLeader(String except) {
			List<String> affected = new ArrayList<>();
			for (String name : names()) {
				boolean informed = names().stream()
					.anyMatch((other) -> this.followers.get(other).contains(name) && !this.losses.containsKey(other)
							&& !this.roles.get(other).isFollower()
							&& !this.unlinkedPeers.getOrDefault(name, Set.of()).contains(other));
				if (!name.equals(except) && this.roles.get(name).isFollower() && !informed) {
					affected.add(name);
				}
			}
			return affected;
		}

	}

}
