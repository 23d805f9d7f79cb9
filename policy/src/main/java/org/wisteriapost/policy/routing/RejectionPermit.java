package org.wisteriapost.policy.routing;

import java.util.OptionalLong;

import org.wisteriapost.kernel.SuspensionWatch;

/**
 * What a {@link RejectionGuard} allowed at one moment, for threads that look at it later.
 *
 * Failure: the thread that decides is held up, or the VM was suspended since it spoke.
 * Symptom: another thread calls a request wrong by a belief that has grown old meanwhile.
 * So whoever looks says when that is, by both clocks.
 *
 * @param untilNanos until when a request may be called wrong; empty for not at all
 * @param saidNanos when it was said, by the monotonic clock
 * @param saidDayMillis when it was said, by the time of day
 */
public record RejectionPermit(OptionalLong untilNanos, long saidNanos, long saidDayMillis) {

	/** Nothing may be called wrong. */
	public static final RejectionPermit NONE = new RejectionPermit(OptionalLong.empty(), 0, 0);

	/**
	 * Returns whether a request may be called wrong now.
	 * @param nowNanos on the monotonic clock
	 * @param nowDayMillis the time of day, in milliseconds since 1970
	 */
	public boolean allows(long nowNanos, long nowDayMillis) {
		return this.untilNanos.isPresent() && nowNanos - this.untilNanos.getAsLong() <= 0
				&& !SuspensionWatch.start(this.saidNanos, this.saidDayMillis).woke(nowNanos, nowDayMillis);
	}

}
