package org.wisteriapost.standin.sim.dispatch;

import java.time.Duration;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;
import org.wisteriapost.policy.routing.EngineSpec;

/**
 * A caller with one request. It comes back once after a refusal.
 */
final class SimulatedCaller {

	static final Duration TIMEOUT = Duration.ofSeconds(6);

	static final Duration TARGET_GAP = Duration.ofMillis(300);

	// A caller waits for at most this share of its remaining time before it comes back.
	private static final int MAX_WAIT_DIVISOR = 3;

	private static final int ATTEMPTS = 2;

	// A refusal within this part of the latency target leaves time to go elsewhere.
	private static final int FREE_HOLD_DIVISOR = 8;

	// A caller that is held for longer has no time to go elsewhere.
	private static final double MAX_HOLD_SHARE = 0.75;

	private static final double MIN_WORTH = 0.3;

	private static final double MAX_WORTH = 4;

	private static final double ANSWER_TOKEN_WORTH = 10;

	private static final double MAX_SIZE_FACTOR = 3.5;

	private static final double HINT_SPREAD = 0.5;

	private final long id;

	private final long firstNanos;

	private final int promptTokens;

	private final int answerTokens;

	private final int lengthHint;

	private final double worth;

	private final RequestKind kind;

	private final Optional<Integer> organisation;

	private int attempts;

	private double heldShare;

	private long lastEventNanos;

	private boolean inTime = true;

	private SimulatedCaller(long id, long firstNanos, int promptTokens, int answerTokens, int lengthHint, double worth,
			RequestKind kind, Optional<Integer> organisation) {
		this.id = id;
		this.firstNanos = firstNanos;
		this.promptTokens = promptTokens;
		this.answerTokens = answerTokens;
		this.lengthHint = lengthHint;
		this.worth = worth;
		this.kind = kind;
		this.organisation = organisation;
	}

	static SimulatedCaller create(long id, RequestKind kind, Optional<Integer> organisation, EngineSpec spec,
			UniformRandomProvider random, long nowNanos) {
		int prompt = size(spec.meanPromptTokens(), random);
		int answer = size(spec.meanAnswerTokens(), random);
		double mean = spec.meanPromptTokens() + ANSWER_TOKEN_WORTH * spec.meanAnswerTokens();
		double worth = MIN_WORTH + (1 - MIN_WORTH) * (prompt + ANSWER_TOKEN_WORTH * answer) / mean;
		int hint = (int) (answer * Math.exp(HINT_SPREAD * (2 * random.nextDouble() - 1)));
		return new SimulatedCaller(id, nowNanos, prompt, answer, hint, kind.worth() * Math.min(MAX_WORTH, worth), kind,
				organisation);
	}

	// Exponential, with a bound as callers declare one.
	private static int size(int mean, UniformRandomProvider random) {
		double factor = Math.min(MAX_SIZE_FACTOR, -Math.log(1 - random.nextDouble()));
		return (int) Math.max(1, mean * factor);
	}

	long id() {
		return this.id;
	}

	long firstNanos() {
		return this.firstNanos;
	}

	long deadlineNanos() {
		return this.firstNanos + TIMEOUT.toNanos();
	}

	RequestKind kind() {
		return this.kind;
	}

	Optional<Integer> organisation() {
		return this.organisation;
	}

	int promptTokens() {
		return this.promptTokens;
	}

	int answerTokens() {
		return this.answerTokens;
	}

	int lengthHint() {
		return this.lengthHint;
	}

	double worth() {
		return this.worth;
	}

	boolean returned() {
		return this.attempts > 1;
	}

	void startAttempt() {
		this.attempts++;
	}

	boolean mayReturn() {
		return this.attempts < ATTEMPTS;
	}

	/**
	 * Records how long an attempt took to be refused.
	 * @param remainingNanos the time that the caller had left when it sent the attempt
	 */
	void held(long nanos, long remainingNanos) {
		long beyond = Math.max(0, nanos - this.kind.target().toNanos() / FREE_HOLD_DIVISOR);
		this.heldShare = Math.min(1, this.heldShare + beyond / (MAX_HOLD_SHARE * remainingNanos));
	}

	/**
	 * Returns the share of the time of its refused attempts that the caller was held.
	 */
	double heldShare() {
		return this.heldShare;
	}

	/**
	 * Returns how long the caller waits before it comes back.
	 */
	long returnDelayNanos(long retryAfterMillis, long nowNanos) {
		return Math.min(Duration.ofMillis(retryAfterMillis).toNanos(), (deadlineNanos() - nowNanos) / MAX_WAIT_DIVISOR);
	}

	void receiveEvent(long nowNanos) {
		boolean first = this.lastEventNanos == 0;
		long sinceNanos = nowNanos - (first ? this.firstNanos : this.lastEventNanos);
		this.inTime &= sinceNanos <= (first ? this.kind.target() : TARGET_GAP).toNanos();
		this.lastEventNanos = nowNanos;
	}

	boolean inTime() {
		return this.inTime;
	}

}
