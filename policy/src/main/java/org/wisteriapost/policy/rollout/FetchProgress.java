package org.wisteriapost.policy.rollout;

import java.time.Duration;

/**
 * The progress of a fetch, and estimates of its rate.
 *
 * While the origin is unreachable no chunk arrives for seconds. That time says nothing
 * about the rate before and after it.
 */
final class FetchProgress {

	// Chunks arrive every few tens of milliseconds, also on a link at a tenth of its
	// usual rate.
	private static final long STALL_NANOS = Duration.ofMillis(500).toNanos();

	private static final double MIN_SHARE = 0.02;

	private long startedNanos;

	private double share;

	private long activeNanos;

	private long lastIncreaseNanos;

	private boolean stalled;

	private boolean resumed;

	void started(long nowNanos) {
		this.startedNanos = nowNanos;
		this.share = 0;
		this.activeNanos = 0;
		this.lastIncreaseNanos = nowNanos;
		this.stalled = false;
		this.resumed = false;
	}

	/**
	 * Records the share that has been fetched, from 0 to 1, and returns whether it has
	 * increased.
	 */
	boolean update(double newShare, long nowNanos) {
		if (newShare <= this.share) {
			this.share = newShare;
			this.stalled |= nowNanos - this.lastIncreaseNanos > STALL_NANOS;
			return false;
		}
		this.resumed = this.stalled;
		this.share = newShare;
		this.activeNanos += this.stalled ? STALL_NANOS : nowNanos - this.lastIncreaseNanos;
		this.lastIncreaseNanos = nowNanos;
		this.stalled = false;
		return true;
	}

	/**
	 * Returns whether the last chunks that arrived ended a stall.
	 */
	boolean resumed() {
		return this.resumed;
	}

	double share() {
		return this.share;
	}

	/**
	 * Returns how long a whole fetch takes at the rate observed so far, stalls included.
	 */
	long wholeFetchNanos(long nowNanos) {
		return (long) ((nowNanos - this.startedNanos) / Math.max(MIN_SHARE, this.share));
	}

	/**
	 * Returns how long the rest of the fetch takes without stalls.
	 */
	long restNanos() {
		return (long) ((1 - this.share) * wholeFetchWithoutStallsNanos());
	}

	/**
	 * Returns how long a whole fetch takes without stalls.
	 */
	long wholeFetchWithoutStallsNanos() {
		return (long) (this.activeNanos / Math.max(MIN_SHARE, this.share));
	}

	long elapsedNanos(long nowNanos) {
		return nowNanos - this.startedNanos;
	}

}
