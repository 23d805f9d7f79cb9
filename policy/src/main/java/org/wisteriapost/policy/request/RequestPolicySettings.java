package org.wisteriapost.policy.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.wisteriapost.kernel.settings.Settings;

/**
 * The limits that the request decisions work with; each is explained at the decision that
 * uses it.
 *
 * @param place the failure domain of this entry; empty when it does not matter
 * @param weights share of each organisation; one that is not named has weight 1
 * @param queuePerOrganisation queued requests of one organisation for one service
 * @param queuePerService queued requests for one service
 * @param priorityHeadStart units of cost that a class may be ahead of the next lower one
 * @param longCost cost from which a request counts as long
 * @param longShare share of the calls in flight that may be long while short ones come
 * @param retryShare retries for each first dispatch
 * @param slowStart how long a runner that returns is ramped up
 * @param ejection how long a runner is ejected the first time
 * @param ejectedShare share of a service's runners that may be ejected at once
 */
public record RequestPolicySettings(String place, Map<String, Integer> weights, int queuePerOrganisation,
		int queuePerService, int priorityHeadStart, int longCost, double longShare, double retryShare,
		Duration slowStart, Duration ejection, double ejectedShare) {

	public RequestPolicySettings {
		weights = Map.copyOf(weights);
	}

	/**
	 * Returns the limits that are used when the settings say nothing.
	 */
	public static RequestPolicySettings defaults() {
		return new RequestPolicySettings("", Map.of(), 512, 2048, 20, 8, 0.5, 0.1, Duration.ofSeconds(5),
				Duration.ofSeconds(5), 0.3);
	}

	/**
	 * Returns the limits that the settings name.
	 * @param settings settings that were checked whole
	 * @param place the failure domain of this entry
	 */
	public static RequestPolicySettings from(Settings settings, String place) {
		return new RequestPolicySettings(place, weights(settings),
				RequestPolicyKeys.QUEUE_PER_ORGANISATION.get(settings).intValue(),
				RequestPolicyKeys.QUEUE_PER_SERVICE.get(settings).intValue(),
				RequestPolicyKeys.PRIORITY_HEAD_START.get(settings).intValue(),
				RequestPolicyKeys.LONG_COST.get(settings).intValue(), RequestPolicyKeys.LONG_SHARE.get(settings),
				RequestPolicyKeys.RETRY_SHARE.get(settings), RequestPolicyKeys.SLOW_START.get(settings),
				RequestPolicyKeys.EJECTION.get(settings), RequestPolicyKeys.EJECTED_SHARE.get(settings));
	}

	int weight(String organisation) {
		return this.weights.getOrDefault(organisation, 1);
	}

	private static Map<String, Integer> weights(Settings settings) {
		Map<String, Integer> weights = new HashMap<>();
		for (String section : settings.sections()) {
			if (section.startsWith(RequestPolicyKeys.ORGANISATION)) {
				weights.put(section.substring(RequestPolicyKeys.ORGANISATION.length()),
						RequestPolicyKeys.WEIGHT.get(settings, section).intValue());
			}
		}
		return weights;
	}

}
