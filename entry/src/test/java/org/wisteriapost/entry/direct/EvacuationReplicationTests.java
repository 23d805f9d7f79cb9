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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.fleet.LinkedEntry;
import org.wisteriapost.policy.fleet.StoreRole;
import org.wisteriapost.policy.fleet.UpstreamSelector;
import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.News;
import org.wisteriapost.protocol.wire.NewsRequest;
import org.wisteriapost.protocol.wire.StoreKind;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Frames of evacuations between an entry whose store does not answer and the entry that
 * it asks, which is of the same or an older version.
 */
class EvacuationReplicationTests {

	private static final long TICK = 100_000_000;

	private static final Set<ObjectKind> ALL = EnumSet.allOf(ObjectKind.class);

	private static final Set<ObjectKind> WITHOUT = EnumSet.complementOf(EnumSet.of(ObjectKind.EVACUATIONS));

	private final DecisionLog log = DecisionLog.start("test", new PrintStream(OutputStream.nullOutputStream()));

	private final List<Frame> answers = new ArrayList<>();

	private final List<Frame> requests = new ArrayList<>();

	private final StoreReplication follower = replication("follower", ALL, this.requests);

	private StoreReplication upstream;

	private long now;

	@AfterEach
	void stop() {
		this.log.close();
	}

	private StoreReplication replication(String name, Set<ObjectKind> kinds, List<Frame> sent) {
		return new StoreReplication(new DecodeOnlyStore(), StoreRole.of(name), UpstreamSelector.of(name), kinds,
				(peer, frame) -> sent.add(frame), () -> this.now, this.log);
	}

	private void startUpstream(Set<ObjectKind> kinds) {
		this.upstream = replication("upstream", kinds, this.answers);
		kinds.forEach((kind) -> this.upstream.applyFromStore(kind, List.of(DecodeOnlyStore.item("x", 5)), 7));
		this.upstream.storeReachable(true);
		this.follower.linkEstablished("upstream");
	}

	// Delivers all frames; the first full update of evacuations is lost if requested.
	private void run(int ticks, boolean losesFirst) {
		boolean lost = !losesFirst;
		for (int i = 0; i < ticks; i++) {
			this.now += TICK;
			this.upstream.tick(List.of(LinkedEntry.unknown("follower")), this.now);
			this.follower.tick(List.of(LinkedEntry.unknown("upstream")), this.now);
			List.copyOf(this.requests)
				.forEach((frame) -> this.upstream.requestReceived("follower", frame.getNewsRequest()));
			this.requests.clear();
			List<Frame> sent = List.copyOf(this.answers);
			this.answers.clear();
			for (Frame frame : sent) {
				boolean first = frame.getNews().getAll() && frame.getNews().getKind() == StoreKind.STORE_EVACUATIONS;
				if (!lost && first) {
					lost = true;
					continue;
				}
				this.follower.updateReceived("upstream", frame.getNews());
			}
		}
	}

	// The first frame of the first answer is lost, which no gap in the numbers shows.
	// Guards against taking the peer for one of an older version.
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void kindIsReceivedAlsoIfItsFirstFrameIsLost(boolean losesFirst) {
		startUpstream(ALL);
		this.follower.storeReachable(false);
		run(20, losesFirst);
		assertThat(this.follower.isComplete("upstream"), Matchers.equalTo(true));
		assertThat(this.follower.knownRevision(ObjectKind.EVACUATIONS), Matchers.equalTo(7L));
	}

	// Guards against an entry that waits for ever for a kind that its peer does not know.
	@Test
	void peerOfOlderVersionIsCompleteWithoutTheKind() {
		startUpstream(WITHOUT);
		this.follower.storeReachable(false);
		run(20, false);
		assertThat(this.follower.isComplete("upstream"), Matchers.equalTo(true));
		assertThat(this.follower.knownRevision(ObjectKind.EVACUATIONS), Matchers.equalTo(0L));
	}

	// The peer is replaced by a newer version. Guards against an entry that goes on
	// reading the store itself.
	@Test
	void kindIsExpectedAgainFromUpgradedPeer() {
		startUpstream(WITHOUT);
		this.follower.storeReachable(false);
		run(20, false);
		startUpstream(ALL);
		run(20, false);
		assertThat(this.follower.isComplete("upstream"), Matchers.equalTo(true));
		assertThat(this.follower.knownRevision(ObjectKind.EVACUATIONS), Matchers.equalTo(7L));
	}

	// Guards against bytes for a kind that the site does not use, in answers, heartbeats
	// and requests.
	@Test
	void siteWithoutTheKindSendsNoFrameOfIt() {
		startUpstream(WITHOUT);
		this.upstream.requestReceived("follower", NewsRequest.newBuilder().setWanted(true).build());
		for (int i = 0; i < 20; i++) {
			this.upstream.tick(List.of(LinkedEntry.unknown("follower")), i * TICK);
		}
		List<StoreKind> kinds = this.answers.stream().map(Frame::getNews).map(News::getKind).toList();
		assertThat(kinds.subList(0, 4), Matchers.contains(StoreKind.STORE_RUNNERS, StoreKind.STORE_ENTRIES,
				StoreKind.STORE_WEIGHTS, StoreKind.STORE_ROUTES));
		assertThat(kinds.subList(4, kinds.size()),
				Matchers.everyItem(Matchers.equalTo(StoreKind.STORE_KIND_UNSPECIFIED)));
		Frame request = replication("other", WITHOUT, this.requests).subscribe("upstream");
		assertThat(request.getNewsRequest().getKnownCount(), Matchers.equalTo(4));
	}

	// Guards against a removal that a peer applies in the wrong order.
	@Test
	void removedAndPutAgainIsReplicatedInOrder() {
		startUpstream(ALL);
		this.follower.storeReachable(false);
		run(20, false);
		List<String> received = new ArrayList<>();
		change("x", 8, true);
		change("x", 9, false);
		this.answers.forEach((frame) -> this.follower.updateReceived("upstream", frame.getNews())
			.stream()
			.map(DirectEvent.ObjectChanged.class::cast)
			.forEach((event) -> received
				.add((event.change().deleted() ? "-" : "+") + event.change().item().revision())));
		assertThat(received, Matchers.contains("-8", "+9"));
	}

	private void change(String name, long revision, boolean deleted) {
		this.upstream.applyFromStore(ObjectKind.EVACUATIONS,
				new ObjectStore.Change(DecodeOnlyStore.item(name, revision), deleted));
	}

}
