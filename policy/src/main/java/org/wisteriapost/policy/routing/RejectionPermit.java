package org.wisteriapost.policy.routing;

import java.util.OptionalLong;

import org.wisteriapost.kernel.SuspensionDetector;

/**
 * A snapshot of a {@link RejectionGuard}, for use by other threads.
 *
 * The thread of the guard may be delayed, or the VM suspended, after the permit was
 * issued. Another thread must not reject a request by a state that has become stale
 * meanwhile, so each check passes the current time of both clocks.
 *
 * @param untilNanos until when requests may be rejected; empty if they may not
 * @param issuedNanos when the permit was issued, on the monotonic clock
 * @param issuedEpochMillis when the permit was issued, on the wall clock
 */
public record RejectionPermit(OptionalLong untilNanos, long issuedNanos, long issuedEpochMillis) {

	/** Allows no rejections. */
	public static final RejectionPermit NONE = new RejectionPermit(OptionalLong.empty(), 0, 0);

	/**
	 * Returns whether a request may be rejected now.
	 * @param nowNanos on the monotonic clock
	 * @param nowEpochMillis the wall clock time, in milliseconds since 1970
	 */
	public boolean allows(long nowNanos, long nowEpochMillis) {
		return this.untilNanos.isPresent() && nowNanos - this.untilNanos.getAsLong() <= 0
				&& !SuspensionDetector.start(this.issuedNanos, this.issuedEpochMillis)
					.detectSuspension(nowNanos, nowEpochMillis);
	}

}
