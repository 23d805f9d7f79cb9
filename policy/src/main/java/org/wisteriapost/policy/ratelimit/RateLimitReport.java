package org.wisteriapost.policy.ratelimit;

import java.util.List;

import org.wisteriapost.policy.fleet.RunnerIncarnation;

/**
 * What an entry tells others of rate limits.
 *
 * @param limits what runners have told the entry
 * @param demands its demand for the services of these runners
 */
public record RateLimitReport(List<Limit> limits, List<Demand> demands) {

	public RateLimitReport {
		limits = List.copyOf(limits);
		demands = List.copyOf(demands);
	}

	/**
	 * The limit of a runner.
	 *
	 * @param runnerId its id
	 * @param incarnation its incarnation
	 * @param statement what it has stated
	 */
	public record Limit(String runnerId, RunnerIncarnation incarnation, RateStatement statement) {
	}

	/**
	 * The demand for a service.
	 *
	 * @param service the service
	 * @param perSecond the requests a second that the entry receives for it
	 */
	public record Demand(String service, double perSecond) {
	}

}
