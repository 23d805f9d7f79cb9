package org.wisteriapost.policy.transfer;

import java.time.Duration;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.Set;

/**
 * Decides which chunks this VM may request from other failure domains.
 *
 * Links between failure domains are few, shared with live traffic and charged by volume.
 * If every VM requested from the least loaded holder, each chunk would cross them nearly
 * once for every VM. Instead one VM of each failure domain, chosen by rendezvous hashing,
 * fetches a chunk from outside, and the others wait until it is held within the failure
 * domain. That VM may be dead or slow: a chunk that has been held anywhere for
 * {@link #MIN_WAIT_NANOS} (or the timeout, if longer) and is still missing here may be
 * requested from any peer. A chunk that is relayed takes a second or more; with a wait of
 * 0.6 s chunks crossed twice, 35 MB between regions instead of 29 MB for two rollouts on
 * 20 VMs.
 */
final class CrossDomainRequests {

	private static final long NEVER = Long.MAX_VALUE;

	private static final long MIN_WAIT_NANOS = Duration.ofMillis(1500).toNanos();

	private final Peer self;

	private final RendezvousRanking ranking;

	private final BitSet allowed;

	private final long[] heldSince;

	CrossDomainRequests(ChunkIndex chunks, Peer self) {
		this.self = self;
		this.ranking = new RendezvousRanking(chunks, self);
		this.allowed = new BitSet(chunks.count());
		this.allowed.set(0, chunks.count());
		this.heldSince = new long[chunks.count()];
		Arrays.fill(this.heldSince, NEVER);
	}

	/**
	 * Recomputes the assignment among the VMs of this failure domain that are not
	 * failing.
	 */
	void update(Collection<Peer> peers, Set<String> failing) {
		List<Peer> sameDomain = peers.stream()
			.filter((peer) -> peer.failureDomain().equals(this.self.failureDomain()))
			.toList();
		this.ranking.update(sameDomain, failing, TransferLimits.Distribution.SWARM);
		for (int chunk = 0; chunk < this.heldSince.length; chunk++) {
			this.allowed.set(chunk, this.ranking.rankOf(chunk) == 0);
		}
	}

	/**
	 * Returns the VMs of this failure domain whose chunks this VM fetches when they fail.
	 */
	Set<String> precedingReaders() {
		return this.ranking.precedingReaders();
	}

	/**
	 * Allows chunks that have been held elsewhere for longer than the wait.
	 */
	void tick(BitSet requestable, ChunkSelector selector, long now, long timeoutNanos) {
		long waitNanos = Math.max(timeoutNanos, MIN_WAIT_NANOS);
		for (int chunk = requestable.nextSetBit(0); chunk >= 0; chunk = requestable.nextSetBit(chunk + 1)) {
			if (selector.holders(chunk) == 0) {
				this.heldSince[chunk] = NEVER;
			}
			else if (this.heldSince[chunk] == NEVER) {
				this.heldSince[chunk] = now;
			}
			else if (now - this.heldSince[chunk] > waitNanos) {
				this.allowed.set(chunk);
			}
		}
	}

	/**
	 * Returns the chunks that may be requested from other failure domains.
	 */
	BitSet allowed() {
		return this.allowed;
	}

}
