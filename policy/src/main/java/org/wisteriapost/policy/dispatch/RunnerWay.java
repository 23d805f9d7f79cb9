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
 * it is there, and one at a time: a connection that is not made carries nothing. That it
 * is made proves little, since what is small passes where more is held; an answer does.
 */
final class RunnerWay {

	// Longer than most first events take, shorter than callers expect theirs. A doubt
	// without cause costs a connection.
	private static final long DOUBT_NANOS = Duration.ofMillis(400).toNanos();

	// A first event that takes twice as long as predicted is no usual one.
	private static final double PREDICTED_FACTOR = 2;

	// A link fills up within this time.
	private static final long SEEN_NANOS = Duration.ofMillis(500).toNanos();

	// What was sent longest ago may have been lost, so its age no longer says how long
	// the way holds things.
	private static final long LONGEST_HELD_NANOS = Duration.ofSeconds(4).toNanos();

	// What is sent without an answer; the oldest of it is what counts.
	private static final int MOST_UNANSWERED = 64;

	// What no answer has come to since the latest answer, in the order in which it was
	// sent; what was given up or did not get through is among it.
	private final Deque<Sent> unanswered = new ArrayDeque<>();

	private long openNanos = Long.MIN_VALUE / 2;

	private OptionalLong tryNanos = OptionalLong.empty();

	private boolean doubtfulTry;

	/**
	 * Notes that a request is sent.
	 * @param predictedMillis to its first event
	 * @param tries whether it leaves only once a new connection is there
	 */
	void sent(double predictedMillis, boolean tries, long nowNanos) {
		if (tries) {
			this.doubtfulTry = doubtful(nowNanos);
			this.tryNanos = OptionalLong.of(nowNanos);
		}
		if (this.unanswered.size() < MOST_UNANSWERED) {
			long usual = (long) (PREDICTED_FACTOR * predictedMillis * Placement.NANOS_PER_MILLI);
			this.unanswered.addLast(new Sent(nowNanos, nowNanos + Math.max(DOUBT_NANOS, usual)));
		}
	}

	/**
	 * Notes that the connection for a request is there. On a way that is not in doubt the
	 * next request need not wait for more.
	 * @param sentNanos when the request was sent
	 */
	void connected(long sentNanos) {
		if (!this.doubtfulTry) {
			this.openNanos = Math.max(this.openNanos, sentNanos);
			over(sentNanos);
		}
	}

	/**
	 * Notes that an answer to a request has begun, or was given.
	 * @param sentNanos when it was sent
	 */
	void answered(long sentNanos) {
		this.openNanos = Math.max(this.openNanos, sentNanos);
		while (!this.unanswered.isEmpty() && this.unanswered.peekFirst().nanos <= sentNanos) {
			this.unanswered.pollFirst();
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
	 * Returns whether a request has been without an answer for so long that the way may
	 * be closed.
	 */
	boolean doubtful(long nowNanos) {
		return !this.unanswered.isEmpty() && nowNanos > this.unanswered.peekFirst().doubtNanos;
	}

	/**
	 * Returns for how long at least the way may hold what is sent; 0 when it is not in
	 * doubt.
	 */
	long heldNanos(long nowNanos) {
		return doubtful(nowNanos) ? Math.min(LONGEST_HELD_NANOS, nowNanos - this.unanswered.peekFirst().nanos) : 0;
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

	/**
	 * A request without an answer.
	 *
	 * @param nanos when it was sent
	 * @param doubtNanos from when on its silence casts doubt on the way
	 */
	private record Sent(long nanos, long doubtNanos) {
	}

}
