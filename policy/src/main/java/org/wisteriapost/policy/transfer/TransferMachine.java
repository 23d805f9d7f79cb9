package org.wisteriapost.policy.transfer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.Invariants;

/**
 * Returns for each event of one fetch the effects that the I/O layer must carry out. Used
 * by one thread.
 */
public final class TransferMachine {

	/** A peer sent wrong bytes. */
	public static final Code PEER_CORRUPT = Code.warning("peer-chunk-corrupt",
			"A peer sent a chunk whose hash is wrong; it was dropped and the peer is left alone for a while.");

	/** The origin sent wrong bytes several times. */
	public static final Code ORIGIN_CORRUPT = Code.error("origin-chunk-corrupt",
			"The origin keeps sending a chunk whose hash is not the bundle's.");

	/** A peer's link is open but nothing comes. */
	public static final Code PEER_STALLED = Code.warning("peer-stalled",
			"A peer's link is open but its answers do not come; its chunks are fetched elsewhere.");

	/** The source of what was read from the origin. */
	public static final String ORIGIN = "";

	private static final long DISTRUST_NANOS = Duration.ofSeconds(30).toNanos();

	private static final int ORIGIN_ATTEMPTS = 3;

	private final Pieces pieces;

	private final TransferLimits limits;

	private final Invariants invariants;

	private final Holdings holdings;

	private final Neighbourhood neighbours;

	private final Map<Integer, Integer> originStrikes = new HashMap<>();

	private final PieceChoice choice;

	private final PlaceReaders readers;

	private final OriginDuty origin;

	private final Deadline deadline;

	private final PeerRequests requests;

	private List<Peer> peers = List.of();

	private Set<String> failing = Set.of();

	private long announcedAt = Long.MIN_VALUE / 2;

	private boolean started;

	private boolean informed;

	private long startedAt;

	private long tickedAt;

	private boolean ended;

	private boolean complete;

	private TransferMachine(Pieces pieces, Peer self, TransferLimits limits, UniformRandomProvider random,
			Invariants invariants) {
		this.pieces = pieces;
		this.limits = limits;
		this.invariants = invariants;
		this.holdings = new Holdings(pieces);
		this.choice = new PieceChoice(pieces.count(), limits, random);
		this.neighbours = new Neighbourhood(self, limits, this.choice);
		this.readers = new PlaceReaders(pieces, self);
		this.deadline = new Deadline(limits.progressDeadline());
		this.requests = new PeerRequests(pieces, limits, invariants, this.holdings, this.neighbours, this.choice,
				this.deadline, this::reopen);
		int cursor = (pieces.count() > 0) ? random.nextInt(pieces.count()) : 0;
		this.origin = new OriginDuty(pieces, limits, new OriginRank(pieces, self), this.choice, cursor);
	}

	/**
	 * Returns a machine that waits for {@link TransferEvent.Held}.
	 * @param random decides among equals
	 * @param invariants counts promises found broken
	 */
	public static TransferMachine create(Pieces pieces, Peer self, TransferLimits limits, UniformRandomProvider random,
			Invariants invariants) {
		return new TransferMachine(pieces, self, limits, random, invariants);
	}

	/**
	 * Returns how many pieces are verified and stored.
	 */
	public int verified() {
		return this.holdings.have().cardinality();
	}

	/**
	 * Returns which pieces are verified and stored.
	 */
	public BitSet held() {
		return (BitSet) this.holdings.have().clone();
	}

	/**
	 * Applies one event.
	 * @param now the monotonic clock, in nanos
	 */
	public List<TransferEffect> apply(TransferEvent event, long now) {
		List<TransferEffect> effects = new ArrayList<>();
		switch (event) {
			case TransferEvent.PeersSeen seen -> meet(seen.peers(), now, effects);
			case TransferEvent.LinkUp up ->
				this.neighbours.peer(up.vm()).ifPresent((peer) -> this.neighbours.greet(peer, now));
			case TransferEvent.LinkDown down -> this.neighbours.peer(down.vm())
				.ifPresent((peer) -> this.neighbours.lose(peer, now).forEach(this::reopen));
			case TransferEvent.PeerHolds holds ->
				this.neighbours.peer(holds.vm()).ifPresent((peer) -> learn(peer, holds.pieces(), now));
			case TransferEvent.PeerIdle idle -> this.neighbours.peer(idle.vm()).ifPresent((peer) -> {
				peer.greeted(true);
				peer.idle(now);
			});
			case TransferEvent.Held held -> start(held.pieces(), now, effects);
			case TransferEvent.PartCame part ->
				this.neighbours.peer(part.vm()).ifPresent((peer) -> this.requests.partCame(peer, part, now, effects));
			case TransferEvent.Verified verified -> take(verified.piece(), verified.source(), now, effects);
			case TransferEvent.Corrupt corrupt -> reject(corrupt.piece(), corrupt.source(), now, effects);
			case TransferEvent.Refused refused -> this.neighbours.peer(refused.vm())
				.ifPresent((peer) -> this.requests.refused(peer, refused, now, effects));
			case TransferEvent.OriginFailed failed -> originFailed(failed, now, effects);
			case TransferEvent.Stored stored -> stored(stored.piece(), effects);
			case TransferEvent.Lost lost -> lost(lost.piece());
			case TransferEvent.RateSet rate -> this.requests.rate(rate.bytesPerSecond(), now);
			case TransferEvent.Tick tick -> tick(now, effects);
		}
		rank(now);
		fill(now, effects);
		announce(now, effects);
		return effects;
	}

	private void meet(List<Peer> seen, long now, List<TransferEffect> effects) {
		this.peers = seen;
		this.failing = Set.of();
		this.origin.rank(this.peers, this.failing);
		this.readers.update(this.peers, this.failing);
		this.neighbours.meet(seen, watched(), now, effects).forEach(this::reopen);
	}

	// Load: some of the VMs that are believed to be there are gone, or fetch something
	// else. Harm prevented: the pieces that they were to read appear only after nothing
	// else does, and everybody waits for these: 2.0 to 2.3 times S/L with one in ten
	// gone, in virtual time. The second in rank has a link to the first, so it sees at
	// once that it can't be had: 1.4 to 1.6 times S/L.
	private Set<String> watched() {
		if (this.limits.design() != TransferLimits.Design.SWARM) {
			return Set.of();
		}
		Set<String> watched = new HashSet<>(this.origin.readersBefore());
		if (this.limits.placeReaders()) {
			watched.addAll(this.readers.readersBefore());
		}
		return watched;
	}

	private void reopen(int piece) {
		if (!this.origin.reads().containsKey(piece) && this.neighbours.askedOf(piece) == 0) {
			this.holdings.reopen(piece);
		}
	}

	private void learn(PeerState peer, BitSet pieces, long now) {
		if (!peer.up()) {
			return;
		}
		peer.heard(now);
		BitSet added = this.neighbours.learn(peer, pieces);
		boolean news = added.stream().anyMatch((piece) -> this.choice.holders(piece) == 1 && !this.holdings.has(piece));
		if (news) {
			this.origin.news(now);
		}
	}

	private void start(BitSet held, long now, List<TransferEffect> effects) {
		this.started = true;
		this.startedAt = now;
		this.origin.news(now);
		this.holdings.found(held);
		held.stream().forEach((piece) -> copy(piece, effects));
		finishIfWhole(effects);
	}

	private void take(int piece, String source, long now, List<TransferEffect> effects) {
		answered(piece, source, now);
		if (!this.holdings.missing(piece)) {
			return;
		}
		if (this.choice.holders(piece) == 0) {
			this.origin.news(now);
		}
		this.holdings.storing(piece);
		effects.add(new TransferEffect.Store(piece));
		this.requests.drop(piece, effects);
	}

	private void answered(int piece, String source, long now) {
		if (source.equals(ORIGIN)) {
			this.origin.succeeded(piece);
			return;
		}
		this.neighbours.peer(source).ifPresent((peer) -> {
			peer.heard(now);
			peer.answered(piece).ifPresent((ask) -> this.requests.took(peer, ask, now));
		});
	}

	private void reject(int piece, String source, long now, List<TransferEffect> effects) {
		if (source.equals(ORIGIN)) {
			this.origin.failed(piece, now);
			if (this.originStrikes.merge(piece, 1, Integer::sum) >= ORIGIN_ATTEMPTS) {
				end(new TransferEffect.Fail(ORIGIN_CORRUPT, piece), effects);
			}
			reopen(piece);
			return;
		}
		effects.add(new TransferEffect.Notice(PEER_CORRUPT, source, piece));
		this.neighbours.peer(source).ifPresent((peer) -> {
			this.neighbours.discount(peer);
			peer.corrupt(now, DISTRUST_NANOS);
			peer.answered(piece);
			reopen(piece);
			this.requests.release(peer, effects);
		});
	}

	private void originFailed(TransferEvent.OriginFailed failed, long now, List<TransferEffect> effects) {
		this.origin.failed(failed.piece(), now);
		reopen(failed.piece());
		if (failed.changed()) {
			end(new TransferEffect.Changed(failed.piece()), effects);
		}
	}

	private void end(TransferEffect last, List<TransferEffect> effects) {
		if (!this.ended) {
			this.ended = true;
			effects.add(last);
		}
	}

	private void stored(int piece, List<TransferEffect> effects) {
		this.invariants.holds(!this.holdings.has(piece), "piece-stored-once", "piece " + piece);
		this.holdings.stored(piece);
		copy(piece, effects);
		finishIfWhole(effects);
	}

	private void copy(int piece, List<TransferEffect> effects) {
		for (int twin : this.pieces.twins(piece)) {
			if (!this.holdings.has(twin)) {
				effects.add(new TransferEffect.Copy(piece, twin));
			}
		}
	}

	private void finishIfWhole(List<TransferEffect> effects) {
		if (!this.complete && this.started && this.holdings.whole()) {
			this.complete = true;
			effects.add(new TransferEffect.Complete());
		}
	}

	private void lost(int piece) {
		this.complete = false;
		this.holdings.lost(piece);
		reopen(piece);
	}

	private void tick(long now, List<TransferEffect> effects) {
		this.neighbours.tick(now, effects);
		long limit = this.deadline.nanos();
		if (now - this.tickedAt > limit / 2) {
			excuse(now);
		}
		this.tickedAt = now;
		this.requests.tick(now, effects);
		this.origin.reads().forEach((piece, since) -> reopenIfHeld(piece, now - since > limit));
		// Before the start there is no news to miss: taken for a stall, it would make
		// every VM read what others are to read.
		if (this.started) {
			this.origin.tick(this.holdings.open(), now, limit);
			this.readers.tick(this.holdings.open(), this.choice, now, limit);
		}
	}

	// A process that was paused finds all its requests late at once. Taken for silence of
	// its peers, that would make it pass over all of them and turn to the origin.
	private void excuse(long now) {
		this.neighbours.all().forEach((peer) -> peer.excuse(now));
		this.origin.news(now);
	}

	// An origin read may hang for longer than it takes a peer to come by the same piece.
	private void reopenIfHeld(int piece, boolean late) {
		if (late && this.neighbours.askedOf(piece) == 0 && this.choice.holders(piece) > 0) {
			this.holdings.reopen(piece);
		}
	}

	private void rank(long now) {
		Set<String> current = this.neighbours.failing(now);
		if (!current.equals(this.failing)) {
			this.failing = current;
			this.origin.rank(this.peers, current);
			this.readers.update(this.peers, current);
		}
	}

	private void fill(long now, List<TransferEffect> effects) {
		if (!this.started || this.ended || this.holdings.whole()) {
			return;
		}
		OptionalInt read = nextRead(now);
		while (read.isPresent()) {
			this.holdings.asked(read.getAsInt());
			this.requests.others(this.pieces.length(read.getAsInt()));
			effects.add(new TransferEffect.ReadOrigin(read.getAsInt()));
			read = nextRead(now);
		}
		this.requests.fill(this.readers.allowed(), now, effects);
	}

	// A VM that joins late, or again after a restart, would read its share of the origin
	// though its neighbours hold it all. So it first hears what they hold; a neighbour
	// that is silent holds it up for no longer than the deadline.
	private boolean informed(long now) {
		if (!this.informed) {
			this.informed = this.neighbours.greeted()
					|| now - this.startedAt > this.limits.progressDeadline().toNanos();
		}
		return this.informed;
	}

	private OptionalInt nextRead(long now) {
		if (!informed(now) || this.requests.delayNanos(now) > 0
				|| this.holdings.beingStored() >= this.limits.outstanding()) {
			return OptionalInt.empty();
		}
		// The origin sends whole pieces only.
		if (this.requests.narrow() && !this.origin.reads().isEmpty()) {
			return OptionalInt.empty();
		}
		return this.origin.next(this.holdings.open(), now, this.deadline.nanos());
	}

	// Bounded in rate: 810 VMs that told each of their neighbours of every piece at once
	// would spend more on the telling than control may cost.
	private void announce(long now, List<TransferEffect> effects) {
		// The last pieces are told at once: this fetch ends here, and a neighbour that
		// never heard of them would wait for their reader.
		boolean due = this.complete || now - this.announcedAt >= this.limits.announceInterval().toNanos();
		if (due && this.holdings.news()) {
			this.announcedAt = now;
			effects.add(new TransferEffect.Announce(this.holdings.takeNews()));
		}
	}

}
