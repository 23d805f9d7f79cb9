package org.wisteriapost.policy.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Retry budget of each service.
 */
final class RetryBudgets {

	private final DispatchLimits limits;

	private final Map<String, ServiceRetryBudget> budgets = new HashMap<>();

	private int entries = 1;

	RetryBudgets(DispatchLimits limits) {
		this.limits = limits;
	}

	/**
	 * Updates the number of entries that share the budgets.
	 */
	void updateEntryCount(int count) {
		this.entries = count;
	}

	/**
	 * Records the first dispatch of a request.
	 */
	void recordFirstDispatch(String service) {
		of(service).recordFirstDispatch();
	}

	/**
	 * Takes one retry from the budget and returns whether one was available.
	 */
	boolean tryAcquire(String service, long nowNanos) {
		return of(service).tryAcquire(this.entries, nowNanos);
	}

	private ServiceRetryBudget of(String service) {
		return this.budgets.computeIfAbsent(service, (name) -> new ServiceRetryBudget(this.limits.retryRatio(),
				this.limits.fixedRetriesPerWindow(), this.limits.retryWindow()));
	}

}
