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

class TransferMachineTests {

	private static final long MILLI = 1_000_000;

	private static final long DEADLINE = TransferLimits.standard().progressDeadline().toNanos();

	private static final Peer OTHER = new Peer("other", "place");

	private static final Peer THIRD = new Peer("third", "place");

	private final Pieces pieces = Pieces
		.of(List.of(Weights.file("model", IntStream.range(0, 40).mapToObj((i) -> "hash-" + i).toArray(String[]::new))));

	private final Invariants invariants = Invariants.create();

	private final TransferMachine machine = TransferMachine.create(this.pieces, new Peer("self", "place"),
			TransferLimits.standard(), RandomSource.XO_RO_SHI_RO_128_PP.create(7), this.invariants);

	private long now = Duration.ofHours(5).toNanos();

	@AfterEach
	void invariantsHeld() {
		assertThat(this.invariants.violations(), is(Map.of()));
	}

	@Test
	void alonePiecesAreReadFromTheOriginAndStoredOnlyOnceVerified() {
		apply(new TransferEvent.PeersSeen(List.of()));
		List<Integer> asked = reads(apply(new TransferEvent.Held(new BitSet())));
		assertThat(asked.size(), is(TransferLimits.standard().originReads()));
		int piece = asked.getFirst();
		assertThat(apply(new TransferEvent.Verified(piece, TransferMachine.ORIGIN)),
				hasItem(new TransferEffect.Store(piece)));
		assertThat(this.machine.held().get(piece), is(false));
		apply(new TransferEvent.Stored(piece));
		assertThat(this.machine.held().get(piece), is(true));
	}

	// A version is named, and this VM is the first to begin: its peers know nothing of
	// the file yet. It reads its own pieces and not theirs, or each would read a copy.
	// One that still knows nothing after a second fetches something else, and its pieces
	// are read here.
	@Test
	void onlyWhoKnowsNothingForLongIsNotWaitedFor() {
		apply(new TransferEvent.PeersSeen(List.of(OTHER, THIRD)));
		for (Peer peer : List.of(OTHER, THIRD)) {
			apply(new TransferEvent.LinkUp(peer.vm()));
			apply(new TransferEvent.PeerIdle(peer.vm()));
		}
		List<TransferEffect> first = apply(new TransferEvent.Held(new BitSet()));
		int own = readAll(first).cardinality();
		assertThat(own < 25, is(true));
		this.now += Duration.ofMillis(1100).toNanos();
		readAll(apply(new TransferEvent.Tick()));
		assertThat(this.machine.held().cardinality(), is(40));
	}

	// A chunk that went bad in a peer's memory looks like any other on the wire. It must
	// neither be stored nor told to others; its sender is left alone, and the piece is
	// fetched elsewhere.
	@Test
	void corruptPieceIsNeverStoredAndItsSenderIsLeftAlone() {
		int piece = askedOfOther();
		List<TransferEffect> effects = apply(new TransferEvent.Corrupt(piece, OTHER.vm()));
		assertThat(effects, not(hasItem(instanceOf(TransferEffect.Store.class))));
		assertThat(effects, hasItem(new TransferEffect.Notice(TransferMachine.PEER_CORRUPT, OTHER.vm(), piece)));
		assertThat(requests(effects, OTHER), is(empty()));
		this.now += Duration.ofSeconds(29).toNanos();
		assertThat(requests(apply(new TransferEvent.Tick()), OTHER), is(empty()));
		this.now += Duration.ofSeconds(2).toNanos();
		assertThat(requests(apply(new TransferEvent.Tick()), OTHER), is(not(empty())));
	}

	@Test
	void corruptOriginIsTriedThreeTimesThenTheFetchFails() {
		apply(new TransferEvent.PeersSeen(List.of()));
		int piece = reads(apply(new TransferEvent.Held(new BitSet()))).getFirst();
		TransferEvent corrupt = new TransferEvent.Corrupt(piece, TransferMachine.ORIGIN);
		TransferEffect failed = new TransferEffect.Fail(TransferMachine.ORIGIN_CORRUPT, piece);
		assertThat(apply(corrupt), not(hasItem(failed)));
		assertThat(apply(corrupt), not(hasItem(failed)));
		assertThat(apply(corrupt), hasItem(failed));
	}

	@Test
	void changedVersionEndsTheFetch() {
		apply(new TransferEvent.PeersSeen(List.of()));
		int piece = reads(apply(new TransferEvent.Held(new BitSet()))).getFirst();
		assertThat(apply(new TransferEvent.OriginFailed(piece, true)), is(List.of(new TransferEffect.Changed(piece))));
		this.now += DEADLINE * 10;
		assertThat(reads(apply(new TransferEvent.Tick())), is(empty()));
	}

	@Test
	void originThatIsAwayForAWhileIsAskedAgainLater() {
		apply(new TransferEvent.PeersSeen(List.of()));
		for (int piece : reads(apply(new TransferEvent.Held(new BitSet())))) {
			assertThat(reads(apply(new TransferEvent.OriginFailed(piece, false))), is(empty()));
		}
		this.now += Duration.ofSeconds(1).toNanos();
		assertThat(reads(apply(new TransferEvent.Tick())), is(not(empty())));
	}

	// Weights are named and the origin crashes with a part of its copy unread. For 6 s
	// each read fails. Then it is back, and it is read within half a second: engines
	// that wait longer have no weights that may be answered from.
	@Test
	void originIsReadSoonAfterItsReturnHoweverLongItWasAway() {
		apply(new TransferEvent.PeersSeen(List.of()));
		List<Integer> asked = reads(apply(new TransferEvent.Held(new BitSet())));
		for (int tick = 0; tick < 300; tick++) {
			asked.forEach((piece) -> apply(new TransferEvent.OriginFailed(piece, false)));
			this.now += 20 * MILLI;
			asked = reads(apply(new TransferEvent.Tick()));
		}
		asked.forEach((piece) -> apply(new TransferEvent.OriginFailed(piece, false)));
		this.now += Duration.ofMillis(500).toNanos();
		assertThat(reads(apply(new TransferEvent.Tick())), is(not(empty())));
	}

	// The first in rank for a piece has died with the list still naming it, or its link
	// stalls. Nothing new appears, so the next in rank reads the piece; while others'
	// pieces keep appearing the origin is only slow, and nobody does.
	@Test
	void secondInRankStepsInOnlyWhenNothingNewAppears() {
		joinTwo();
		BitSet own = readAll(apply(new TransferEvent.Held(new BitSet())));
		assertThat(own.cardinality() < this.pieces.count(), is(true));
		apply(new TransferEvent.Tick());
		assertThat(reads(pass(DEADLINE - MILLI)), is(empty()));
		assertThat(reads(pass(DEADLINE)), is(not(empty())));
	}

	// A VM is replaced while all others hold everything. It is first in rank for some
	// pieces, but reads none of them before its neighbours have told what they hold.
	@Test
	void lateVmAsksItsNeighboursBeforeItReadsItsShareOfTheOrigin() {
		apply(new TransferEvent.PeersSeen(List.of(OTHER)));
		assertThat(reads(apply(new TransferEvent.Held(new BitSet()))), is(empty()));
		assertThat(reads(apply(new TransferEvent.LinkUp(OTHER.vm()))), is(empty()));
		BitSet all = new BitSet();
		all.set(0, this.pieces.count());
		List<TransferEffect> effects = apply(new TransferEvent.PeerHolds(OTHER.vm(), all));
		assertThat(reads(effects), is(empty()));
		assertThat(requests(effects, OTHER), is(not(empty())));
	}

	@Test
	void silentNeighbourHoldsUpTheFirstReadForOneDeadlineOnly() {
		apply(new TransferEvent.PeersSeen(List.of(OTHER)));
		apply(new TransferEvent.LinkUp(OTHER.vm()));
		assertThat(reads(apply(new TransferEvent.Held(new BitSet()))), is(empty()));
		this.now += DEADLINE + MILLI;
		assertThat(reads(apply(new TransferEvent.Tick())), is(not(empty())));
	}

	// Reading back the store takes long at a restart, and ticks come meanwhile.
	@Test
	void timeBeforeTheStartIsNotSilence() {
		joinTwo();
		this.now += DEADLINE * 100;
		apply(new TransferEvent.Tick());
		List<Integer> started = reads(apply(new TransferEvent.Held(new BitSet())));
		OriginRank rank = new OriginRank(this.pieces, new Peer("self", "place"));
		rank.update(List.of(OTHER, THIRD), java.util.Set.of(), TransferLimits.Design.SWARM);
		for (int piece : started) {
			assertThat(rank.of(piece), is(0));
		}
	}

	@Test
	void lostLinkMakesTheNextInRankReadAtOnce() {
		joinTwo();
		apply(new TransferEvent.LinkDown(OTHER.vm()));
		apply(new TransferEvent.LinkDown(THIRD.vm()));
		BitSet own = readAll(apply(new TransferEvent.Held(new BitSet())));
		assertThat(own.cardinality(), is(this.pieces.count()));
	}

	// The link stays open and nothing comes: no close, no error. The sign is the request
	// that passes its deadline; the piece is asked of another holder.
	@Test
	void stalledPeersPiecesAreAskedElsewhere() {
		int piece = askedOfOther();
		apply(new TransferEvent.PeersSeen(List.of(OTHER, THIRD)));
		apply(new TransferEvent.LinkUp(THIRD.vm()));
		BitSet one = new BitSet();
		one.set(piece);
		List<TransferEffect> early = apply(new TransferEvent.PeerHolds(THIRD.vm(), one));
		assertThat(early, not(hasItem(new TransferEffect.Request(THIRD.vm(), piece))));
		List<TransferEffect> late = pass(DEADLINE * 2);
		assertThat(late, hasItem(new TransferEffect.Request(THIRD.vm(), piece)));
		assertThat(late, hasItem(new TransferEffect.Notice(TransferMachine.PEER_STALLED, OTHER.vm(), 0)));
	}

	// A part takes longer than the deadline: the link of this VM has narrowed, and the
	// part was on it all the time. When it comes after all, its piece is gone on with
	// where it stopped, and nothing of it has to come twice.
	@Test
	void aPartThatComesLateIsGoneOnWith() {
		int piece = askedOfOther();
		assertThat(pass(DEADLINE * 2), not(hasItem(new TransferEffect.Drop(OTHER.vm(), piece))));
		assertThat(apply(new TransferEvent.PartCame(piece, OTHER.vm(), 60)),
				hasItem(new TransferEffect.Request(OTHER.vm(), piece, 60, 0)));
	}

	// The same, but meanwhile the piece has come from another holder.
	@Test
	void aPartThatComesAfterItsPieceIsForgotten() {
		int piece = askedOfOther();
		pass(DEADLINE * 2);
		apply(new TransferEvent.Verified(piece, TransferMachine.ORIGIN));
		apply(new TransferEvent.Stored(piece));
		assertThat(apply(new TransferEvent.PartCame(piece, OTHER.vm(), 60)),
				hasItem(new TransferEffect.Drop(OTHER.vm(), piece)));
	}

	@Test
	void busyPeerIsAskedAgainAfterAPause() {
		int piece = askedOfOther();
		List<TransferEffect> effects = apply(new TransferEvent.Refused(piece, OTHER.vm(), true));
		assertThat(requests(effects, OTHER), is(empty()));
		this.now += DEADLINE;
		assertThat(requests(apply(new TransferEvent.Tick()), OTHER), is(not(empty())));
	}

	@Test
	void pieceThatAPeerNoLongerHoldsIsNotAskedOfItAgain() {
		apply(new TransferEvent.PeersSeen(List.of(OTHER)));
		apply(new TransferEvent.LinkUp(OTHER.vm()));
		apply(new TransferEvent.Held(new BitSet()));
		BitSet one = new BitSet();
		one.set(23);
		int piece = requests(apply(new TransferEvent.PeerHolds(OTHER.vm(), one)), OTHER).getFirst();
		List<TransferEffect> effects = apply(new TransferEvent.Refused(piece, OTHER.vm(), false));
		assertThat(effects, not(hasItem(new TransferEffect.Request(OTHER.vm(), piece))));
		this.now += DEADLINE;
		assertThat(apply(new TransferEvent.Tick()), not(hasItem(new TransferEffect.Request(OTHER.vm(), piece))));
	}

	@Test
	void requestsInFlightAreBounded() {
		joinTwo();
		apply(new TransferEvent.Held(new BitSet()));
		BitSet all = new BitSet();
		all.set(0, this.pieces.count());
		List<Integer> asked = requests(apply(new TransferEvent.PeerHolds(OTHER.vm(), all)), OTHER);
		assertThat(asked.size(), is(TransferLimits.standard().perPeer()));
	}

	@Test
	void originIsNotReadBeforeTheNeighboursHaveSaidWhatTheyHold() {
		apply(new TransferEvent.PeersSeen(List.of(OTHER)));
		assertThat(reads(apply(new TransferEvent.Held(new BitSet()))), is(empty()));
		apply(new TransferEvent.LinkUp(OTHER.vm()));
		assertThat(reads(apply(new TransferEvent.PeerHolds(OTHER.vm(), new BitSet()))), is(not(empty())));
	}

	@Test
	void silentNeighbourHoldsUpTheOriginNoLongerThanTheDeadline() {
		apply(new TransferEvent.PeersSeen(List.of(OTHER)));
		apply(new TransferEvent.Held(new BitSet()));
		this.now += DEADLINE + MILLI;
		assertThat(reads(apply(new TransferEvent.Tick())), is(not(empty())));
	}

	@Test
	void restartFetchesOnlyWhatIsNotHeldAnyMore() {
		apply(new TransferEvent.PeersSeen(List.of()));
		BitSet held = new BitSet();
		held.set(0, this.pieces.count());
		held.clear(17);
		assertThat(reads(apply(new TransferEvent.Held(held))), is(List.of(17)));
		apply(new TransferEvent.Verified(17, TransferMachine.ORIGIN));
		assertThat(apply(new TransferEvent.Stored(17)), hasItem(new TransferEffect.Complete()));
	}

	@Test
	void chunkThatTheStoreLostIsFetchedAgain() {
		apply(new TransferEvent.PeersSeen(List.of()));
		BitSet held = new BitSet();
		held.set(0, this.pieces.count());
		assertThat(apply(new TransferEvent.Held(held)), hasItem(new TransferEffect.Complete()));
		assertThat(reads(apply(new TransferEvent.Lost(3))), is(List.of(3)));
	}

	@Test
	void announcementsAreBoundedInRate() {
		apply(new TransferEvent.PeersSeen(List.of()));
		BitSet held = new BitSet();
		held.set(0, 10);
		assertThat(apply(new TransferEvent.Held(held)), hasItem(new TransferEffect.Announce(held)));
		apply(new TransferEvent.Verified(20, TransferMachine.ORIGIN));
		List<TransferEffect> soon = apply(new TransferEvent.Stored(20));
		assertThat(soon, not(hasItem(instanceOf(TransferEffect.Announce.class))));
		this.now += TransferLimits.standard().announceInterval().toNanos();
		assertThat(apply(new TransferEvent.Tick()), hasItem(instanceOf(TransferEffect.Announce.class)));
	}

	@Test
	void lastPiecesAreAnnouncedWithTheEndOfTheFetch() {
		apply(new TransferEvent.PeersSeen(List.of()));
		BitSet held = new BitSet();
		held.set(0, this.pieces.count() - 1);
		int last = reads(apply(new TransferEvent.Held(held))).getFirst();
		apply(new TransferEvent.Verified(last, TransferMachine.ORIGIN));
		List<TransferEffect> effects = apply(new TransferEvent.Stored(last));
		assertThat(effects, hasItem(new TransferEffect.Complete()));
		assertThat(effects, hasItem(instanceOf(TransferEffect.Announce.class)));
	}

	// The process is paused for longer than the deadline, the answers wait in its
	// sockets. Its first tick comes before them: no peer was silent.
	@Test
	void ownPauseIsNotTakenForThePeersSilence() {
		askedOfOther();
		pass(MILLI);
		this.now += DEADLINE * 3;
		assertThat(apply(new TransferEvent.Tick()), not(hasItem(instanceOf(TransferEffect.Notice.class))));
	}

	/**
	 * Lets time pass with ticks and returns what they brought.
	 */
	private List<TransferEffect> pass(long nanos) {
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
			int piece = open.removeFirst();
			read.set(piece);
			open.addAll(reads(apply(new TransferEvent.Verified(piece, TransferMachine.ORIGIN))));
			open.addAll(reads(apply(new TransferEvent.Stored(piece))));
		}
		return read;
	}

	private int askedOfOther() {
		apply(new TransferEvent.PeersSeen(List.of(OTHER)));
		apply(new TransferEvent.LinkUp(OTHER.vm()));
		apply(new TransferEvent.Held(new BitSet()));
		BitSet all = new BitSet();
		all.set(0, this.pieces.count());
		return requests(apply(new TransferEvent.PeerHolds(OTHER.vm(), all)), OTHER).getFirst();
	}

	private void joinTwo() {
		apply(new TransferEvent.PeersSeen(List.of(OTHER, THIRD)));
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
			.map((effect) -> ((TransferEffect.ReadOrigin) effect).piece())
			.toList();
	}

	private static List<Integer> requests(List<TransferEffect> effects, Peer peer) {
		return effects.stream()
			.filter(TransferEffect.Request.class::isInstance)
			.map(TransferEffect.Request.class::cast)
			.filter((request) -> request.vm().equals(peer.vm()))
			.map(TransferEffect.Request::piece)
			.toList();
	}

}
