package org.wisteriapost.entry.direct;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.fleet.LinkedEntry;
import org.wisteriapost.policy.fleet.RendezvousHashing;
import org.wisteriapost.policy.fleet.StoreRole;
import org.wisteriapost.policy.fleet.UpstreamSelector;
import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.News;
import org.wisteriapost.protocol.wire.NewsRequest;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Two entries, one of which receives the store from the other over a link that drops
 * frames when it is full.
 */
class LossyReplicationTests {

	private static final long TICK = 100_000_000;

	private static final double LOSS = 0.4;

	private final DecisionLog log = DecisionLog.start("test", new PrintStream(OutputStream.nullOutputStream()));

	private final String leaderName = RendezvousHashing.rank(List.of("a", "b"), "store").getFirst();

	private final String followerName = this.leaderName.equals("a") ? "b" : "a";

	private final Entry leader = new Entry(this.leaderName, this.followerName);

	private final Entry follower = new Entry(this.followerName, this.leaderName);

	private final Map<ObjectKind, Map<String, Long>> stored = new TreeMap<>();

	private UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(1);

	private double loss;

	private Predicate<Frame> drops = (frame) -> false;

	private long now;

	private long revision = 10;

	@AfterEach
	void stop() {
		this.log.close();
	}

	private void start(long seed) {
		this.random = RandomSource.SPLIT_MIX_64.create(seed);
		for (ObjectKind kind : ObjectKind.values()) {
			this.stored.put(kind, new TreeMap<>(Map.of("x", 5L)));
			for (Entry entry : List.of(this.leader, this.follower)) {
				entry.read(kind, List.of(DecodeOnlyStore.item("x", 5)), 5);
			}
		}
		this.leader.replication.storeReachable(true);
		this.follower.replication.storeReachable(true);
	}

	private void run(int ticks) {
		for (int i = 0; i < ticks; i++) {
			this.now += TICK;
			this.leader.tick();
			this.follower.tick();
			this.leader.deliverTo(this.follower);
			this.follower.deliverTo(this.leader);
		}
	}

	private void changeStore() {
		ObjectKind kind = ObjectKind.values()[this.random.nextInt(ObjectKind.values().length)];
		String name = "o" + this.random.nextInt(5);
		this.revision++;
		boolean deleted = this.stored.get(kind).containsKey(name) && this.random.nextBoolean();
		this.leader.replication.applyFromStore(kind,
				new ObjectStore.Change(DecodeOnlyStore.item(name, this.revision), deleted));
		if (deleted) {
			this.stored.get(kind).remove(name);
		}
		else {
			this.stored.get(kind).put(name, this.revision);
		}
	}

	private void changeStoreOverLossyLink(int count) {
		this.loss = LOSS;
		for (int i = 0; i < count; i++) {
			changeStore();
			run(1);
		}
		this.loss = 0;
		run(20);
	}

	// A change is dropped on the link to the follower, and the heartbeats that follow
	// report no fault. Without a retry callers would be rejected by a stale route
	// table.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void followerConvergesWithLeader(long seed) {
		start(seed);
		run(20);
		assertThat(this.follower.controller.isFollower(), Matchers.equalTo(true));
		// Losses short enough for the entry to stay a follower.
		for (int i = 0; i < 30; i++) {
			this.loss = LOSS;
			changeStore();
			this.loss = 0;
			run(8);
			assertThat(this.follower.controller.isFollower(), Matchers.equalTo(true));
		}
		run(20);
		assertThat(this.follower.objects, Matchers.equalTo(this.stored));
	}

	// The store does not answer the entry. Parts of the first answer, changes and the
	// requests for them are lost.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void disconnectedEntryConvergesWithUpstream(long seed) {
		start(seed);
		this.follower.replication.storeReachable(false);
		changeStoreOverLossyLink(30);
		assertThat(this.follower.objects, Matchers.equalTo(this.stored));
	}

	// The same while the upstream's watch is lost repeatedly and it lists again.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12 })
	void disconnectedEntryConvergesWithRelistingUpstream(long seed) {
		start(seed);
		this.follower.replication.storeReachable(false);
		this.loss = LOSS;
		for (int i = 0; i < 30; i++) {
			changeStore();
			if (this.random.nextBoolean()) {
				relist();
			}
			run(1);
		}
		this.loss = 0;
		run(20);
		assertThat(this.follower.objects, Matchers.equalTo(this.stored));
	}

	private void relist() {
		ObjectKind kind = ObjectKind.values()[this.random.nextInt(ObjectKind.values().length)];
		List<ObjectStore.Item> all = this.stored.get(kind)
			.entrySet()
			.stream()
			.map((one) -> DecodeOnlyStore.item(one.getKey(), one.getValue()))
			.toList();
		this.leader.replication.applyFromStore(kind, all, this.revision);
	}

	// If the last update is lost, only the next heartbeat reveals it.
	@Test
	void lostChangeIsDetectedByNextHeartbeat() {
		start(1);
		run(20);
		this.loss = 1;
		changeStore();
		this.loss = 0;
		run(10);
		assertThat(this.follower.controller.isFollower(), Matchers.equalTo(true));
		assertThat(this.follower.objects, Matchers.equalTo(this.stored));
	}

	// The link carries only heartbeats. They must not keep the entry a follower with a
	// stale table.
	@Test
	void followerWithIncompleteUpdatesReadsStore() {
		start(1);
		run(20);
		this.drops = (frame) -> frame.getNews().getObjectsCount() > 0;
		changeStore();
		run(25);
		assertThat(this.follower.controller.isFollower(), Matchers.equalTo(false));
	}

	// The entry becomes a follower while a third one is subscribed to it. Without a
	// notice that one would take its heartbeats as current and keep a stale table.
	@Test
	void subscriberIsNotifiedWhenEntryStopsReading() {
		start(1);
		this.follower.replication.requestReceived("third", NewsRequest.newBuilder().setWanted(true).build());
		this.follower.sent.clear();
		this.follower.replication.stopReading();
		assertThat(this.follower.sent.stream().map((frame) -> frame.getNews().getCurrent()).toList(),
				Matchers.contains(false));
		assertThat(this.follower.replication.hasSubscribers(), Matchers.equalTo(false));
	}

	// A restarted peer numbers its frames anew, and just as many frames are lost that
	// the next number is the expected one.
	@Test
	void sequenceOfPreviousLinkIsDiscarded() {
		start(1);
		run(20);
		this.follower.replication.linkEstablished(this.leaderName);
		this.loss = 1;
		changeStore();
		this.loss = 0;
		assertThat(this.follower.replication.isComplete(this.leaderName), Matchers.equalTo(false));
		run(5);
		assertThat(this.follower.replication.isComplete(this.leaderName), Matchers.equalTo(true));
		assertThat(this.follower.objects, Matchers.equalTo(this.stored));
	}

	// A legacy peer does not number its frames.
	@Test
	void peerWithoutSequenceIsNotAskedAgain() {
		start(1);
		run(20);
		this.follower.replication.updateReceived(this.leaderName, News.newBuilder().setCurrent(true).build());
		assertThat(this.follower.replication.isComplete(this.leaderName), Matchers.equalTo(true));
	}

	/** An entry with its replica and role. */
	private final class Entry {

		private final String name;

		private final String other;

		private final StoreReplication replication;

		private final StoreRoleController controller;

		// The objects that the entry knows, by kind: names with revisions.
		private final Map<ObjectKind, Map<String, Long>> objects = new TreeMap<>();

		private final Queue<Frame> sent = new ArrayDeque<>();

		private Entry(String name, String other) {
			this.name = name;
			this.other = other;
			StoreRole role = StoreRole.of(name);
			this.replication = new StoreReplication(new DecodeOnlyStore(), role, UpstreamSelector.of(name),
					EnumSet.allOf(ObjectKind.class), this::send, () -> LossyReplicationTests.this.now,
					LossyReplicationTests.this.log);
			this.controller = new StoreRoleController(role, this.replication, new StoreWatches(), this::send,
					LossyReplicationTests.this.log);
		}

		private void read(ObjectKind kind, List<ObjectStore.Item> all, long at) {
			this.replication.applyFromStore(kind, all, at);
			replaceAll(kind, all);
		}

		private void replaceAll(ObjectKind kind, List<ObjectStore.Item> all) {
			Map<String, Long> known = new TreeMap<>();
			all.forEach((item) -> known.put(item.name(), item.revision()));
			this.objects.put(kind, known);
		}

		private void tick() {
			this.replication.tick(List.of(LinkedEntry.unknown(this.other)), LossyReplicationTests.this.now);
			this.controller.tick(List.of(this.other), true, LossyReplicationTests.this.now);
		}

		private void send(String peer, Frame frame) {
			if (!LossyReplicationTests.this.drops.test(frame)
					&& LossyReplicationTests.this.random.nextDouble() >= LossyReplicationTests.this.loss) {
				this.sent.add(frame);
			}
		}

		private void deliverTo(Entry receiver) {
			List<Frame> frames = List.copyOf(this.sent);
			this.sent.clear();
			for (Frame frame : frames) {
				if (frame.hasNewsRequest()) {
					receiver.replication.requestReceived(this.name, frame.getNewsRequest());
				}
				else {
					receiver.controller.updateReceived(this.name, frame.getNews(), LossyReplicationTests.this.now)
						.forEach(receiver::apply);
				}
			}
		}

		private void apply(DirectEvent event) {
			switch (event) {
				case DirectEvent.ObjectsListed all -> replaceAll(all.kind(), all.items());
				case DirectEvent.ObjectChanged changed -> {
					ObjectStore.Item item = changed.change().item();
					if (changed.change().deleted()) {
						this.objects.get(changed.kind()).remove(item.name());
					}
					else {
						this.objects.get(changed.kind()).put(item.name(), item.revision());
					}
				}
				default -> throw new IllegalArgumentException(event.toString());
			}
		}

	}

}
