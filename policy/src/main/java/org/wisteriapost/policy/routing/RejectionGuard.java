package org.wisteriapost.policy.routing;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * Decides whether this process's view of the declared routes, tokens and limits is recent
 * enough to reject a request permanently.
 *
 * Declarations change while the network path to the store is congested, slow or broken. A
 * rejection is final: a caller whose route or token was declared seconds ago would not
 * retry. So a request that a stale table does not cover is refused as not run instead;
 * the caller retries or asks another entry.
 *
 * A store that was restored from a copy may lack what it had accepted before, until
 * operators have written it again. Meanwhile its answers confirm nothing.
 *
 * A declaration takes effect after the site's activation delay. A table that was
 * confirmed as the newest within a little less than that contains all active
 * declarations.
 */
public final class RejectionGuard {

	// The rest of the activation delay is for the time from the check to the answer.
	private static final double ACTIVATION_DELAY_SHARE = 0.9;

	// Time after which operators have written again what a restored store had lost.
	private static final long REWRITE_NANOS = Duration.ofSeconds(3).toNanos();

	private final long maxStalenessNanos;

	private final LastConfirmedTime lastConfirmed = new LastConfirmedTime();

	private RejectionGuard(long maxStalenessNanos) {
		this.maxStalenessNanos = maxStalenessNanos;
	}

	/**
	 * Returns a guard that rejects nothing until the declarations were confirmed.
	 * @param activationDelay from a declaration until it takes effect
	 */
	public static RejectionGuard of(Duration activationDelay) {
		return new RejectionGuard((long) (activationDelay.toNanos() * ACTIVATION_DELAY_SHARE));
	}

	/**
	 * Records that all declarations up to a time are known.
	 */
	public void confirmed(long nanos) {
		this.lastConfirmed.confirmed(nanos);
	}

	/**
	 * Discards all confirmations from before a time: this VM was suspended until then,
	 * and they are more stale than the clock shows.
	 */
	public void discardBefore(long nowNanos) {
		this.lastConfirmed.discardBefore(nowNanos);
	}

	/**
	 * Discards all confirmations from before operators can have written again what the
	 * store has lost.
	 * @param nowNanos when this process learns that the store was restored from a copy,
	 * or reads it for the first time: it may just have been restored
	 */
	public void storeRestored(long nowNanos) {
		this.lastConfirmed.discardBefore(nowNanos + REWRITE_NANOS);
	}

	/**
	 * Returns whether a request may be rejected now.
	 */
	public boolean allows(long nowNanos) {
		OptionalLong staleness = stalenessNanos(nowNanos);
		return staleness.isPresent() && staleness.getAsLong() <= this.maxStalenessNanos;
	}

	/**
	 * Returns a permit that holds if there is no further confirmation.
	 * @param nowNanos on the monotonic clock
	 * @param nowEpochMillis the wall clock time, in milliseconds since 1970
	 */
	public RejectionPermit permit(long nowNanos, long nowEpochMillis) {
		OptionalLong confirmed = this.lastConfirmed.nanos();
		return confirmed.isEmpty() ? RejectionPermit.NONE : new RejectionPermit(
				OptionalLong.of(confirmed.getAsLong() + this.maxStalenessNanos), nowNanos, nowEpochMillis);
	}

	/**
	 * Returns the time since the latest confirmation; empty when there is none.
	 */
	public OptionalLong stalenessNanos(long nowNanos) {
		return this.lastConfirmed.stalenessNanos(nowNanos);
	}

}
