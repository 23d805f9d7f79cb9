package org.wisteriapost.entry.direct;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Collects the results of requests by their code.
 */
final class FleetResults {

	private final Map<String, Integer> counts = new HashMap<>();

	private final List<String> all = new ArrayList<>();

	void add(FleetHarness.Answer answer) {
		this.counts.merge(answer.result(), 1, Integer::sum);
		this.all.add(answer.result());
	}

	int count(String result) {
		return this.counts.getOrDefault(result, 0);
	}

	int total() {
		return this.all.size();
	}

	@Override
	public String toString() {
		return this.counts.toString();
	}

}
