package org.wisteriapost.policy.burn;

import java.util.List;

/**
 * Tells an answer in time from a late one by the strictest objective that covers it.
 */
public final class BurnJudge {

	private final List<Objective> objectives;

	private BurnJudge(List<Objective> objectives) {
		this.objectives = List.copyOf(objectives);
	}

	/**
	 * Returns a judge for some objectives.
	 */
	public static BurnJudge of(List<Objective> objectives) {
		return new BurnJudge(objectives);
	}

	/**
	 * Returns {@link Result#GOOD} or {@link Result#LATE} for a whole answer.
	 * @param firstByteMillis from the request's arrival to the answer's first byte
	 */
	public Result answered(String service, String organisation, long firstByteMillis) {
		boolean late = this.objectives.stream()
			.filter((objective) -> objective.covers(service, organisation))
			.anyMatch((objective) -> firstByteMillis > objective.latencyMillis());
		return late ? Result.LATE : Result.GOOD;
	}

}
