package org.wisteriapost.policy.burn;

import java.util.List;

/**
 * Classifies complete responses as on time or late by the strictest latency objective
 * that covers the request.
 */
public final class LatencyClassifier {

	private final List<Objective> objectives;

	private LatencyClassifier(List<Objective> objectives) {
		this.objectives = List.copyOf(objectives);
	}

	public static LatencyClassifier of(List<Objective> objectives) {
		return new LatencyClassifier(objectives);
	}

	/**
	 * Returns {@link RequestResult#GOOD} or {@link RequestResult#LATE} for a complete
	 * response.
	 * @param firstByteMillis time from the request's arrival to the first byte of the
	 * response
	 */
	public RequestResult classify(String service, String organisation, long firstByteMillis) {
		boolean late = this.objectives.stream()
			.filter((objective) -> objective.covers(service, organisation))
			.anyMatch((objective) -> firstByteMillis > objective.latencyMillis());
		return late ? RequestResult.LATE : RequestResult.GOOD;
	}

}
