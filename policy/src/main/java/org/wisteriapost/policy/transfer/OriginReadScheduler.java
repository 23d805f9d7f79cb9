package org.wisteriapost.policy.transfer;

import java.time.Duration;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;

/**
 * Decides which chunk this VM reads from the origin next.
 *
 * The origin's link carries four copies in the time of a rollout, for hundreds of VMs, so
 * each chunk is read by one assigned VM and the others wait for it. That VM may be dead
 * or stalled: when no chunk has newly appeared anywhere within the timeout, chunks
 * without a known holder count as orphaned, and the other VMs read them in order of rank,
 * one timeout apart. While the origin is merely slow, chunks keep appearing and no other
 * VM takes over.
 */
final class OriginReadScheduler {

	private static final long NONE = Long.MAX_VALUE;

	// Beyond this rank the VMs take over together, spread by rank over the same time
	// again: a VM that reaches no peer must not wait for hundreds of timeouts.
	private static final int MAX_STEPS = 8;

	private static final long MIN_BACKOFF_NANOS = Duration.ofMillis(100).toNanos();

	// The origin may fail for seconds right after a new target version is published,
	// with part of its only copy unread. A longer backoff would leave it unread after it
	// recovers, and engines would get the weights too late for their activation: with a
	// backoff of up to five seconds, an origin that was away for 6 s was read again 5 s
	// after its return. 810 VMs
	// that retry twice a second make some 1,600 connection attempts a second, and only
	// while the origin is down.
	private static final long MAX_BACKOFF_NANOS = Duration.ofMillis(500).toNanos();

	private final TransferLimits limits;

	private final RendezvousRanking ranking;

	private final ChunkSelector selector;

	private final Map<Integer, Long> pendingReads = new HashMap<>();

	private final long[] orphanedAt;

	private long lastProgressAt;

	private long backoffUntil = Long.MIN_VALUE;

	private long backoffNanos = MIN_BACKOFF_NANOS;

	private int cursor;

	OriginReadScheduler(ChunkIndex chunks, TransferLimits limits, RendezvousRanking ranking, ChunkSelector selector,
			int cursor) {
		this.limits = limits;
		this.ranking = ranking;
		this.selector = selector;
		this.cursor = cursor;
		this.orphanedAt = new long[chunks.count()];
		Arrays.fill(this.orphanedAt, NONE);
	}

	/**
	 * Returns the reads in flight and when each was started.
	 */
	Map<Integer, Long> pendingReads() {
		return this.pendingReads;
	}

	/**
	 * Records that a chunk has newly appeared in the local store or at a peer.
	 */
	void recordProgress(long now) {
		this.lastProgressAt = now;
	}

	/**
	 * Returns the chunk to read now, if any.
	 */
	OptionalInt next(BitSet requestable, long now, long timeoutNanos) {
		if (now < this.backoffUntil || this.pendingReads.size() >= this.limits.maxOriginReads()) {
			return OptionalInt.empty();
		}
		OptionalInt found = scan(requestable, this.cursor, this.orphanedAt.length, now, timeoutNanos);
		if (found.isEmpty()) {
			found = scan(requestable, 0, this.cursor, now, timeoutNanos);
		}
		found.ifPresent((chunk) -> {
			this.cursor = chunk;
			this.pendingReads.put(chunk, now);
		});
		return found;
	}

	/**
	 * Marks chunks that no peer holds as orphaned once no chunk has appeared within the
	 * timeout.
	 */
	void tick(BitSet requestable, long now, long timeoutNanos) {
		if (now - this.lastProgressAt <= timeoutNanos || !this.pendingReads.isEmpty()) {
			return;
		}
		for (int chunk = requestable.nextSetBit(0); chunk >= 0; chunk = requestable.nextSetBit(chunk + 1)) {
			if (this.selector.holders(chunk) == 0 && this.orphanedAt[chunk] == NONE) {
				this.orphanedAt[chunk] = now;
			}
		}
	}

	void recordSuccess(int chunk) {
		this.pendingReads.remove(chunk);
		this.backoffNanos = MIN_BACKOFF_NANOS;
	}

	// While the origin is down no chunk appears, and every VM in turn would take the
	// assigned readers for dead; once it recovers they would all read the same chunks,
	// 0.5 to 0.7 of a copy more than needed. A failed read shows that the origin and not
	// the readers is at fault, so their timeouts start anew.
	void recordFailure(int chunk, long now) {
		this.pendingReads.remove(chunk);
		this.lastProgressAt = now;
		Arrays.fill(this.orphanedAt, NONE);
		this.backoffUntil = now + this.backoffNanos;
		this.backoffNanos = Math.min(MAX_BACKOFF_NANOS, this.backoffNanos * 2);
	}

	private OptionalInt scan(BitSet requestable, int from, int to, long now, long timeoutNanos) {
		for (int chunk = requestable.nextSetBit(from); chunk >= 0
				&& chunk < to; chunk = requestable.nextSetBit(chunk + 1)) {
			if (isDue(chunk, now, timeoutNanos)) {
				return OptionalInt.of(chunk);
			}
		}
		return OptionalInt.empty();
	}

	private boolean isDue(int chunk, long now, long timeoutNanos) {
		if (this.selector.holders(chunk) > 0) {
			this.orphanedAt[chunk] = NONE;
			return false;
		}
		int steps = this.ranking.rankOf(chunk) - this.limits.originReadersPerChunk() + 1;
		if (steps <= 0) {
			return true;
		}
		if (this.orphanedAt[chunk] == NONE) {
			return false;
		}
		return now - this.orphanedAt[chunk] >= fallbackDelayNanos(steps - 1, timeoutNanos);
	}

	private long fallbackDelayNanos(int steps, long timeoutNanos) {
		if (steps < MAX_STEPS) {
			return steps * timeoutNanos;
		}
		return MAX_STEPS * timeoutNanos * (this.ranking.size() + steps) / this.ranking.size();
	}

	/**
	 * Returns the VMs whose chunks this VM reads when they fail.
	 */
	Set<String> precedingReaders() {
		return this.ranking.precedingReaders();
	}

	/**
	 * Recomputes the ranks after a change of the peers or of their state.
	 */
	void updateRanks(java.util.Collection<Peer> peers, Set<String> failing) {
		this.ranking.update(peers, failing, this.limits.distribution());
	}

}
