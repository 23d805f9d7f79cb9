package org.wisteriapost.policy.admission;

/**
 * Decides whether a request that found no slot is told when to retry.
 *
 * A retry has missed its target and is served after all other requests, so under a
 * lasting shortage it is refused again, at a cost for its caller. A refusal without a
 * time to retry is final.
 */
public interface RetryHints {

	/** Every refused caller is told when to retry. */
	RetryHints ALWAYS = (service, nowNanos) -> true;

	/**
	 * Returns whether free capacity is forecast for a retry.
	 */
	boolean forecast(String service, long nowNanos);

}
