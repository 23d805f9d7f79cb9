package org.wisteriapost.policy.burn;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Burn rate of each objective's error budget, and the requests that spend it by
 * organisation and result.
 *
 * @param atMillis creation time in milliseconds since the Unix epoch
 * @param entries number of entry snapshots included
 * @param oldestMillis age of the oldest snapshot included
 * @param lines one line for each objective
 */
public record BurnReport(long atMillis, int entries, long oldestMillis, List<ObjectiveBurn> lines) {

	/**
	 * Returns the report over the entries' snapshots. A snapshot that is older than a
	 * window is left out of that window. It still counts in the longer windows, so that
	 * the requests of a replaced entry are not lost.
	 * @param nowMillis current time in milliseconds since the Unix epoch
	 */
	public static BurnReport of(List<Objective> objectives, List<BurnSnapshot> snapshots, long nowMillis) {
		List<ObjectiveBurn> lines = objectives.stream()
			.map((objective) -> line(objective, snapshots, nowMillis))
			.toList();
		long oldest = snapshots.stream().mapToLong((snapshot) -> nowMillis - snapshot.atMillis()).max().orElse(0);
		return new BurnReport(nowMillis, snapshots.size(), oldest, lines);
	}

	private static ObjectiveBurn line(Objective objective, List<BurnSnapshot> snapshots, long nowMillis) {
		List<WindowBurn> spans = new ArrayList<>();
		for (BurnWindow window : BurnWindow.values()) {
			Map<String, ResultCounts> spenders = new TreeMap<>();
			for (BurnSnapshot snapshot : snapshots) {
				if (nowMillis - snapshot.atMillis() < window.lengthMillis()) {
					addCounts(objective, window, snapshot, spenders);
				}
			}
			ResultCounts total = spenders.values().stream().reduce(ResultCounts.NONE, ResultCounts::plus);
			spans.add(new WindowBurn(window.label(), total, burnRate(objective, total), spenders));
		}
		return new ObjectiveBurn(objective, spans);
	}

	private static void addCounts(Objective objective, BurnWindow window, BurnSnapshot snapshot,
			Map<String, ResultCounts> spenders) {
		for (BurnSnapshot.Row row : snapshot.rows()) {
			if (objective.covers(row.service(), row.organisation())) {
				ResultCounts counts = row.windows().getOrDefault(window.label(), ResultCounts.NONE);
				spenders.merge(row.organisation(), counts, ResultCounts::plus);
			}
		}
	}

	private static double burnRate(Objective objective, ResultCounts counts) {
		if (counts.total() == 0) {
			return 0;
		}
		double badShare = (double) counts.bad() / counts.total();
		return badShare / (1 - objective.availability());
	}

	/**
	 * Error budget of an objective.
	 *
	 * @param objective the objective
	 * @param spans one span for each window, shortest first
	 */
	public record ObjectiveBurn(Objective objective, List<WindowBurn> spans) {

		/**
		 * Returns the share of the longest window's error budget that is spent.
		 */
		public double budgetSpent() {
			return this.spans.getLast().burn();
		}

	}

	/**
	 * Error budget of an objective over one window.
	 *
	 * @param window label of the window
	 * @param counts counts of all requests
	 * @param burn burn rate: share of bad requests divided by the share that the
	 * objective allows; at 1 the budget is spent exactly over the window
	 * @param spenders counts by organisation
	 */
	public record WindowBurn(String window, ResultCounts counts, double burn, Map<String, ResultCounts> spenders) {
	}

}
