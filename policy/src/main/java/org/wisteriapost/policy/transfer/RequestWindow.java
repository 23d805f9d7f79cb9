package org.wisteriapost.policy.transfer;

/**
 * Limits how many parts of chunks may be in flight to this VM.
 *
 * When the VM's link has far less capacity than declared, requested parts queue on it for
 * seconds, requests to the engine on the same VM queue behind them, and callers time out.
 * Weight transfers therefore yield by the queueing delay that they cause, which is what a
 * part takes longer than the fastest one so far.
 */
final class RequestWindow {

	private static final int INITIAL_SIZE = 3;

	private final int initialSize;

	private final DelayWindow window;

	private long minResponseNanos = Long.MAX_VALUE;

	RequestWindow(int maxSize) {
		this.initialSize = Math.min(maxSize, INITIAL_SIZE);
		this.window = new DelayWindow(this.initialSize, maxSize);
	}

	int size() {
		return this.window.size();
	}

	/**
	 * Returns whether the window has shrunk below its initial size.
	 */
	boolean isLinkNarrow() {
		return size() < this.initialSize;
	}

	/**
	 * Records the time from the request of a part to its last byte, and returns whether
	 * the part met little delay.
	 */
	boolean recordResponseTime(long responseNanos, long nowNanos) {
		this.minResponseNanos = Math.min(this.minResponseNanos, responseNanos);
		long delay = responseNanos - this.minResponseNanos;
		this.window.recordDelay(delay, nowNanos);
		return DelayWindow.isSmall(delay);
	}

	/**
	 * Records that a part exceeded the acceptable delay or timed out.
	 */
	void recordLate(long nowNanos) {
		this.window.recordLate(nowNanos);
	}

}
