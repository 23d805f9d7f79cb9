package org.wisteriapost.policy.routing;

import java.util.OptionalLong;

/**
 * The latest time as of which a state was confirmed, on this process's monotonic clock.
 */
public final class LastConfirmedTime {

	private OptionalLong confirmedNanos = OptionalLong.empty();

	private OptionalLong notBeforeNanos = OptionalLong.empty();

	/**
	 * Records that the state is confirmed as of a time.
	 */
	public void confirmed(long nanos) {
		boolean tooOld = this.notBeforeNanos.isPresent() && nanos - this.notBeforeNanos.getAsLong() < 0;
		if (!tooOld && (this.confirmedNanos.isEmpty() || nanos - this.confirmedNanos.getAsLong() > 0)) {
			this.confirmedNanos = OptionalLong.of(nanos);
		}
	}

	/**
	 * Discards all confirmations from before a time, as the clock stood still until then:
	 * this VM was suspended.
	 *
	 * What was confirmed or requested before seems less stale than it is, by the duration
	 * of the suspension; a request would be rejected by an outdated state, here or at a
	 * peer that receives the staleness.
	 */
	public void discardBefore(long nowNanos) {
		clear();
		boolean later = this.notBeforeNanos.isEmpty() || nowNanos - this.notBeforeNanos.getAsLong() > 0;
		if (later) {
			this.notBeforeNanos = OptionalLong.of(nowNanos);
		}
	}

	/**
	 * Discards the confirmed time; used when another state is to be confirmed from now
	 * on.
	 */
	public void clear() {
		this.confirmedNanos = OptionalLong.empty();
	}

	/**
	 * Returns the latest confirmed time; empty when there is none.
	 */
	public OptionalLong nanos() {
		return this.confirmedNanos;
	}

	/**
	 * Returns the time since then; empty when there is none.
	 */
	public OptionalLong stalenessNanos(long nowNanos) {
		return this.confirmedNanos.isEmpty() ? OptionalLong.empty()
				: OptionalLong.of(nowNanos - this.confirmedNanos.getAsLong());
	}

}
