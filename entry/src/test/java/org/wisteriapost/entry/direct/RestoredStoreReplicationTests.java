package org.wisteriapost.entry.direct;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.fleet.LinkedEntry;
import org.wisteriapost.policy.fleet.StoreRole;
import org.wisteriapost.policy.fleet.UpstreamSelector;
import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.StoreKind;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * An entry that reads the store through another, while the store is restored from a copy.
 */
class RestoredStoreReplicationTests {

	private static final long TICK = 100_000_000;

	private final DecisionLog log = DecisionLog.start("test", new PrintStream(OutputStream.nullOutputStream()));

	private final List<Frame> answers = new ArrayList<>();

	private final List<Frame> requests = new ArrayList<>();

	private final StoreReplication follower = replication("follower", this.requests);

	private final StoreReplication upstream = replication("upstream", this.answers);

	// Whether frames of the upstream had content, by their order.
	private final List<Boolean> contents = new ArrayList<>();

	private List<String> runners = List.of();

	private long now;

	@AfterEach
	void stop() {
		this.log.close();
	}

	private StoreReplication replication(String name, List<Frame> sent) {
		return new StoreReplication(new DecodeOnlyStore(), StoreRole.of(name), UpstreamSelector.of(name),
				EnumSet.allOf(ObjectKind.class), (peer, frame) -> sent.add(frame), () -> this.now, this.log);
	}

	private static void list(StoreReplication reader, long epoch, long revision, ObjectStore.Item... runners) {
		for (ObjectKind kind : ObjectKind.values()) {
			reader.epochRead(kind, epoch);
			reader.applyFromStore(kind, (kind == ObjectKind.RUNNERS) ? List.of(runners) : List.of(), revision);
		}
		reader.storeReachable(true);
	}

	private void run() {
		for (int i = 0; i < 20; i++) {
			this.now += TICK;
			this.upstream.tick(List.of(LinkedEntry.unknown("follower")), this.now);
			this.follower.tick(List.of(LinkedEntry.unknown("upstream")), this.now);
			List.copyOf(this.requests)
				.forEach((frame) -> this.upstream.requestReceived("follower", frame.getNewsRequest()));
			this.requests.clear();
			List<Frame> sent = List.copyOf(this.answers);
			this.answers.clear();
			sent.forEach(this::deliver);
		}
	}

	private void deliver(Frame frame) {
		if (frame.getNews().getKind() == StoreKind.STORE_RUNNERS) {
			frame.getNews().getObjectsList().forEach((object) -> this.contents.add(!object.getKnown()));
		}
		for (DirectEvent event : this.follower.updateReceived("upstream", frame.getNews())) {
			if (event instanceof DirectEvent.ObjectsListed listed && listed.kind() == ObjectKind.RUNNERS) {
				this.runners = listed.items().stream().map((item) -> item.name() + "@" + item.revision()).toList();
			}
			if (event instanceof DirectEvent.ObjectChanged changed) {
				this.runners = List.of(changed.change().item().name() + "@" + changed.change().item().revision());
			}
		}
	}

	// The follower has an object of the lost span at a higher revision than any in the
	// copy. Guards against keeping it, and against ignoring what follows it.
	@ParameterizedTest
	@ValueSource(longs = { ObjectStore.UNKNOWN_EPOCH, 2 })
	void objectsOfTheLostSpanAreDropped(long epochAfter) {
		long epochBefore = Math.max(ObjectStore.UNKNOWN_EPOCH, epochAfter - 1);
		list(this.upstream, epochBefore, 9, DecodeOnlyStore.item("a", 5), DecodeOnlyStore.item("b", 9));
		this.follower.storeReachable(false);
		run();
		assertThat(this.runners, Matchers.contains("a@5", "b@9"));
		list(this.upstream, epochAfter, 6, DecodeOnlyStore.item("a", 5));
		run();
		assertThat(this.runners, Matchers.contains("a@5"));
		this.upstream.applyFromStore(ObjectKind.RUNNERS, new ObjectStore.Change(DecodeOnlyStore.item("b", 7), false));
		run();
		assertThat(this.runners, Matchers.contains("b@7"));
		assertThat(this.follower.isComplete("upstream"), Matchers.is(true));
	}

	// A revision of another epoch may stand for other content. Guards against an answer
	// that names an object by it alone.
	@Test
	void objectsOfAnotherEpochAreSentWithContent() {
		list(this.follower, 1, 9, DecodeOnlyStore.item("a", 5), DecodeOnlyStore.item("b", 9));
		this.follower.storeReachable(false);
		list(this.upstream, 2, 9, DecodeOnlyStore.item("a", 5), DecodeOnlyStore.item("b", 9));
		run();
		assertThat(this.contents, Matchers.everyItem(Matchers.is(true)));
		assertThat(this.runners, Matchers.contains("a@5", "b@9"));
		assertThat(this.follower.epoch(ObjectKind.RUNNERS), Matchers.is(2L));
	}

	// The upstream has not read the restored store yet. Guards against taking what it
	// has for newer, and against an entry that does not ask again.
	@Test
	void updatesOfAnEarlierEpochAreIgnored() {
		list(this.follower, 2, 7, DecodeOnlyStore.item("a", 5), DecodeOnlyStore.item("c", 7));
		this.follower.storeReachable(false);
		list(this.upstream, 1, 9, DecodeOnlyStore.item("a", 5), DecodeOnlyStore.item("b", 9));
		run();
		assertThat(this.runners, Matchers.empty());
		assertThat(this.follower.isComplete("upstream"), Matchers.is(false));
		list(this.upstream, 2, 8, DecodeOnlyStore.item("a", 5), DecodeOnlyStore.item("d", 8));
		run();
		assertThat(this.runners, Matchers.contains("a@5", "d@8"));
		assertThat(this.follower.isComplete("upstream"), Matchers.is(true));
	}

	// Guards against a late read of the entry's own that undoes what a peer has sent.
	@Test
	void ownReadOfAnEarlierEpochIsIgnored() {
		list(this.follower, 1, 4, DecodeOnlyStore.item("a", 4));
		this.follower.storeReachable(false);
		list(this.upstream, 2, 3, DecodeOnlyStore.item("a", 3));
		run();
		boolean applied = this.follower.applyFromStore(ObjectKind.RUNNERS, List.of(DecodeOnlyStore.item("a", 9)), 9);
		assertThat(applied, Matchers.is(false));
		assertThat(this.follower.applyFromStore(ObjectKind.RUNNERS,
				new ObjectStore.Change(DecodeOnlyStore.item("a", 9), false)), Matchers.is(false));
		assertThat(this.follower.knownRevision(ObjectKind.RUNNERS), Matchers.is(3L));
	}

}
