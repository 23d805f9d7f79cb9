package org.wisteriapost.policy.burn;

import java.util.List;

/**
 * Classifies complete responses as on time or late by the strictest latency objective
 * that covers the request.
 */
public final class BurnJudge {

	private final List<Objective> objectives;

	private BurnJudge(List<Objective> objectives) {
		this.objectives = List.copyOf(objectives);
	}

	public static BurnJudge of(List<Objective> objectives) {
		return new BurnJudge(objectives);
	}

	/**
	 * Returns {@link Result#GOOD} or {@link Result#LATE} for a complete response.
	 * @param firstByteMillis time from the request's arrival to the first byte of the
	 * response
	 */
	public Result answered(String service, String organisation, long firstByteMillis) {
		boolean late = this.objectives.stream()
			.filter((objective) -> objective.covers(service, organisation))
			.anyMatch((objective) -> firstByteMillis > objective.latencyMillis());
		return late ? Result.LATE : Result.GOOD;
	}

}
