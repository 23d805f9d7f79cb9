package org.wisteriapost.entry.process;

import java.util.concurrent.TimeUnit;

/**
 * The phases in which an entry is taken out of service. It is no longer advertised at
 * once, and refuses new requests once no caller can still have its address cached.
 */
final class DrainState {

	private final long addressCacheNanos;

	private Phase phase = Phase.SERVING;

	private long unadvertisedNanos;

	DrainState(long keepSeconds) {
		this.addressCacheNanos = TimeUnit.SECONDS.toNanos(keepSeconds);
	}

	/**
	 * Starts to drain; returns whether this was the first call.
	 */
	boolean start(long nowNanos) {
		if (this.phase != Phase.SERVING) {
			return false;
		}
		this.phase = Phase.UNADVERTISED;
		this.unadvertisedNanos = nowNanos;
		return true;
	}

	/**
	 * Starts to refuse requests when cached addresses have expired; returns true only for
	 * the call that does so.
	 */
	boolean startRefusing(long nowNanos) {
		if (this.phase != Phase.UNADVERTISED || nowNanos - this.unadvertisedNanos < this.addressCacheNanos) {
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
		/**
		 * No longer advertised; callers that have the address cached are still served.
		 */
		UNADVERTISED,
		/** New requests are refused. */
		REFUSING

	}

}
