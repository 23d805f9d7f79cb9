package org.wisteriapost.policy.transfer;

import java.time.Duration;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;

/**
 * Which piece this VM reads from the origin next.
 *
 * The origin's link carries four copies in the time of a roll, for hundreds of VMs. So
 * each piece has one reader, and the others wait for it. That reader may be dead or
 * stalled: when no piece has newly appeared anywhere for the progress deadline, what
 * nobody holds counts as orphaned, and the VMs step in one after the other in the order
 * of their ranks, one deadline apart. While the origin is merely slow, pieces keep
 * appearing and nobody steps in.
 */
final class OriginDuty {

	private static final long NONE = Long.MAX_VALUE;

	// From this rank on VMs step in together, spread by rank over the same time again: a
	// VM that sees nobody must not wait hundreds of deadlines.
	private static final int MOST_STEPS = 8;

	private static final long FIRST_PAUSE_NANOS = Duration.ofMillis(100).toNanos();

	// Load: the origin goes away for seconds just after weights were named, with a part
	// of its one copy still unread. Harm prevented: every VM that found it away goes on
	// waiting once it is back. With pauses of up to five seconds, an origin that was
	// away for 6 s was read again 5 s after its return, and no engine could take the
	// weights before they had to be in force. 810 VMs that ask twice a second are 1,600
	// attempts a second to connect, while it is away only.
	private static final long MOST_PAUSE_NANOS = Duration.ofMillis(500).toNanos();

	private final TransferLimits limits;

	private final OriginRank ranks;

	private final PieceChoice choice;

	private final Map<Integer, Long> reads = new HashMap<>();

	private final long[] orphanedAt;

	private long newsAt;

	private long pausedUntil = Long.MIN_VALUE;

	private long pauseNanos = FIRST_PAUSE_NANOS;

	private int cursor;

	OriginDuty(Pieces pieces, TransferLimits limits, OriginRank ranks, PieceChoice choice, int cursor) {
		this.limits = limits;
		this.ranks = ranks;
		this.choice = choice;
		this.cursor = cursor;
		this.orphanedAt = new long[pieces.count()];
		Arrays.fill(this.orphanedAt, NONE);
	}

	/**
	 * Returns the reads in flight and when they began.
	 */
	Map<Integer, Long> reads() {
		return this.reads;
	}

	/**
	 * Hears that a piece has newly appeared here or at a neighbour.
	 */
	void news(long now) {
		this.newsAt = now;
	}

	/**
	 * Returns what to read now.
	 */
	OptionalInt next(BitSet open, long now, long deadlineNanos) {
		if (now < this.pausedUntil || this.reads.size() >= this.limits.originReads()) {
			return OptionalInt.empty();
		}
		OptionalInt found = scan(open, this.cursor, this.orphanedAt.length, now, deadlineNanos);
		if (found.isEmpty()) {
			found = scan(open, 0, this.cursor, now, deadlineNanos);
		}
		found.ifPresent((piece) -> {
			this.cursor = piece;
			this.reads.put(piece, now);
		});
		return found;
	}

	/**
	 * Marks what nobody holds once nothing new has come for the deadline.
	 */
	void tick(BitSet open, long now, long deadlineNanos) {
		if (now - this.newsAt <= deadlineNanos || !this.reads.isEmpty()) {
			return;
		}
		for (int piece = open.nextSetBit(0); piece >= 0; piece = open.nextSetBit(piece + 1)) {
			if (this.choice.holders(piece) == 0 && this.orphanedAt[piece] == NONE) {
				this.orphanedAt[piece] = now;
			}
		}
	}

	void succeeded(int piece) {
		this.reads.remove(piece);
		this.pauseNanos = FIRST_PAUSE_NANOS;
	}

	// Load: the origin is away for seconds and comes back. Harm prevented: while it is
	// away nothing appears, so all VMs in turn come to think that the readers are dead;
	// once it is back they all read the same pieces, and its link carries 0.5 to 0.7 of a
	// copy more than it has to. Whoever finds the origin away knows that the readers are
	// not to blame, and gives them their time anew.
	void failed(int piece, long now) {
		this.reads.remove(piece);
		this.newsAt = now;
		Arrays.fill(this.orphanedAt, NONE);
		this.pausedUntil = now + this.pauseNanos;
		this.pauseNanos = Math.min(MOST_PAUSE_NANOS, this.pauseNanos * 2);
	}

	private OptionalInt scan(BitSet open, int from, int to, long now, long deadlineNanos) {
		for (int piece = open.nextSetBit(from); piece >= 0 && piece < to; piece = open.nextSetBit(piece + 1)) {
			if (due(piece, now, deadlineNanos)) {
				return OptionalInt.of(piece);
			}
		}
		return OptionalInt.empty();
	}

	private boolean due(int piece, long now, long deadlineNanos) {
		if (this.choice.holders(piece) > 0) {
			this.orphanedAt[piece] = NONE;
			return false;
		}
		int steps = this.ranks.of(piece) - this.limits.originCopies() + 1;
		if (steps <= 0) {
			return true;
		}
		if (this.orphanedAt[piece] == NONE) {
			return false;
		}
		return now - this.orphanedAt[piece] >= wait(steps - 1, deadlineNanos);
	}

	private long wait(int steps, long deadlineNanos) {
		if (steps < MOST_STEPS) {
			return steps * deadlineNanos;
		}
		return MOST_STEPS * deadlineNanos * (this.ranks.size() + steps) / this.ranks.size();
	}

	/**
	 * Returns the VMs in whose place this one reads when they fail.
	 */
	Set<String> readersBefore() {
		return this.ranks.readersBefore();
	}

	/**
	 * Ranks anew after a change.
	 */
	void rank(java.util.Collection<Peer> peers, Set<String> failing) {
		this.ranks.update(peers, failing, this.limits.design());
	}

}
