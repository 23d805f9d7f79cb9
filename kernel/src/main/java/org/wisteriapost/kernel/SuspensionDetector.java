package org.wisteriapost.kernel;

import java.util.concurrent.TimeUnit;

/**
 * Detects that this VM was suspended: the monotonic clock stops during a suspension, the
 * wall clock does not.
 *
 * Staleness is measured on the monotonic clock, so without this check, state from before
 * a suspension would still count as fresh after it and decisions would rest on outdated
 * state. A wall clock that is set forward is reported as a suspension too, which only
 * makes the process distrust its state for a short time.
 */
public final class SuspensionDetector {

	// Below all staleness limits, and above what clock slewing adds between two
	// checks.
	private static final long MAX_CLOCK_DIFFERENCE_MILLIS = 400;

	private long lastNanos;

	private long lastWallClockMillis;

	private SuspensionDetector(long nanos, long wallClockMillis) {
		this.lastNanos = nanos;
		this.lastWallClockMillis = wallClockMillis;
	}

	/**
	 * Starts with the given time as the first reference.
	 * @param nanos on the monotonic clock
	 * @param wallClockMillis wall-clock time, in milliseconds since the epoch
	 */
	public static SuspensionDetector start(long nanos, long wallClockMillis) {
		return new SuspensionDetector(nanos, wallClockMillis);
	}

	/**
	 * Returns whether the VM was suspended since the previous call.
	 * @param nowNanos on the monotonic clock
	 * @param nowWallClockMillis wall-clock time, in milliseconds since the epoch
	 */
	public boolean detectSuspension(long nowNanos, long nowWallClockMillis) {
		long monotonicMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - this.lastNanos);
		long wallClockMillis = nowWallClockMillis - this.lastWallClockMillis;
		this.lastNanos = nowNanos;
		this.lastWallClockMillis = nowWallClockMillis;
		return wallClockMillis - monotonicMillis > MAX_CLOCK_DIFFERENCE_MILLIS;
	}

}
