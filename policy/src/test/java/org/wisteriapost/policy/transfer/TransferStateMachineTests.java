package org.wisteriapost.policy.transfer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wisteriapost.kernel.Invariants;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

class TransferStateMachineTests {

	private static final long MILLI = 1_000_000;

	private static final long DEADLINE = TransferLimits.standard().minTimeout().toNanos();

	private static final Peer OTHER = new Peer("other", "place");

	private static final Peer THIRD = new Peer("third", "place");

	private final ChunkIndex chunks = ChunkIndex
		.of(List.of(Weights.file("model", IntStream.range(0, 40).mapToObj((i) -> "hash-" + i).toArray(String[]::new))));

	private final Invariants invariants = Invariants.create();

	private final TransferStateMachine machine = TransferStateMachine.create(this.chunks, new Peer("self", "place"),
			TransferLimits.standard(), RandomSource.XO_RO_SHI_RO_128_PP.create(7), this.invariants);

	private long now = Duration.ofHours(5).toNanos();

	@AfterEach
	void invariantsHeld() {
		assertThat(this.invariants.violations(), is(Map.of()));
	}

	@Test
	void chunksWithoutPeersAreReadFromTheOriginAndStoredOnceVerified() {
		apply(new TransferEvent.PeersChanged(List.of()));
		List<Integer> requested = reads(apply(new TransferEvent.StoreScanned(new BitSet())));
		assertThat(requested.size(), is(TransferLimits.standard().maxOriginReads()));
		int chunk = requested.getFirst();
		assertThat(apply(new TransferEvent.Verified(chunk, TransferStateMachine.ORIGIN)),
				hasItem(new TransferEffect.Store(chunk)));
		assertThat(this.machine.heldChunks().get(chunk), is(false));
		apply(new TransferEvent.Stored(chunk));
		assertThat(this.machine.heldChunks().get(chunk), is(true));
	}

	// The first VM to start a fetch reads its own chunks but not those of peers that are
	// about to start too. A peer that has not started after the grace period fetches
	// something else, and its chunks are read by this VM.
	@Test
	void peerThatDoesNotFetchIsReplacedAfterTheGracePeriod() {
		apply(new TransferEvent.PeersChanged(List.of(OTHER, THIRD)));
		for (Peer peer : List.of(OTHER, THIRD)) {
			apply(new TransferEvent.LinkUp(peer.vm()));
			apply(new TransferEvent.PeerNotFetching(peer.vm()));
		}
		List<TransferEffect> first = apply(new TransferEvent.StoreScanned(new BitSet()));
		int own = readAll(first).cardinality();
		assertThat(own < 25, is(true));
		this.now += Duration.ofMillis(1100).toNanos();
		readAll(apply(new TransferEvent.Tick()));
		assertThat(this.machine.heldChunks().cardinality(), is(40));
	}

	// A chunk corrupted in a peer's memory must neither be stored nor announced; the
	// peer is avoided and the chunk fetched elsewhere.
	@Test
	void corruptChunkIsNeverStoredAndItsSenderIsAvoided() {
		int chunk = requestFromOther();
		List<TransferEffect> effects = apply(new TransferEvent.Corrupt(chunk, OTHER.vm()));
		assertThat(effects, not(hasItem(instanceOf(TransferEffect.Store.class))));
		assertThat(effects, hasItem(new TransferEffect.Notice(TransferStateMachine.PEER_CORRUPT, OTHER.vm(), chunk)));
		assertThat(requests(effects, OTHER), is(empty()));
		this.now += Duration.ofSeconds(29).toNanos();
		assertThat(requests(apply(new TransferEvent.Tick()), OTHER), is(empty()));
		this.now += Duration.ofSeconds(2).toNanos();
		assertThat(requests(apply(new TransferEvent.Tick()), OTHER), is(not(empty())));
	}

	@Test
	void corruptOriginIsTriedThreeTimesThenTheFetchFails() {
		apply(new TransferEvent.PeersChanged(List.of()));
		int chunk = reads(apply(new TransferEvent.StoreScanned(new BitSet()))).getFirst();
		TransferEvent corrupt = new TransferEvent.Corrupt(chunk, TransferStateMachine.ORIGIN);
		TransferEffect failed = new TransferEffect.Fail(TransferStateMachine.ORIGIN_CORRUPT, chunk);
		assertThat(apply(corrupt), not(hasItem(failed)));
		assertThat(apply(corrupt), not(hasItem(failed)));
		assertThat(apply(corrupt), hasItem(failed));
	}

	@Test
	void changedVersionEndsTheFetch() {
		apply(new TransferEvent.PeersChanged(List.of()));
		int chunk = reads(apply(new TransferEvent.StoreScanned(new BitSet()))).getFirst();
		assertThat(apply(new TransferEvent.OriginReadFailed(chunk, true)),
				is(List.of(new TransferEffect.VersionChanged(chunk))));
		this.now += DEADLINE * 10;
		assertThat(reads(apply(new TransferEvent.Tick())), is(empty()));
	}

	@Test
	void unreachableOriginIsRetriedLater() {
		apply(new TransferEvent.PeersChanged(List.of()));
		for (int chunk : reads(apply(new TransferEvent.StoreScanned(new BitSet())))) {
			assertThat(reads(apply(new TransferEvent.OriginReadFailed(chunk, false))), is(empty()));
		}
		this.now += Duration.ofSeconds(1).toNanos();
		assertThat(reads(apply(new TransferEvent.Tick())), is(not(empty())));
	}

	// An origin that recovers after an outage is read within half a second, or engines
	// get the weights too late for their activation.
	@Test
	void originBackoffStaysShortDuringALongOutage() {
		apply(new TransferEvent.PeersChanged(List.of()));
		List<Integer> requested = reads(apply(new TransferEvent.StoreScanned(new BitSet())));
		for (int tick = 0; tick < 300; tick++) {
			requested.forEach((chunk) -> apply(new TransferEvent.OriginReadFailed(chunk, false)));
			this.now += 20 * MILLI;
			requested = reads(apply(new TransferEvent.Tick()));
		}
		requested.forEach((chunk) -> apply(new TransferEvent.OriginReadFailed(chunk, false)));
		this.now += Duration.ofMillis(500).toNanos();
		assertThat(reads(apply(new TransferEvent.Tick())), is(not(empty())));
	}

	// When the first-ranked VM for a chunk is dead or stalled and no chunk appears, the
	// next in rank reads it. While chunks keep appearing the origin is merely slow, and
	// no VM takes over.
	@Test
	void nextInRankReadsOnlyWhenNoChunkAppears() {
		connectTwoPeers();
		BitSet own = readAll(apply(new TransferEvent.StoreScanned(new BitSet())));
		assertThat(own.cardinality() < this.chunks.count(), is(true));
		apply(new TransferEvent.Tick());
		assertThat(reads(advance(DEADLINE - MILLI)), is(empty()));
		assertThat(reads(advance(DEADLINE)), is(not(empty())));
	}

	// A replaced VM must not read its share from the origin when its peers hold all
	// chunks.
	@Test
	void lateVmWaitsForReportsOfPeersBeforeItReadsTheOrigin() {
		apply(new TransferEvent.PeersChanged(List.of(OTHER)));
		assertThat(reads(apply(new TransferEvent.StoreScanned(new BitSet()))), is(empty()));
		assertThat(reads(apply(new TransferEvent.LinkUp(OTHER.vm()))), is(empty()));
		BitSet all = new BitSet();
		all.set(0, this.chunks.count());
		List<TransferEffect> effects = apply(new TransferEvent.PeerHolds(OTHER.vm(), all));
		assertThat(reads(effects), is(empty()));
		assertThat(requests(effects, OTHER), is(not(empty())));
	}

	@Test
	void unresponsivePeerDelaysTheFirstReadByOneTimeout() {
		apply(new TransferEvent.PeersChanged(List.of(OTHER)));
		apply(new TransferEvent.LinkUp(OTHER.vm()));
		assertThat(reads(apply(new TransferEvent.StoreScanned(new BitSet()))), is(empty()));
		this.now += DEADLINE + MILLI;
		assertThat(reads(apply(new TransferEvent.Tick())), is(not(empty())));
	}

	// Scanning the store may take long after a restart, and ticks arrive meanwhile.
	@Test
	void timeBeforeTheStartIsNotAStall() {
		connectTwoPeers();
		this.now += DEADLINE * 100;
		apply(new TransferEvent.Tick());
		List<Integer> started = reads(apply(new TransferEvent.StoreScanned(new BitSet())));
		RendezvousRanking rank = new RendezvousRanking(this.chunks, new Peer("self", "place"));
		rank.update(List.of(OTHER, THIRD), java.util.Set.of(), TransferLimits.Distribution.SWARM);
		for (int chunk : started) {
			assertThat(rank.rankOf(chunk), is(0));
		}
	}

	@Test
	void disconnectedPeerIsReplacedByTheNextInRankAtOnce() {
		connectTwoPeers();
		apply(new TransferEvent.LinkDown(OTHER.vm()));
		apply(new TransferEvent.LinkDown(THIRD.vm()));
		BitSet own = readAll(apply(new TransferEvent.StoreScanned(new BitSet())));
		assertThat(own.cardinality(), is(this.chunks.count()));
	}

	// A stalled link neither closes nor reports an error; only the timeout reveals it.
	@Test
	void chunksOfAStalledPeerAreRequestedElsewhere() {
		int chunk = requestFromOther();
		apply(new TransferEvent.PeersChanged(List.of(OTHER, THIRD)));
		apply(new TransferEvent.LinkUp(THIRD.vm()));
		BitSet held = new BitSet();
		held.set(chunk);
		List<TransferEffect> beforeTimeout = apply(new TransferEvent.PeerHolds(THIRD.vm(), held));
		assertThat(beforeTimeout, not(hasItem(new TransferEffect.Request(THIRD.vm(), chunk))));
		List<TransferEffect> afterTimeout = advance(DEADLINE * 2);
		assertThat(afterTimeout, hasItem(new TransferEffect.Request(THIRD.vm(), chunk)));
		assertThat(afterTimeout, hasItem(new TransferEffect.Notice(TransferStateMachine.PEER_STALLED, OTHER.vm(), 0)));
	}

	// A part exceeds its timeout since the local link is slow. When it arrives, the
	// chunk continues from there and no byte is transferred twice.
	@Test
	void chunkContinuesAfterALatePart() {
		int chunk = requestFromOther();
		assertThat(advance(DEADLINE * 2), not(hasItem(new TransferEffect.DiscardParts(OTHER.vm(), chunk))));
		assertThat(apply(new TransferEvent.PartReceived(chunk, OTHER.vm(), 60)),
				hasItem(new TransferEffect.Request(OTHER.vm(), chunk, 60, 0)));
	}

	// A late part arrives after the chunk was received from another holder.
	@Test
	void partReceivedAfterItsChunkIsDiscarded() {
		int chunk = requestFromOther();
		advance(DEADLINE * 2);
		apply(new TransferEvent.Verified(chunk, TransferStateMachine.ORIGIN));
		apply(new TransferEvent.Stored(chunk));
		assertThat(apply(new TransferEvent.PartReceived(chunk, OTHER.vm(), 60)),
				hasItem(new TransferEffect.DiscardParts(OTHER.vm(), chunk)));
	}

	@Test
	void busyPeerIsRetriedAfterABackoff() {
		int chunk = requestFromOther();
		List<TransferEffect> effects = apply(new TransferEvent.Refused(chunk, OTHER.vm(), true));
		assertThat(requests(effects, OTHER), is(empty()));
		this.now += DEADLINE;
		assertThat(requests(apply(new TransferEvent.Tick()), OTHER), is(not(empty())));
	}

	@Test
	void chunkThatAPeerNoLongerHoldsIsNotRequestedFromItAgain() {
		apply(new TransferEvent.PeersChanged(List.of(OTHER)));
		apply(new TransferEvent.LinkUp(OTHER.vm()));
		apply(new TransferEvent.StoreScanned(new BitSet()));
		BitSet held = new BitSet();
		held.set(23);
		int chunk = requests(apply(new TransferEvent.PeerHolds(OTHER.vm(), held)), OTHER).getFirst();
		List<TransferEffect> effects = apply(new TransferEvent.Refused(chunk, OTHER.vm(), false));
		assertThat(effects, not(hasItem(new TransferEffect.Request(OTHER.vm(), chunk))));
		this.now += DEADLINE;
		assertThat(apply(new TransferEvent.Tick()), not(hasItem(new TransferEffect.Request(OTHER.vm(), chunk))));
	}

	@Test
	void requestsInFlightAreBounded() {
		connectTwoPeers();
		apply(new TransferEvent.StoreScanned(new BitSet()));
		BitSet all = new BitSet();
		all.set(0, this.chunks.count());
		List<Integer> requested = requests(apply(new TransferEvent.PeerHolds(OTHER.vm(), all)), OTHER);
		assertThat(requested.size(), is(TransferLimits.standard().maxChunksPerPeer()));
	}

	@Test
	void originIsNotReadBeforePeersHaveReported() {
		apply(new TransferEvent.PeersChanged(List.of(OTHER)));
		assertThat(reads(apply(new TransferEvent.StoreScanned(new BitSet()))), is(empty()));
		apply(new TransferEvent.LinkUp(OTHER.vm()));
		assertThat(reads(apply(new TransferEvent.PeerHolds(OTHER.vm(), new BitSet()))), is(not(empty())));
	}

	@Test
	void unresponsivePeerDelaysOriginReadsNoLongerThanTheTimeout() {
		apply(new TransferEvent.PeersChanged(List.of(OTHER)));
		apply(new TransferEvent.StoreScanned(new BitSet()));
		this.now += DEADLINE + MILLI;
		assertThat(reads(apply(new TransferEvent.Tick())), is(not(empty())));
	}

	@Test
	void restartFetchesOnlyMissingChunks() {
		apply(new TransferEvent.PeersChanged(List.of()));
		BitSet held = new BitSet();
		held.set(0, this.chunks.count());
		held.clear(17);
		assertThat(reads(apply(new TransferEvent.StoreScanned(held))), is(List.of(17)));
		apply(new TransferEvent.Verified(17, TransferStateMachine.ORIGIN));
		assertThat(apply(new TransferEvent.Stored(17)), hasItem(new TransferEffect.Complete()));
	}

	@Test
	void chunkLostByTheStoreIsFetchedAgain() {
		apply(new TransferEvent.PeersChanged(List.of()));
		BitSet held = new BitSet();
		held.set(0, this.chunks.count());
		assertThat(apply(new TransferEvent.StoreScanned(held)), hasItem(new TransferEffect.Complete()));
		assertThat(reads(apply(new TransferEvent.Lost(3))), is(List.of(3)));
	}

	@Test
	void announcementRateIsBounded() {
		apply(new TransferEvent.PeersChanged(List.of()));
		BitSet held = new BitSet();
		held.set(0, 10);
		assertThat(apply(new TransferEvent.StoreScanned(held)), hasItem(new TransferEffect.Announce(held)));
		apply(new TransferEvent.Verified(20, TransferStateMachine.ORIGIN));
		List<TransferEffect> soon = apply(new TransferEvent.Stored(20));
		assertThat(soon, not(hasItem(instanceOf(TransferEffect.Announce.class))));
		this.now += TransferLimits.standard().announceInterval().toNanos();
		assertThat(apply(new TransferEvent.Tick()), hasItem(instanceOf(TransferEffect.Announce.class)));
	}

	@Test
	void lastChunksAreAnnouncedWhenTheFetchCompletes() {
		apply(new TransferEvent.PeersChanged(List.of()));
		BitSet held = new BitSet();
		held.set(0, this.chunks.count() - 1);
		int last = reads(apply(new TransferEvent.StoreScanned(held))).getFirst();
		apply(new TransferEvent.Verified(last, TransferStateMachine.ORIGIN));
		List<TransferEffect> effects = apply(new TransferEvent.Stored(last));
		assertThat(effects, hasItem(new TransferEffect.Complete()));
		assertThat(effects, hasItem(instanceOf(TransferEffect.Announce.class)));
	}

	// After a pause of this process its first tick precedes the responses that wait in
	// its sockets.
	@Test
	void pauseOfThisProcessIsNotTakenForAStalledPeer() {
		requestFromOther();
		advance(MILLI);
		this.now += DEADLINE * 3;
		assertThat(apply(new TransferEvent.Tick()), not(hasItem(instanceOf(TransferEffect.Notice.class))));
	}

	/**
	 * Advances the time in ticks and returns their effects.
	 */
	private List<TransferEffect> advance(long nanos) {
		List<TransferEffect> effects = new ArrayList<>();
		long end = this.now + nanos;
		while (this.now < end) {
			this.now = Math.min(end, this.now + DEADLINE / 10);
			effects.addAll(apply(new TransferEvent.Tick()));
		}
		return effects;
	}

	private BitSet readAll(List<TransferEffect> effects) {
		BitSet read = new BitSet();
		List<Integer> open = new ArrayList<>(reads(effects));
		while (!open.isEmpty()) {
			int chunk = open.removeFirst();
			read.set(chunk);
			open.addAll(reads(apply(new TransferEvent.Verified(chunk, TransferStateMachine.ORIGIN))));
			open.addAll(reads(apply(new TransferEvent.Stored(chunk))));
		}
		return read;
	}

	private int requestFromOther() {
		apply(new TransferEvent.PeersChanged(List.of(OTHER)));
		apply(new TransferEvent.LinkUp(OTHER.vm()));
		apply(new TransferEvent.StoreScanned(new BitSet()));
		BitSet all = new BitSet();
		all.set(0, this.chunks.count());
		return requests(apply(new TransferEvent.PeerHolds(OTHER.vm(), all)), OTHER).getFirst();
	}

	private void connectTwoPeers() {
		apply(new TransferEvent.PeersChanged(List.of(OTHER, THIRD)));
		apply(new TransferEvent.LinkUp(OTHER.vm()));
		apply(new TransferEvent.LinkUp(THIRD.vm()));
		apply(new TransferEvent.PeerHolds(OTHER.vm(), new BitSet()));
		apply(new TransferEvent.PeerHolds(THIRD.vm(), new BitSet()));
	}

	private List<TransferEffect> apply(TransferEvent event) {
		return this.machine.apply(event, this.now);
	}

	private static List<Integer> reads(List<TransferEffect> effects) {
		return effects.stream()
			.filter(TransferEffect.ReadOrigin.class::isInstance)
			.map((effect) -> ((TransferEffect.ReadOrigin) effect).chunk())
			.toList();
	}

	private static List<Integer> requests(List<TransferEffect> effects, Peer peer) {
		return effects.stream()
			.filter(TransferEffect.Request.class::isInstance)
			.map(TransferEffect.Request.class::cast)
			.filter((request) -> request.vm().equals(peer.vm()))
			.map(TransferEffect.Request::chunk)
			.toList();
	}

}
