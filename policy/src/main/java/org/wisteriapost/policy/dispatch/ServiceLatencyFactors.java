package org.wisteriapost.policy.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Ratio of the actual to the nominal time to the first event, smoothed for each service.
 *
 * With saturated engines, busy links or engines switching weights, all predictions are
 * too short by a similar factor, and twice as many requests would be admitted as can meet
 * their latency target. One entry gets only a few samples per second for one engine but
 * about twenty for a service, so the factor of the service adapts within half a second
 * instead of five.
 */
final class ServiceLatencyFactors {

	private static final double SMOOTHING = 0.08;

	private static final double MIN_FACTOR = 0.6;

	private static final double MAX_FACTOR = 5;

	private final Map<String, Double> factors = new HashMap<>();

	double of(String service) {
		return this.factors.getOrDefault(service, 1.0);
	}

	/**
	 * Records the time to the first event of a request.
	 * @param ratio the ratio to the time predicted from the declared speed alone
	 */
	void recordRatio(String service, double ratio) {
		double factor = of(service);
		this.factors.put(service, factor + SMOOTHING * (Math.clamp(ratio, MIN_FACTOR, MAX_FACTOR) - factor));
	}

}
