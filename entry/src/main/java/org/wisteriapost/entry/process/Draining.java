package org.wisteriapost.entry.process;

import java.util.concurrent.TimeUnit;

/**
 * Takes an entry out of service: unnamed at once, refusing as soon as no caller may still
 * hold an address answer that names it, gone when its last answer has gone out.
 */
final class Draining {

	private final long keepNanos;

	private Phase phase = Phase.SERVING;

	private long unnamedNanos;

	Draining(long keepSeconds) {
		this.keepNanos = TimeUnit.SECONDS.toNanos(keepSeconds);
	}

	/**
	 * Starts; returns true the first time.
	 */
	boolean start(long nowNanos) {
		if (this.phase != Phase.SERVING) {
			return false;
		}
		this.phase = Phase.UNNAMED;
		this.unnamedNanos = nowNanos;
		return true;
	}

	/**
	 * Returns true once, when refusing begins.
	 */
	boolean refuses(long nowNanos) {
		if (this.phase != Phase.UNNAMED || nowNanos - this.unnamedNanos < this.keepNanos) {
			return false;
		}
		this.phase = Phase.REFUSING;
		return true;
	}

	boolean started() {
		return this.phase != Phase.SERVING;
	}

	boolean refusing() {
		return this.phase == Phase.REFUSING;
	}

	private enum Phase {

		/** In service. */
		SERVING,
		/** No longer named; callers with an older address answer are still served. */
		UNNAMED,
		/** New requests are refused. */
		REFUSING

	}

}
