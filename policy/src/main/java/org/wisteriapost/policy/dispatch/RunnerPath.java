package org.wisteriapost.policy.dispatch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;

/**
 * State of the network path to a runner, derived from responses and from echoes of the
 * agent on the runner's VM.
 *
 * A saturated link can delay requests by seconds. Requests that were cancelled in the
 * meantime still reach the runner, since a connection reset does not remove data queued
 * on the link. They would be executed in vain, or on weights that have been superseded.
 * While the path is suspect, or requests have to start by a deadline, the agent is asked
 * for echoes and nothing is sent as long as these do not arrive. If no echoes are to be
 * expected, a suspect path gets requests over newly established connections only, since
 * nothing is transmitted if the connection fails, and the next one once the connection of
 * the one before is established: a slow engine whose agent is away keeps its load. An
 * established connection is weaker evidence than an echo, as it may succeed on a link
 * that delays larger transfers. So if requests are given up unanswered, or the connection
 * to the agent is lost, the next request is sent only after the one before was answered,
 * until one that was sent after that is answered.
 */
final class RunnerPath {

	// Minimum time without a response after which the path is suspect. It exceeds most
	// times to the first event but is shorter than the latency targets of callers. A
	// false suspicion costs one connection.
	private static final long MIN_SUSPICION_NANOS = Duration.ofMillis(400).toNanos();

	// Multiple of the predicted time to the first event after which the path is suspect.
	private static final double PREDICTED_FACTOR = 2;

	// How long a path counts as open after it was confirmed. A link can become saturated
	// within this time.
	private static final long CONFIRMATION_TTL_NANOS = Duration.ofMillis(500).toNanos();

	// Cap on the estimated delay. The oldest unanswered request may have been lost, so
	// beyond this its age does not indicate a delay.
	private static final long MAX_DELAY_NANOS = Duration.ofSeconds(4).toNanos();

	// Only the oldest unanswered request matters, so the queue is bounded.
	private static final int MAX_UNANSWERED = 64;

	// Requests sent since the latest answered one, in send order. Includes requests that
	// were cancelled or not delivered.
	private final Deque<Sent> unanswered = new ArrayDeque<>();

	private long confirmedNanos = Long.MIN_VALUE / 2;

	private OptionalLong probeSentNanos = OptionalLong.empty();

	private final AgentEchoes echoes = new AgentEchoes();

	private long lastSentNanos = Long.MIN_VALUE / 2;

	// The latest request sent before the latest evidence that the path may delay
	// requests although connections can be established.
	private OptionalLong lastSentBeforeDelayNanos = OptionalLong.empty();

	private boolean reportedBlocked;

	private boolean probeOfSuspectPath;

	private boolean probeConnected;

	/**
	 * Records that a request is sent.
	 * @param predictedMillis the predicted time to the first event
	 * @param requiresNewConnection whether the request is only sent over a newly
	 * established connection
	 */
	void sent(double predictedMillis, boolean requiresNewConnection, long nowNanos) {
		if (requiresNewConnection) {
			this.probeOfSuspectPath = suspect(nowNanos);
			this.probeConnected = false;
			this.probeSentNanos = OptionalLong.of(nowNanos);
		}
		this.lastSentNanos = nowNanos;
		if (this.unanswered.size() < MAX_UNANSWERED) {
			long threshold = (long) (PREDICTED_FACTOR * predictedMillis * Placement.NANOS_PER_MILLI);
			this.unanswered.addLast(new Sent(nowNanos, nowNanos + Math.max(MIN_SUSPICION_NANOS, threshold)));
		}
	}

	/**
	 * Records that the connection for a request was established. Unless the path was
	 * suspect, this confirms that it is open.
	 * @param sentNanos the send time of the request
	 */
	void connected(long sentNanos) {
		if (!this.probeOfSuspectPath) {
			this.confirmedNanos = Math.max(this.confirmedNanos, sentNanos);
			endProbe(sentNanos);
		}
		else if (isProbe(sentNanos)) {
			this.probeConnected = true;
		}
	}

	/**
	 * Records that a response has started or was received.
	 * @param sentNanos the send time of the request
	 */
	void answered(long sentNanos) {
		confirmOpen(sentNanos);
		endProbe(sentNanos);
		this.echoes.runnerResponded(sentNanos);
	}

	/**
	 * Records that a request was given up. If that was after a time in which the runner
	 * should have answered, the path may delay requests.
	 * @param sentNanos the send time of the request
	 */
	void abandoned(long sentNanos, long nowNanos) {
		boolean overdue = this.unanswered.stream()
			.anyMatch((sent) -> sent.sentNanos == sentNanos && nowNanos > sent.suspectAfterNanos);
		if (overdue) {
			recordPossibleDelay();
		}
		endProbe(sentNanos);
	}

	/**
	 * Records that the agent was asked for an echo.
	 * @param agentLinked whether there is a connection to the agent
	 */
	void echoRequested(boolean agentLinked, long nowNanos) {
		this.echoes.requested(agentLinked, nowNanos);
	}

	/**
	 * Records an echo. The path was open when the echo was requested, so requests sent
	 * before that have been delivered.
	 * @param askedNanos the time at which the echo was requested
	 */
	void echoReceived(long askedNanos, long nowNanos) {
		this.echoes.received(nowNanos);
		confirmOpen(askedNanos);
		if (this.probeSentNanos.isPresent() && this.probeSentNanos.getAsLong() <= askedNanos) {
			this.probeSentNanos = OptionalLong.empty();
		}
	}

	/**
	 * Records that the connection to the agent was closed.
	 */
	void agentDisconnected() {
		this.echoes.agentDisconnected();
		recordPossibleDelay();
	}

	private void recordPossibleDelay() {
		this.lastSentBeforeDelayNanos = OptionalLong.of(this.lastSentNanos);
	}

	/**
	 * Returns whether requested echoes did not arrive, which means that the path is
	 * blocked.
	 */
	boolean blocked(long nowNanos) {
		return this.echoes.missing(nowNanos) && !recentlyConfirmed(nowNanos);
	}

	/**
	 * Returns whether {@link #blocked} has changed since the previous call.
	 */
	boolean pollBlockedChanged(long nowNanos) {
		boolean previous = this.reportedBlocked;
		this.reportedBlocked = blocked(nowNanos);
		return this.reportedBlocked != previous;
	}

	private void confirmOpen(long sentNanos) {
		this.confirmedNanos = Math.max(this.confirmedNanos, sentNanos);
		if (this.lastSentBeforeDelayNanos.isPresent() && sentNanos > this.lastSentBeforeDelayNanos.getAsLong()) {
			this.lastSentBeforeDelayNanos = OptionalLong.empty();
		}
		while (!this.unanswered.isEmpty() && this.unanswered.peekFirst().sentNanos <= sentNanos) {
			this.unanswered.pollFirst();
		}
	}

	/**
	 * Ends a probe whose request was cancelled or whose connection failed.
	 * @param sentNanos the send time of the request
	 */
	void endProbe(long sentNanos) {
		if (isProbe(sentNanos)) {
			this.probeSentNanos = OptionalLong.empty();
		}
	}

	private boolean isProbe(long sentNanos) {
		return this.probeSentNanos.isPresent() && this.probeSentNanos.getAsLong() == sentNanos;
	}

	/**
	 * Returns whether a request has been unanswered for so long that the path may be
	 * blocked.
	 */
	boolean suspect(long nowNanos) {
		return !this.unanswered.isEmpty() && nowNanos > this.unanswered.peekFirst().suspectAfterNanos;
	}

	/**
	 * Returns a lower bound of the current delay on the path; 0 if the path is not
	 * suspect.
	 */
	long delayNanos(long nowNanos) {
		return suspect(nowNanos) ? Math.min(MAX_DELAY_NANOS, nowNanos - this.unanswered.peekFirst().sentNanos) : 0;
	}

	/**
	 * Returns whether the path was recently confirmed to be open.
	 */
	boolean recentlyConfirmed(long nowNanos) {
		return nowNanos - this.confirmedNanos <= CONFIRMATION_TTL_NANOS;
	}

	/**
	 * Returns whether the outcome of a request that probes the path is to be awaited.
	 */
	boolean probing() {
		return this.probeSentNanos.isPresent() && !(this.probeConnected && connectionSuffices());
	}

	private boolean connectionSuffices() {
		return this.echoes.unavailable() && this.lastSentBeforeDelayNanos.isEmpty();
	}

	/**
	 * An unanswered request.
	 *
	 * @param sentNanos its send time
	 * @param suspectAfterNanos the time after which the path is suspect if the request is
	 * still unanswered
	 */
	private record Sent(long sentNanos, long suspectAfterNanos) {
	}

}
