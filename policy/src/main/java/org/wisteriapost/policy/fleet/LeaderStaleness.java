package org.wisteriapost.policy.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The staleness of the routes of leaders, from the confirmation times that they report.
 */
final class LeaderStaleness {

	// The rest of the activation delay is for the next heartbeat and for reading the
	// store.
	private static final double ACTIVATION_DELAY_SHARE = 0.7;

	// Covers two watch calls over a link with a delay of 0.3 s: the first one confirms
	// the
	// routes as of the time of its call.
	private static final long MIN_LIMIT_NANOS = Duration.ofMillis(2200).toNanos();

	private final long maxStalenessNanos;

	private final Map<String, Long> confirmedNanos = new HashMap<>();

	private LeaderStaleness(long maxStalenessNanos) {
		this.maxStalenessNanos = maxStalenessNanos;
	}

	/**
	 * Returns an instance without any confirmation times.
	 * @param activationDelay from a declaration until it takes effect
	 */
	static LeaderStaleness of(Duration activationDelay) {
		return new LeaderStaleness(
				Math.max((long) (activationDelay.toNanos() * ACTIVATION_DELAY_SHARE), MIN_LIMIT_NANOS));
	}

	/**
	 * Records the time as of which a leader's routes are confirmed.
	 */
	void confirmed(String leader, long nanos) {
		this.confirmedNanos.merge(leader, nanos, (before, now) -> (now - before > 0) ? now : before);
	}

	/**
	 * Removes all entries but one.
	 */
	void retainOnly(String leader) {
		this.confirmedNanos.keySet().removeIf((name) -> !name.equals(leader));
	}

	/**
	 * Returns the time as of which a leader's routes are confirmed; empty when it has not
	 * reported it.
	 */
	OptionalLong confirmedAt(String leader) {
		Long nanos = this.confirmedNanos.get(leader);
		return (nanos != null) ? OptionalLong.of(nanos) : OptionalLong.empty();
	}

	/**
	 * Returns whether a leader's routes exceed the staleness limit; false for one that
	 * does not report its confirmation time.
	 */
	boolean isStale(String leader, long nowNanos) {
		OptionalLong confirmed = confirmedAt(leader);
		return confirmed.isPresent() && isOverdue(confirmed.getAsLong(), nowNanos);
	}

	/**
	 * Returns whether more time than the staleness limit has passed since a time.
	 */
	boolean isOverdue(long sinceNanos, long nowNanos) {
		return nowNanos - sinceNanos > this.maxStalenessNanos;
	}

}
