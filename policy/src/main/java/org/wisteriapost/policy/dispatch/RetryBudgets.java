package org.wisteriapost.policy.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Retry budget of each service.
 */
final class RetryBudgets {

	private final DispatchLimits limits;

	private final Map<String, ServiceRetryBudget> budgets = new HashMap<>();

	RetryBudgets(DispatchLimits limits) {
		this.limits = limits;
	}

	ServiceRetryBudget of(String service) {
		return this.budgets.computeIfAbsent(service, (name) -> new ServiceRetryBudget(this.limits.retryRatio(),
				this.limits.fixedRetriesPerWindow(), this.limits.retryWindow()));
	}

}
