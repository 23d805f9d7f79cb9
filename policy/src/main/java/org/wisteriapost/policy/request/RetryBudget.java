package org.wisteriapost.policy.request;

import java.time.Duration;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Limits and delays retries of failed requests.
 *
 * Load: runners fail while there is hardly any free capacity. Harm prevented: each
 * failure turns into two or three calls, which overload the remaining runners.
 *
 * A token bucket is filled by a share of the first dispatches, so that retries add at
 * most that share to the load. It is full at the start, so that an entry with little
 * traffic can retry at all. A request is retried at most twice, because one that fails
 * everywhere is itself the likely cause. The backoff is jittered, so that calls that
 * failed together are not retried together.
 */
final class RetryBudget {

	private static final double MAX_TOKENS = 20;

	private static final int MAX_DISPATCHES = 3;

	private static final long BASE_BACKOFF_NANOS = Duration.ofMillis(10).toNanos();

	private final double retryShare;

	private final UniformRandomProvider random;

	private double tokens = MAX_TOKENS;

	RetryBudget(RequestPolicySettings settings, UniformRandomProvider random) {
		this.retryShare = settings.retryShare();
		this.random = random;
	}

	void recordFirstDispatch() {
		this.tokens = Math.min(MAX_TOKENS, this.tokens + this.retryShare);
	}

	/**
	 * Returns whether a failed request may be retried: its answer has not started, and it
	 * is idempotent or certainly did not run.
	 */
	static boolean isRetryable(PendingRequest pending) {
		return !pending.answerStarted && (pending.request.idempotent() || !pending.mayHaveRun());
	}

	/**
	 * Takes a token for a retry if the request is retryable and a token is available.
	 */
	boolean tryAcquire(PendingRequest pending) {
		if (!isRetryable(pending) || pending.dispatches >= MAX_DISPATCHES || this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

	long backoffNanos(PendingRequest pending) {
		double jitter = 0.5 + this.random.nextDouble();
		return (long) (BASE_BACKOFF_NANOS * jitter * pending.dispatches);
	}

}
