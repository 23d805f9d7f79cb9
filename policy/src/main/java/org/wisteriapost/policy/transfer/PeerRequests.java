package org.wisteriapost.policy.transfer;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntConsumer;

import org.wisteriapost.kernel.Invariants;

/**
 * What is asked of peers, part by part, and what becomes of it.
 */
final class PeerRequests {

	// What may be made up for after a pause: long enough for the gap between ticks.
	private static final double BURST_SECONDS = 0.1;

	private final Pieces pieces;

	private final TransferLimits limits;

	private final Invariants invariants;

	private final Holdings holdings;

	private final Neighbourhood neighbours;

	private final PieceChoice choice;

	private final Deadline deadline;

	private final IntConsumer reopen;

	private final RequestWindow window;

	private final Pacer pacer = Pacer.create(BURST_SECONDS);

	private int partBytes = PartSize.of(0);

	/**
	 * Returns requests of which none is made yet.
	 * @param reopen hears that a piece is not to come from a peer any more
	 */
	PeerRequests(Pieces pieces, TransferLimits limits, Invariants invariants, Holdings holdings,
			Neighbourhood neighbours, PieceChoice choice, Deadline deadline, IntConsumer reopen) {
		this.pieces = pieces;
		this.limits = limits;
		this.invariants = invariants;
		this.holdings = holdings;
		this.neighbours = neighbours;
		this.choice = choice;
		this.deadline = deadline;
		this.reopen = reopen;
		this.window = new RequestWindow(limits.outstanding());
	}

	/**
	 * Sets how fast pieces may come in.
	 * @param bytesPerSecond 0 for no limit
	 */
	void rate(double bytesPerSecond, long now) {
		this.pacer.rate(bytesPerSecond, now);
		this.partBytes = PartSize.of(bytesPerSecond);
	}

	/**
	 * Returns how long to wait before more may be asked for, 0 for not at all.
	 */
	long delayNanos(long now) {
		return this.pacer.delayNanos(now);
	}

	/**
	 * Counts bytes that were asked of another than a peer.
	 */
	void others(int bytes) {
		this.pacer.take(bytes);
	}

	/**
	 * Returns whether the link has turned out to be narrow.
	 */
	boolean narrow() {
		return this.window.narrow();
	}

	/**
	 * Asks for as much as may be on its way.
	 * @param fromAfar the pieces that may be asked of VMs in other places
	 */
	void fill(BitSet fromAfar, long now, List<TransferEffect> effects) {
		Optional<PieceChoice.Choice> next = next(fromAfar, now);
		while (next.isPresent()) {
			ask(next.get().peer(), next.get().piece(), now, effects);
			next = next(fromAfar, now);
		}
	}

	/**
	 * Goes on with a piece of which a part has come. One that was given up and comes
	 * after all is gone on with, unless it has meanwhile been asked for elsewhere.
	 */
	void partCame(PeerState peer, TransferEvent.PartCame part, long now, List<TransferEffect> effects) {
		int piece = part.piece();
		boolean wanted = peer.asked(piece, part.end()) || this.holdings.open().get(piece);
		peer.heard(now);
		peer.answered(piece, part.end()).ifPresent((ask) -> took(peer, ask, now));
		if (wanted && this.holdings.missing(piece)) {
			this.holdings.asked(piece);
			peer.begun().put(piece, part.end());
		}
		else if (!peer.brings(piece)) {
			effects.add(new TransferEffect.Drop(peer.vm(), piece));
		}
	}

	/**
	 * Notes how long an answer took.
	 */
	void took(PeerState peer, PeerState.Ask ask, long now) {
		boolean inTime = now - ask.at() <= this.deadline.nanos();
		if (inTime) {
			peer.inTime();
		}
		// What comes late over a link of this VM that is wide tells of the peer alone.
		if (inTime || narrow()) {
			this.deadline.answered(now - ask.at());
		}
		this.window.answered(now - ask.at(), now);
	}

	/**
	 * Gives up all that is asked of a peer. What has come of a piece is kept where the
	 * next part may still come.
	 */
	void release(PeerState peer, List<TransferEffect> effects) {
		peer.begun().keySet().forEach((piece) -> effects.add(new TransferEffect.Drop(peer.vm(), piece)));
		for (int piece : peer.release()) {
			this.reopen.accept(piece);
		}
	}

	/**
	 * Hears that a peer gives no more of a piece now.
	 */
	void refused(PeerState peer, TransferEvent.Refused refused, long now, List<TransferEffect> effects) {
		int piece = refused.piece();
		peer.heard(now);
		int come = peer.answered(piece).map(PeerState.Ask::offset).orElse(0);
		if (refused.busy()) {
			peer.pause(now + this.deadline.busyNanos());
		}
		else if (peer.has().get(piece)) {
			this.neighbours.forget(peer, piece);
		}
		boolean begun = come > 0 && this.holdings.missing(piece) && !this.holdings.open().get(piece);
		if (refused.busy() && begun && peer.mayAskAgain(piece)) {
			peer.begun().put(piece, come);
			return;
		}
		effects.add(new TransferEffect.Drop(peer.vm(), piece));
		this.reopen.accept(piece);
	}

	/**
	 * Forgets what has come of a piece that is here whole.
	 */
	void drop(int piece, List<TransferEffect> effects) {
		for (PeerState peer : this.neighbours.all()) {
			if (peer.begun().remove(piece) != null) {
				effects.add(new TransferEffect.Drop(peer.vm(), piece));
			}
		}
	}

	/**
	 * Gives up what has not come in time.
	 */
	void tick(long now, List<TransferEffect> effects) {
		long limit = this.deadline.nanos();
		for (PeerState peer : this.neighbours.all()) {
			boolean late = peer.asks().values().stream().anyMatch((ask) -> now - ask.at() > limit);
			if (late) {
				this.window.late(now);
				release(peer, effects);
				this.neighbours.discount(peer);
				if (peer.silent(now, limit)) {
					effects.add(new TransferEffect.Notice(TransferMachine.PEER_STALLED, peer.vm(), 0));
				}
			}
		}
	}

	private Optional<PieceChoice.Choice> next(BitSet fromAfar, long now) {
		if (this.neighbours.outstanding() >= room(now) || this.pacer.delayNanos(now) > 0) {
			return Optional.empty();
		}
		Optional<PieceChoice.Choice> begun = nextBegun(now);
		if (begun.isPresent() || this.neighbours.begun() + this.holdings.beingStored() >= this.limits.outstanding()) {
			return begun;
		}
		return this.choice.next(this.holdings.open(), this.neighbours.all(), fromAfar, now);
	}

	// Load: all that is asked for takes longer than the deadline, for the link is full.
	// Harm prevented: what is given up still comes, and asked for anew beside it the link
	// stays full for good. It counts as on its way; one part always may be asked for, so
	// that a peer that never answers does not stop the fetch.
	private int room(long now) {
		return Math.max(1, this.window.size() - this.neighbours.owed(now));
	}

	private void ask(PeerState peer, int piece, long now, List<TransferEffect> effects) {
		this.invariants.holds(this.holdings.missing(piece), "asked-only-what-is-missing", "piece " + piece);
		this.holdings.asked(piece);
		int offset = peer.begun().getOrDefault(piece, 0);
		int end = Math.min(this.pieces.length(piece), offset + this.partBytes);
		peer.ask(piece, end, now);
		this.pacer.take(end - offset);
		boolean last = end == this.pieces.length(piece);
		effects.add(new TransferEffect.Request(peer.vm(), piece, offset, last ? 0 : end - offset));
	}

	// What is nearest to its end goes on first: others can only ask for what is whole.
	private Optional<PieceChoice.Choice> nextBegun(long now) {
		PieceChoice.Choice nearest = null;
		int most = 0;
		for (PeerState peer : this.neighbours.all()) {
			for (Map.Entry<Integer, Integer> begun : peer.begun().entrySet()) {
				if (peer.ready(now) && begun.getValue() > most) {
					most = begun.getValue();
					nearest = new PieceChoice.Choice(peer, begun.getKey());
				}
			}
		}
		return Optional.ofNullable(nearest);
	}

}
