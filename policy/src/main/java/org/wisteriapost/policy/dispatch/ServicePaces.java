package org.wisteriapost.policy.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * How much longer first events of a service take than its declared speed says.
 *
 * Load: engines are full, links are busy, half of the engines change weights. Harm
 * prevented: predictions that are all too short by the same factor admit twice what can
 * be in time. One entry meets one engine only a few times in a second, a service some
 * twenty times, so the factor of the service follows within half a second what the factor
 * of an engine would in five.
 */
final class ServicePaces {

	private static final double SMOOTHING = 0.08;

	private static final double LEAST = 0.6;

	private static final double MOST = 5;

	private final Map<String, Double> paces = new HashMap<>();

	double of(String service) {
		return this.paces.getOrDefault(service, 1.0);
	}

	/**
	 * Notes how long a first event took.
	 * @param ratio to what the declared speed alone says
	 */
	void measured(String service, double ratio) {
		double pace = of(service);
		this.paces.put(service, pace + SMOOTHING * (Math.clamp(ratio, LEAST, MOST) - pace));
	}

}
