package org.wisteriapost.policy.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.wisteriapost.kernel.settings.Settings;

/**
 * Limits of the request policy.
 *
 * @param failureDomain the failure domain of this entry; empty for no preference
 * @param weights share of each organisation; one that is not listed has weight 1
 * @param queuePerOrganisation queued requests of one organisation for one service
 * @param queuePerService queued requests for one service
 * @param priorityHeadStart units of cost that a class may be ahead of the next lower one
 * between organisations
 * @param longCost cost from which a request counts as long
 * @param longShare share of the calls in flight that may be long while short ones arrive
 * @param retryShare retries allowed per first dispatch
 * @param slowStartDuration how long a returning runner is ramped up
 * @param baseEjectionTime duration of a runner's first ejection
 * @param maxEjectedShare share of a service's runners that may be ejected at once
 */
public record RequestPolicySettings(String failureDomain, Map<String, Integer> weights, int queuePerOrganisation,
		int queuePerService, int priorityHeadStart, int longCost, double longShare, double retryShare,
		Duration slowStartDuration, Duration baseEjectionTime, double maxEjectedShare) {

	public RequestPolicySettings {
		weights = Map.copyOf(weights);
	}

	/**
	 * Returns the limits that apply without settings.
	 */
	public static RequestPolicySettings defaults() {
		return new RequestPolicySettings("", Map.of(), 512, 2048, 20, 8, 0.5, 0.1, Duration.ofSeconds(5),
				Duration.ofSeconds(5), 0.3);
	}

	/**
	 * Returns the limits from the settings.
	 * @param settings validated settings
	 * @param failureDomain the failure domain of this entry
	 */
	public static RequestPolicySettings from(Settings settings, String failureDomain) {
		return new RequestPolicySettings(failureDomain, weights(settings),
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
