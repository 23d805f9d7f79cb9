package org.wisteriapost.policy.routing;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * Whether what this process knows of the declared routes, tokens and limits is recent
 * enough to call a request wrong for good.
 *
 * Load: declarations change while the way to where they are read is full, slow or cut.
 * Harm prevented: a caller whose route or token was declared seconds ago is told that
 * there is none, and does not come back, since an answer of that kind is final. A request
 * that an old table does not cover is refused as not run instead; the caller comes back
 * or asks another entry.
 *
 * A declaration binds when the site's bound for it has passed. What was known to be the
 * newest within a little less than that holds everything that binds, so this is enough.
 */
public final class RejectionGuard {

	// What is left of the bound covers the time from the check to the answer.
	private static final double USED_SHARE = 0.9;

	private final long mostAgeNanos;

	private final KnownMoment known = new KnownMoment();

	private RejectionGuard(long mostAgeNanos) {
		this.mostAgeNanos = mostAgeNanos;
	}

	/**
	 * Returns a guard that rejects nothing until something was confirmed.
	 * @param inForce from a declaration until it binds
	 */
	public static RejectionGuard of(Duration inForce) {
		return new RejectionGuard((long) (inForce.toNanos() * USED_SHARE));
	}

	/**
	 * Hears that all that was declared up to a moment is known.
	 */
	public void confirmed(long nanos) {
		this.known.confirmed(nanos);
	}

	/**
	 * Hears that what was known before a moment may be older than the clock says: this VM
	 * was suspended. It counts no more.
	 */
	public void doubt(long nowNanos) {
		this.known.doubt(nowNanos);
	}

	/**
	 * Returns whether a request may be called wrong now.
	 */
	public boolean allows(long nowNanos) {
		OptionalLong age = ageNanos(nowNanos);
		return age.isPresent() && age.getAsLong() <= this.mostAgeNanos;
	}

	/**
	 * Returns what is allowed from now on if nothing more is heard.
	 * @param nowNanos on the monotonic clock
	 * @param nowDayMillis the time of day, in milliseconds since 1970
	 */
	public RejectionPermit permit(long nowNanos, long nowDayMillis) {
		OptionalLong asOf = this.known.nanos();
		return asOf.isEmpty() ? RejectionPermit.NONE
				: new RejectionPermit(OptionalLong.of(asOf.getAsLong() + this.mostAgeNanos), nowNanos, nowDayMillis);
	}

	/**
	 * Returns how long ago the newest moment is as of which all is known.
	 */
	public OptionalLong ageNanos(long nowNanos) {
		return this.known.ageNanos(nowNanos);
	}

}
