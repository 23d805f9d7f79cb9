package org.wisteriapost.policy.transfer;

import java.time.Duration;

/**
 * How many parts of pieces may be on their way to this VM at once.
 *
 * Load: a VM's link carries a tenth of what it is declared to, while new weights come in.
 * Harm prevented: parts that were asked for queue up on the link for seconds, and the
 * requests of the engine beside it behind them; callers give up before the engine hears
 * of them. So weights yield by the delay that they cause, as LEDBAT does (RFC 6817): the
 * window grows while a part takes little longer than the quickest one has, and is halved
 * when two in a row take much longer. One quick part shows that the link is free, whoever
 * sent the slow ones.
 */
final class RequestWindow {

	private static final int FIRST = 3;

	private static final int LEAST = 1;

	private static final int SLOW_IN_A_ROW = 2;

	// Six parts by turns on a link that is full of weights alone take 0.08 s each.
	private static final long QUICK_NANOS = Duration.ofMillis(150).toNanos();

	// What weights may hold up an engine's request for.
	private static final long SLOW_NANOS = Duration.ofMillis(250).toNanos();

	// Parts that were asked for together come late together and count once.
	private static final long ONCE_NANOS = Duration.ofMillis(200).toNanos();

	private final int most;

	private int size;

	private int slow;

	private long leastNanos = Long.MAX_VALUE;

	private long shrunkNanos = Long.MIN_VALUE / 2;

	RequestWindow(int most) {
		this.most = most;
		this.size = Math.min(most, FIRST);
	}

	int size() {
		return this.size;
	}

	/**
	 * Returns whether the link has turned out to be narrow.
	 */
	boolean narrow() {
		return this.size < Math.min(this.most, FIRST);
	}

	/**
	 * Notes how long a part took from its request to its last byte.
	 */
	void answered(long tookNanos, long nowNanos) {
		this.leastNanos = Math.min(this.leastNanos, tookNanos);
		long delay = tookNanos - this.leastNanos;
		if (delay < QUICK_NANOS) {
			this.slow = 0;
			this.size = Math.min(this.most, this.size + 1);
		}
		else if (delay > SLOW_NANOS) {
			late(nowNanos);
		}
	}

	/**
	 * Notes that a part did not come in time.
	 */
	void late(long nowNanos) {
		this.slow++;
		if (this.slow >= SLOW_IN_A_ROW && nowNanos - this.shrunkNanos >= ONCE_NANOS) {
			this.slow = 0;
			this.shrunkNanos = nowNanos;
			this.size = Math.max(LEAST, this.size / 2);
		}
	}

}
