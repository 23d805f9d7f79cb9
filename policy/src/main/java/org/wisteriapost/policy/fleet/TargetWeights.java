package org.wisteriapost.policy.fleet;

import java.time.Duration;

/**
 * The target version of a model's weights, which all its runners are to serve. It only
 * increases.
 *
 * @param model the model's name
 * @param version counts from 1
 */
public record TargetWeights(String model, int version) {

	/**
	 * How long before a target version takes effect entries send requests only to runners
	 * that hold it. It covers the wait in a runner's queue and the delay until an entry
	 * learns of the version.
	 */
	public static final Duration REQUIRED_MARGIN = Duration.ofMillis(1200);

}
