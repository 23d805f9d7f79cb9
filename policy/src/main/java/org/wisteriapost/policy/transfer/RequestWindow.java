package org.wisteriapost.policy.transfer;

import java.time.Duration;

/**
 * How many pieces may be on their way to this VM at once.
 *
 * Load: a VM's link carries a fifth of what it is declared to, while new weights come in.
 * Harm prevented: pieces that were asked for queue up on the link for seconds, and the
 * requests of the engine beside it behind them; callers give up before the engine hears
 * of them. So the window starts small, grows while pieces come quickly and is halved when
 * one takes long, as a sender's congestion window is.
 */
final class RequestWindow {

	private static final double FIRST = 3;

	private static final double LEAST = 1;

	// Eight pieces of 32 KB by turns on a link of 5 Mbit/s take 0.46 s each.
	private static final long QUICK_NANOS = Duration.ofMillis(500).toNanos();

	// What an engine's request may wait on the link at the very most.
	private static final long SLOW_NANOS = Duration.ofMillis(750).toNanos();

	// Pieces that were asked for together come late together and count once.
	private static final long ONCE_NANOS = Duration.ofMillis(400).toNanos();

	private final int most;

	private double size;

	private long shrunkNanos = Long.MIN_VALUE / 2;

	RequestWindow(int most) {
		this.most = most;
		this.size = Math.min(most, FIRST);
	}

	int size() {
		return (int) this.size;
	}

	/**
	 * Notes how long a piece took from its request to its last byte.
	 */
	void answered(long tookNanos, long nowNanos) {
		if (tookNanos < QUICK_NANOS) {
			this.size = Math.min(this.most, this.size + 1);
		}
		else if (tookNanos > SLOW_NANOS) {
			late(nowNanos);
		}
	}

	/**
	 * Notes that a piece did not come in time.
	 */
	void late(long nowNanos) {
		if (nowNanos - this.shrunkNanos >= ONCE_NANOS) {
			this.shrunkNanos = nowNanos;
			this.size = Math.max(LEAST, this.size / 2);
		}
	}

}
