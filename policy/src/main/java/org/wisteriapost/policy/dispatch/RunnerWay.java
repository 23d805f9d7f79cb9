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
 * So while a way is in doubt, or what is sent has to begin by a time, the agent beside
 * the runner is asked for echoes, and nothing is sent while they stay away. Where no
 * agent answers, a request leaves only once a connection that was made for it is there,
 * and one at a time: a connection that is not made carries nothing. That it is made
 * proves less, since it may pass where more is held.
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

	// An agent whose echo was heard this recently is there, and its silence counts. One
	// that has been silent for longer may be gone while its runner is well.
	private static final long ECHOES_NANOS = Duration.ofSeconds(8).toNanos();

	// Echoes are asked for again within this time, and are back within it over a way that
	// is open.
	private static final long ASKED_NANOS = Duration.ofMillis(400).toNanos();

	// What is sent without an answer; the oldest of it is what counts.
	private static final int MOST_UNANSWERED = 64;

	// What no answer has come to since the latest answer, in the order in which it was
	// sent; what was given up or did not get through is among it.
	private final Deque<Sent> unanswered = new ArrayDeque<>();

	private long openNanos = Long.MIN_VALUE / 2;

	private OptionalLong tryNanos = OptionalLong.empty();

	private long askingSinceNanos = Long.MIN_VALUE / 2;

	private long askedNanos = Long.MIN_VALUE / 2;

	private long echoNanos = Long.MIN_VALUE / 2;

	private boolean agentLinked;

	private boolean toldClosed;

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
		passed(sentNanos);
		over(sentNanos);
	}

	/**
	 * Notes that the agent beside the runner is asked for an echo.
	 */
	void asked(long nowNanos) {
		if (nowNanos - this.askedNanos > ASKED_NANOS) {
			this.askingSinceNanos = nowNanos;
		}
		this.askedNanos = nowNanos;
	}

	/**
	 * Notes an echo: the way was open when it was asked for, so what was sent before that
	 * has left it.
	 * @param askedNanos when it was asked for
	 */
	void echoed(long askedNanos, long nowNanos) {
		this.echoNanos = nowNanos;
		this.agentLinked = true;
		passed(askedNanos);
		if (this.tryNanos.isPresent() && this.tryNanos.getAsLong() <= askedNanos) {
			this.tryNanos = OptionalLong.empty();
		}
	}

	/**
	 * Notes that the link to the agent beside the runner is gone.
	 */
	void agentGone() {
		this.agentLinked = false;
	}

	/**
	 * Returns whether echoes were asked for in vain: the way holds things. An agent whose
	 * link is gone may have ended with the runner well, so then it takes a request
	 * without an answer besides.
	 */
	boolean closed(long nowNanos) {
		return (this.agentLinked || doubtful(nowNanos)) && !seenOpen(nowNanos)
				&& nowNanos - this.askedNanos <= ASKED_NANOS && nowNanos - this.askingSinceNanos > ASKED_NANOS
				&& nowNanos - this.echoNanos < ECHOES_NANOS;
	}

	/**
	 * Returns whether the way is closed now where it was not at the last call, or the
	 * other way round.
	 */
	boolean changed(long nowNanos) {
		boolean before = this.toldClosed;
		this.toldClosed = closed(nowNanos);
		return this.toldClosed != before;
	}

	private void passed(long sentNanos) {
		this.openNanos = Math.max(this.openNanos, sentNanos);
		while (!this.unanswered.isEmpty() && this.unanswered.peekFirst().nanos <= sentNanos) {
			this.unanswered.pollFirst();
		}
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
