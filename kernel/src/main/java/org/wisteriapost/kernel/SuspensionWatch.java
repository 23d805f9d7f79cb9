package org.wisteriapost.kernel;

import java.util.concurrent.TimeUnit;

/**
 * Notices that this VM was suspended: its monotonic clock stands still meanwhile and the
 * time of day does not.
 *
 * Failure: ages are reckoned on the monotonic clock, so what was known before a
 * suspension seems as young after it. Symptom: decisions rest on beliefs that are older
 * by its whole length. A time of day that is set forward is taken for a suspension too;
 * that costs a moment of doubt.
 */
public final class SuspensionWatch {

	// Less than any bound within which beliefs count as new, and more than a clock that
	// is slewed gains between two looks.
	private static final long GAP_MILLIS = 400;

	private long nanos;

	private long dayMillis;

	private SuspensionWatch(long nanos, long dayMillis) {
		this.nanos = nanos;
		this.dayMillis = dayMillis;
	}

	/**
	 * Returns a watch.
	 * @param nanos on the monotonic clock
	 * @param dayMillis the time of day, in milliseconds since 1970
	 */
	public static SuspensionWatch start(long nanos, long dayMillis) {
		return new SuspensionWatch(nanos, dayMillis);
	}

	/**
	 * Returns whether the VM was suspended since the last look.
	 * @param nowNanos on the monotonic clock
	 * @param nowDayMillis the time of day, in milliseconds since 1970
	 */
	public boolean woke(long nowNanos, long nowDayMillis) {
		long ran = TimeUnit.NANOSECONDS.toMillis(nowNanos - this.nanos);
		long passed = nowDayMillis - this.dayMillis;
		this.nanos = nowNanos;
		this.dayMillis = nowDayMillis;
		return passed - ran > GAP_MILLIS;
	}

}
