package org.wisteriapost.policy.dispatch;

import java.time.Duration;
import java.util.Optional;

/**
 * Whether requests that could still be answered in time find no free slot, at this entry
 * or at its peers.
 *
 * Under a lasting shortage each entry has free slots in view now and then. Were it to
 * judge by its own requests alone, it would give these slots to requests that are late
 * already, while its peers refuse requests that could be in time.
 */
public final class Contention {

	/**
	 * How long the fleet counts as contended after a request found no slot. An entry
	 * refuses about one request per second under a moderate shortage.
	 */
	static final Duration WINDOW = Duration.ofSeconds(1);

	private static final long NEVER = Long.MIN_VALUE / 2;

	private long ownNanos = NEVER;

	private long peersNanos = NEVER;

	Contention() {
	}

	/**
	 * Records that a request of this entry that could be in time found no slot.
	 */
	void noFreeSlot(long nowNanos) {
		this.ownNanos = nowNanos;
	}

	/**
	 * Records what a peer has reported.
	 * @param ago the time since a request of the peer found no slot
	 */
	public void reported(Duration ago, long nowNanos) {
		this.peersNanos = Math.max(this.peersNanos, nowNanos - ago.toNanos());
	}

	/**
	 * Returns the time since a request of this entry found no slot, for a report to the
	 * peers; empty if the entry is not contended.
	 */
	public Optional<Duration> own(long nowNanos) {
		long ago = nowNanos - this.ownNanos;
		return (ago < WINDOW.toNanos()) ? Optional.of(Duration.ofNanos(ago)) : Optional.empty();
	}

	/**
	 * Returns whether slots are needed for requests that could be in time.
	 */
	boolean active(long nowNanos) {
		return nowNanos - Math.max(this.ownNanos, this.peersNanos) < WINDOW.toNanos();
	}

}
