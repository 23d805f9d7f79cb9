package org.wisteriapost.policy.dispatch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;

/**
 * What answers say of the way to a runner.
 *
 * Load: the link of a runner's VM is full and holds what is sent there for seconds. Harm
 * prevented: requests that were given up meanwhile reach the runner all the same and run
 * for nobody, or on weights that are over; a reset does not take back what a link holds.
 * So on a way that is in doubt a request leaves only once a connection that was made for
 * it is there, and one at a time: a connection that is not made carries nothing.
 */
final class RunnerWay {

	// Longer than most first events take, shorter than callers expect theirs. A doubt
	// without cause costs a connection.
	private static final long DOUBT_NANOS = Duration.ofMillis(400).toNanos();

	// A link fills up within this time.
	private static final long SEEN_NANOS = Duration.ofMillis(500).toNanos();

	// What is sent without a sign; the oldest of it is what counts.
	private static final int MOST_UNPROVEN = 64;

	// When requests were sent of which no sign has come, those given up among them,
	// since the latest that is known to have arrived.
	private final Deque<Long> unproven = new ArrayDeque<>();

	private long openNanos = Long.MIN_VALUE / 2;

	private OptionalLong tryNanos = OptionalLong.empty();

	/**
	 * Notes that a request is sent.
	 * @param tries whether it leaves only once a new connection is there
	 */
	void sent(boolean tries, long nowNanos) {
		if (this.unproven.size() < MOST_UNPROVEN) {
			this.unproven.addLast(nowNanos);
		}
		if (tries) {
			this.tryNanos = OptionalLong.of(nowNanos);
		}
	}

	/**
	 * Notes that a request has arrived, or that the connection for it is there.
	 * @param sentNanos when it was sent
	 */
	void arrived(long sentNanos) {
		this.openNanos = Math.max(this.openNanos, sentNanos);
		while (!this.unproven.isEmpty() && this.unproven.peekFirst() <= sentNanos) {
			this.unproven.pollFirst();
		}
		over(sentNanos);
	}

	/**
	 * Notes that a request was given up, or that no connection came.
	 * @param sentNanos when it was sent
	 */
	void over(long sentNanos) {
		if (this.tryNanos.isPresent() && this.tryNanos.getAsLong() == sentNanos) {
			this.tryNanos = OptionalLong.empty();
		}
	}

	/**
	 * Returns whether a request has been without a sign for so long that the way may be
	 * closed.
	 */
	boolean doubtful(long nowNanos) {
		return !this.unproven.isEmpty() && nowNanos - this.unproven.peekFirst() > DOUBT_NANOS;
	}

	/**
	 * Returns whether the way was seen open a moment ago.
	 */
	boolean seenOpen(long nowNanos) {
		return nowNanos - this.openNanos <= SEEN_NANOS;
	}

	/**
	 * Returns whether a request is trying the way now.
	 */
	boolean beingTried() {
		return this.tryNanos.isPresent();
	}

}
