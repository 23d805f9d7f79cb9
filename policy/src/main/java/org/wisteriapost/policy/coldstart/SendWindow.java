package org.wisteriapost.policy.coldstart;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The latest requests that this entry sent to a runner. Counting them limits the requests
 * in every window of {@link #LENGTH}. Evenly spaced permits that stay valid for a while
 * would not: those saved up and those that follow can be used within one window.
 */
final class SendWindow {

	/**
	 * Longer than the second in which a runner counts arrivals, since requests can arrive
	 * closer together than they were decided on: an entry or a link that stalls for up to
	 * 200 ms delays some of them and not those after them.
	 */
	static final Duration LENGTH = Duration.ofMillis(1200);

	// No limit exceeds this; the times of more sends are not needed.
	private static final int MAX_SENDS = 1000;

	private final Deque<Long> sends = new ArrayDeque<>();

	void record(long nowNanos) {
		dropExpired(nowNanos);
		if (this.sends.size() == MAX_SENDS) {
			this.sends.removeFirst();
		}
		this.sends.addLast(nowNanos);
	}

	void addAll(SendWindow earlier) {
		this.sends.addAll(earlier.sends);
	}

	int count(long nowNanos) {
		dropExpired(nowNanos);
		return this.sends.size();
	}

	/**
	 * Returns when the next request may be sent.
	 * @param limit the requests allowed in each window, at least 1
	 */
	long nextNanos(int limit, long nowNanos) {
		int surplus = count(nowNanos) - Math.min(limit, MAX_SENDS);
		if (surplus < 0) {
			return nowNanos;
		}
		return this.sends.stream().skip(surplus).findFirst().orElseThrow() + LENGTH.toNanos();
	}

	private void dropExpired(long nowNanos) {
		while (!this.sends.isEmpty() && nowNanos - this.sends.peekFirst() >= LENGTH.toNanos()) {
			this.sends.removeFirst();
		}
	}

}
