package org.wisteriapost.policy.routing;

import java.util.OptionalLong;

/**
 * The newest moment as of which something is known, by this process's monotonic clock.
 */
public final class KnownMoment {

	private OptionalLong newestNanos = OptionalLong.empty();

	private OptionalLong doubtNanos = OptionalLong.empty();

	/**
	 * Hears that all there was at a moment is known.
	 */
	public void confirmed(long nanos) {
		boolean doubtful = this.doubtNanos.isPresent() && nanos - this.doubtNanos.getAsLong() < 0;
		if (!doubtful && (this.newestNanos.isEmpty() || nanos - this.newestNanos.getAsLong() > 0)) {
			this.newestNanos = OptionalLong.of(nanos);
		}
	}

	/**
	 * Hears that the clock stood still until a moment, since this VM was suspended.
	 *
	 * Failure: what was known or asked for before seems younger than it is by as long as
	 * that took. Symptom: a request is called wrong by an old belief, here or at whoever
	 * is told its age. Nothing from before that moment counts any more, which is enough.
	 */
	public void doubt(long nowNanos) {
		forget();
		this.doubtNanos = OptionalLong.of(nowNanos);
	}

	/**
	 * Hears that something else is to be known from now on.
	 */
	public void forget() {
		this.newestNanos = OptionalLong.empty();
	}

	/**
	 * Returns the moment; empty when there is none.
	 */
	public OptionalLong nanos() {
		return this.newestNanos;
	}

	/**
	 * Returns how long ago it is.
	 */
	public OptionalLong ageNanos(long nowNanos) {
		return this.newestNanos.isEmpty() ? OptionalLong.empty()
				: OptionalLong.of(nowNanos - this.newestNanos.getAsLong());
	}

}
