package org.wisteriapost.policy.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * The allowance of each service.
 */
final class RetryAllowances {

	private final DispatchLimits limits;

	private final Map<String, RetryAllowance> services = new HashMap<>();

	RetryAllowances(DispatchLimits limits) {
		this.limits = limits;
	}

	RetryAllowance of(String service) {
		return this.services.computeIfAbsent(service, (name) -> new RetryAllowance(this.limits.retryShare(),
				this.limits.retryExtra(), this.limits.retryWindow()));
	}

}
