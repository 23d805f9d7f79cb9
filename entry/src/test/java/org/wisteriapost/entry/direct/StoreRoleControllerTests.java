package org.wisteriapost.entry.direct;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.fleet.LinkedEntry;
import org.wisteriapost.policy.fleet.RendezvousHashing;
import org.wisteriapost.policy.fleet.StoreRole;
import org.wisteriapost.policy.fleet.UpstreamSelector;
import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.wire.Frame;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Two entries of one failure domain. The leader, the first by rendezvous hashing, reads
 * the store for both; the follower's state must match the store.
 */
class StoreRoleControllerTests {

	private static final long TICK = 100_000_000;

	private final DecisionLog log = DecisionLog.start("test", new PrintStream(OutputStream.nullOutputStream()));

	private final String leaderName = RendezvousHashing.rank(List.of("a", "b"), "store").getFirst();

	private final String followerName = this.leaderName.equals("a") ? "b" : "a";

	private final Entry leader = new Entry(this.leaderName);

	private final Entry follower = new Entry(this.followerName);

	private boolean linked = true;

	private long now;

	StoreRoleControllerTests() {
		this.leader.other = this.follower;
		this.follower.other = this.leader;
	}

	@AfterEach
	void stop() {
		this.log.close();
	}

	private void run(int ticks) {
		for (int i = 0; i < ticks; i++) {
			this.now += TICK;
			this.leader.tick();
			this.follower.tick();
		}
	}

	private void bothRead(long at, ObjectStore.Item... runners) {
		for (Entry entry : List.of(this.leader, this.follower)) {
			for (ObjectKind kind : ObjectKind.values()) {
				entry.replication.applyFromStore(kind, (kind == ObjectKind.RUNNERS) ? List.of(runners) : List.of(), at);
			}
			entry.replication.storeReachable(true);
		}
	}

	@Test
	void followerReceivesEveryChangeFromLeader() {
		bothRead(5, DecodeOnlyStore.item("r1", 5));
		run(15);
		assertThat(this.follower.controller.isFollower(), Matchers.equalTo(true));
		assertThat(this.leader.controller.isFollower(), Matchers.equalTo(false));
		this.leader.replication.applyFromStore(ObjectKind.RUNNERS,
				new ObjectStore.Change(DecodeOnlyStore.item("r2", 9), false));
		this.leader.replication.applyFromStore(ObjectKind.RUNNERS,
				new ObjectStore.Change(DecodeOnlyStore.item("r1", 5), true));
		assertThat(this.follower.received, Matchers.hasItems("+r2", "-r1"));
	}

	// A runner that the entry has read before it becomes a follower, but the leader has
	// not, must be kept: it would be missing until it changes again, and callers would
	// be refused.
	@Test
	void objectNotYetReadByLeaderIsKept() {
		bothRead(5, DecodeOnlyStore.item("r1", 5));
		this.follower.replication.applyFromStore(ObjectKind.RUNNERS,
				new ObjectStore.Change(DecodeOnlyStore.item("r2", 7), false));
		run(15);
		assertThat(this.follower.received, Matchers.hasItem("all[r1, r2]"));
	}

	// The store stops answering the leader, which reports it.
	@Test
	void followerReadsStoreWhenLeaderLosesStore() {
		bothRead(5, DecodeOnlyStore.item("r1", 5));
		run(15);
		this.leader.replication.storeReachable(false);
		assertThat(this.follower.controller.isFollower(), Matchers.equalTo(false));
	}

	// The leader's watch is lost and no listing has arrived, so it may be stale. The
	// follower reads the store before the activation delay is over.
	@Test
	void followerReadsStoreWhenLeaderMayBeStale() {
		bothRead(5, DecodeOnlyStore.item("r1", 5));
		run(15);
		this.leader.replication.dismissSubscribers();
		assertThat(this.follower.controller.isFollower(), Matchers.equalTo(false));
	}

	// The link to the leader is open and drops all frames.
	@Test
	void followerReadsStoreWhenLeaderIsSilent() {
		bothRead(5, DecodeOnlyStore.item("r1", 5));
		run(15);
		this.linked = false;
		run(13);
		assertThat(this.follower.controller.isFollower(), Matchers.equalTo(false));
	}

	@Test
	void leaderWithSubscribersKeepsReading() {
		bothRead(5, DecodeOnlyStore.item("r1", 5));
		run(15);
		assertThat(this.leader.replication.mayStopReading(), Matchers.equalTo(false));
	}

	/** An entry with its replica and role. */
	private final class Entry {

		private final String name;

		private final StoreReplication replication;

		private final StoreRoleController controller;

		private final List<String> received = new ArrayList<>();

		private Entry other;

		private Entry(String name) {
			this.name = name;
			StoreRole role = StoreRole.of(name);
			this.replication = new StoreReplication(new DecodeOnlyStore(), role, UpstreamSelector.of(name),
					EnumSet.allOf(ObjectKind.class), this::send, () -> StoreRoleControllerTests.this.now,
					StoreRoleControllerTests.this.log);
			this.controller = new StoreRoleController(role, this.replication, new StoreWatches(), this::send,
					StoreRoleControllerTests.this.log);
		}

		private void tick() {
			this.replication.tick(Set.of(LinkedEntry.unknown(this.other.name)), StoreRoleControllerTests.this.now);
			this.controller.tick(Set.of(this.other.name), true, StoreRoleControllerTests.this.now);
		}

		private void send(String peer, Frame frame) {
			if (!StoreRoleControllerTests.this.linked) {
				return;
			}
			if (frame.hasNewsRequest()) {
				this.other.replication.requestReceived(this.name, frame.getNewsRequest());
				return;
			}
			this.other.controller.updateReceived(this.name, frame.getNews(), StoreRoleControllerTests.this.now)
				.forEach((event) -> this.other.received.add(text(event)));
		}

		private static String text(DirectEvent event) {
			return switch (event) {
				case DirectEvent.ObjectsListed all ->
					"all" + all.items().stream().map(ObjectStore.Item::name).sorted().toList();
				case DirectEvent.ObjectChanged changed ->
					(changed.change().deleted() ? "-" : "+") + changed.change().item().name();
				default -> throw new IllegalArgumentException(event.toString());
			};
		}

	}

}
