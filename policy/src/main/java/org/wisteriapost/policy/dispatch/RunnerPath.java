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
 * for echoes and nothing is sent as long as these do not arrive. If no agent responds,
 * only one request at a time is sent, over a newly established connection, since nothing
 * is transmitted if the connection fails. An established connection is weaker evidence
 * than an echo, as it may succeed on a link that delays larger transfers.
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

	// An agent counts as running, so that missing echoes mean a blocked path, for this
	// long after its last echo. After a longer silence the agent may have ended while
	// its runner still works.
	private static final long AGENT_SILENCE_NANOS = Duration.ofSeconds(8).toNanos();

	// Echo requests are repeated within this time, and an echo arrives within it over an
	// open path.
	private static final long ECHO_TIMEOUT_NANOS = Duration.ofMillis(400).toNanos();

	// Only the oldest unanswered request matters, so the queue is bounded.
	private static final int MAX_UNANSWERED = 64;

	// Requests sent since the latest answered one, in send order. Includes requests that
	// were cancelled or not delivered.
	private final Deque<Sent> unanswered = new ArrayDeque<>();

	private long confirmedNanos = Long.MIN_VALUE / 2;

	private OptionalLong probeSentNanos = OptionalLong.empty();

	private long firstEchoRequestNanos = Long.MIN_VALUE / 2;

	private long lastEchoRequestNanos = Long.MIN_VALUE / 2;

	private long lastEchoNanos = Long.MIN_VALUE / 2;

	private boolean agentConnected;

	private boolean reportedBlocked;

	private boolean probeOfSuspectPath;

	/**
	 * Records that a request is sent.
	 * @param predictedMillis the predicted time to the first event
	 * @param requiresNewConnection whether the request is only sent over a newly
	 * established connection
	 */
	void sent(double predictedMillis, boolean requiresNewConnection, long nowNanos) {
		if (requiresNewConnection) {
			this.probeOfSuspectPath = suspect(nowNanos);
			this.probeSentNanos = OptionalLong.of(nowNanos);
		}
		if (this.unanswered.size() < MAX_UNANSWERED) {
			long threshold = (long) (PREDICTED_FACTOR * predictedMillis * Placement.NANOS_PER_MILLI);
			this.unanswered.addLast(new Sent(nowNanos, nowNanos + Math.max(MIN_SUSPICION_NANOS, threshold)));
		}
	}

	/**
	 * Records that the connection for a request was established. Unless the path was
	 * suspect, the next request does not have to wait for further confirmation.
	 * @param sentNanos the send time of the request
	 */
	void connected(long sentNanos) {
		if (!this.probeOfSuspectPath) {
			this.confirmedNanos = Math.max(this.confirmedNanos, sentNanos);
			endProbe(sentNanos);
		}
	}

	/**
	 * Records that a response has started or was received.
	 * @param sentNanos the send time of the request
	 */
	void answered(long sentNanos) {
		confirmOpen(sentNanos);
		endProbe(sentNanos);
	}

	/**
	 * Records that the agent was asked for an echo.
	 */
	void echoRequested(long nowNanos) {
		if (nowNanos - this.lastEchoRequestNanos > ECHO_TIMEOUT_NANOS) {
			this.firstEchoRequestNanos = nowNanos;
		}
		this.lastEchoRequestNanos = nowNanos;
	}

	/**
	 * Records an echo. The path was open when the echo was requested, so requests sent
	 * before that have been delivered.
	 * @param askedNanos the time at which the echo was requested
	 */
	void echoReceived(long askedNanos, long nowNanos) {
		this.lastEchoNanos = nowNanos;
		this.agentConnected = true;
		confirmOpen(askedNanos);
		if (this.probeSentNanos.isPresent() && this.probeSentNanos.getAsLong() <= askedNanos) {
			this.probeSentNanos = OptionalLong.empty();
		}
	}

	/**
	 * Records that the connection to the agent was closed.
	 */
	void agentDisconnected() {
		this.agentConnected = false;
	}

	/**
	 * Returns whether requested echoes did not arrive, which means that the path is
	 * blocked. If the connection to the agent is closed, the agent may have ended while
	 * its runner still works, so the path must also be suspect.
	 */
	boolean blocked(long nowNanos) {
		return (this.agentConnected || suspect(nowNanos)) && !recentlyConfirmed(nowNanos)
				&& nowNanos - this.lastEchoRequestNanos <= ECHO_TIMEOUT_NANOS
				&& nowNanos - this.firstEchoRequestNanos > ECHO_TIMEOUT_NANOS
				&& nowNanos - this.lastEchoNanos < AGENT_SILENCE_NANOS;
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
		while (!this.unanswered.isEmpty() && this.unanswered.peekFirst().sentNanos <= sentNanos) {
			this.unanswered.pollFirst();
		}
	}

	/**
	 * Ends a probe whose request was cancelled or whose connection failed.
	 * @param sentNanos the send time of the request
	 */
	void endProbe(long sentNanos) {
		if (this.probeSentNanos.isPresent() && this.probeSentNanos.getAsLong() == sentNanos) {
			this.probeSentNanos = OptionalLong.empty();
		}
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
	 * Returns whether a request that probes the path is in flight.
	 */
	boolean probing() {
		return this.probeSentNanos.isPresent();
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
