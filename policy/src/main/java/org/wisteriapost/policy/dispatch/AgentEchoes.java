package org.wisteriapost.policy.dispatch;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * What the echoes of the agent on a runner's VM show: whether the agent answers, and
 * whether its silence means that the network path to the VM is blocked.
 *
 * An agent may end, be frozen or be replaced while its runner works. Its silence is
 * evidence of a blocked path only while nothing else explains it: not after its
 * connection was closed, and not once the runner has responded to a request that was sent
 * after an echo request that is still unanswered.
 */
final class AgentEchoes {

	// Echo requests are repeated within this time, and an echo arrives within it over an
	// open path.
	private static final long ECHO_TIMEOUT_NANOS = Duration.ofMillis(400).toNanos();

	// An agent counts as running, so that missing echoes mean a blocked path, for this
	// long after its last echo. After a longer silence the agent may have ended while
	// its runner still works.
	private static final long AGENT_SILENCE_NANOS = Duration.ofSeconds(8).toNanos();

	private long firstRequestNanos = Long.MIN_VALUE / 2;

	private long lastRequestNanos = Long.MIN_VALUE / 2;

	private long lastEchoNanos = Long.MIN_VALUE / 2;

	private OptionalLong oldestUnansweredNanos = OptionalLong.empty();

	// Whether the agent is linked and may therefore send echoes.
	private boolean agentLinked;

	// Whether an echo has arrived over the current connection to the agent.
	private boolean agentAnswered;

	// Whether the runner has responded where its agent has not.
	private boolean overtaken;

	/**
	 * Records that the agent was asked for an echo.
	 * @param linked whether there is a connection to the agent
	 */
	void requested(boolean linked, long nowNanos) {
		if (nowNanos - this.lastRequestNanos > ECHO_TIMEOUT_NANOS) {
			this.firstRequestNanos = nowNanos;
			this.oldestUnansweredNanos = OptionalLong.empty();
		}
		if (this.oldestUnansweredNanos.isEmpty()) {
			this.oldestUnansweredNanos = OptionalLong.of(nowNanos);
		}
		this.lastRequestNanos = nowNanos;
		this.agentLinked = linked;
	}

	/**
	 * Records an echo.
	 */
	void received(long nowNanos) {
		this.lastEchoNanos = nowNanos;
		this.oldestUnansweredNanos = OptionalLong.empty();
		this.agentLinked = true;
		this.agentAnswered = true;
		this.overtaken = false;
	}

	/**
	 * Records that the connection to the agent was closed.
	 */
	void agentDisconnected() {
		this.agentLinked = false;
		this.agentAnswered = false;
	}

	/**
	 * Records a response of the runner. A response to a request that was sent after an
	 * unanswered echo request shows that the agent is silent and not the path blocked.
	 * @param sentNanos the send time of the request
	 */
	void runnerResponded(long sentNanos) {
		if (this.oldestUnansweredNanos.isPresent() && sentNanos > this.oldestUnansweredNanos.getAsLong()) {
			this.overtaken = true;
		}
	}

	/**
	 * Returns whether requested echoes did not arrive although the agent answered before,
	 * which means that the path is blocked.
	 */
	boolean missing(long nowNanos) {
		return this.agentAnswered && !this.overtaken && nowNanos - this.lastRequestNanos <= ECHO_TIMEOUT_NANOS
				&& nowNanos - this.firstRequestNanos > ECHO_TIMEOUT_NANOS
				&& nowNanos - this.lastEchoNanos < AGENT_SILENCE_NANOS;
	}

	/**
	 * Returns whether no echo is to be expected: echoes are being requested, but there is
	 * no connection to the agent, or it was silent where its runner responded.
	 */
	boolean unavailable() {
		return this.oldestUnansweredNanos.isPresent() && (!this.agentLinked || this.overtaken);
	}

}
