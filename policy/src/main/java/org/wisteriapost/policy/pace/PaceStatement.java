package org.wisteriapost.policy.pace;

import java.time.Duration;

import org.wisteriapost.policy.fleet.RunnerIncarnation;

/**
 * The statement of an engine that it is slower than declared.
 *
 * @param pace the factor by which it is slower, at least {@link #NORMAL}
 * @param readNanos when the engine's report was read
 * @param incarnation the incarnation of the engine that reported it
 */
public record PaceStatement(double pace, long readNanos, RunnerIncarnation incarnation) {

	/** The pace of an engine that is as fast as declared. */
	public static final double NORMAL = 1;

	// Predictions of the first event start at some 50 ms, so that an engine of this pace
	// already misses targets of 0.4 s. A larger factor is taken for an error.
	private static final double MAX = 10;

	// Spells take 0.6 s, and agents repeat a statement after half a second.
	private static final long VALID_NANOS = Duration.ofSeconds(1).toNanos();

	// A statement that is passed on less often than this is mostly too old on arrival.
	private static final long MAX_RELAY_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

	/**
	 * Returns whether statements are worth being passed on at an interval.
	 */
	public static boolean worthRelaying(Duration interval) {
		return interval.toNanos() <= MAX_RELAY_INTERVAL_NANOS;
	}

	/**
	 * Returns a pace within its bounds.
	 */
	public static double bounded(double pace) {
		return Double.isNaN(pace) ? NORMAL : Math.clamp(pace, NORMAL, MAX);
	}

	/**
	 * Returns the pace to count on now: that of the statement while it is young enough
	 * and of the current incarnation, else {@link #NORMAL}.
	 * @param current the current incarnation of the engine
	 */
	public double effective(RunnerIncarnation current, long nowNanos) {
		boolean other = this.incarnation.precedes(current) || current.precedes(this.incarnation);
		return (other || expired(nowNanos)) ? NORMAL : this.pace;
	}

	/**
	 * Returns whether the statement is too old to count.
	 */
	public boolean expired(long nowNanos) {
		return nowNanos - this.readNanos >= VALID_NANOS;
	}

}
