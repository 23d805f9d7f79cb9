package org.wisteriapost.policy.burn;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * How fast each objective's error budget is spent, by whom and on what.
 *
 * @param atMillis when it was made
 * @param entries how many entries' figures are in it
 * @param oldestMillis the age of the oldest of these figures
 * @param lines one for each objective
 */
public record BurnReport(long atMillis, int entries, long oldestMillis, List<Line> lines) {

	/**
	 * Returns the report over the entries' snapshots. A snapshot that is older than a
	 * window has nothing to say about it and is left out of that window; in the longer
	 * ones it still counts, so that what a replaced entry saw is not lost.
	 */
	public static BurnReport of(List<Objective> objectives, List<BurnSnapshot> snapshots, long nowMillis) {
		List<Line> lines = objectives.stream().map((objective) -> line(objective, snapshots, nowMillis)).toList();
		long oldest = snapshots.stream().mapToLong((snapshot) -> nowMillis - snapshot.atMillis()).max().orElse(0);
		return new BurnReport(nowMillis, snapshots.size(), oldest, lines);
	}

	private static Line line(Objective objective, List<BurnSnapshot> snapshots, long nowMillis) {
		List<Span> spans = new ArrayList<>();
		for (Window window : Window.values()) {
			Map<String, Counts> spenders = new TreeMap<>();
			for (BurnSnapshot snapshot : snapshots) {
				if (nowMillis - snapshot.atMillis() < window.lengthMillis()) {
					add(objective, window, snapshot, spenders);
				}
			}
			Counts total = spenders.values().stream().reduce(Counts.NONE, Counts::plus);
			spans.add(new Span(window.label(), total, burn(objective, total), spenders));
		}
		return new Line(objective, spans);
	}

	private static void add(Objective objective, Window window, BurnSnapshot snapshot, Map<String, Counts> spenders) {
		for (BurnSnapshot.Row row : snapshot.rows()) {
			if (objective.covers(row.service(), row.organisation())) {
				Counts counts = row.windows().getOrDefault(window.label(), Counts.NONE);
				spenders.merge(row.organisation(), counts, Counts::plus);
			}
		}
	}

	private static double burn(Objective objective, Counts counts) {
		if (counts.total() == 0) {
			return 0;
		}
		double badShare = (double) counts.bad() / counts.total();
		return badShare / (1 - objective.availability());
	}

	/**
	 * One objective.
	 *
	 * @param objective the promise
	 * @param spans its windows, shortest first
	 */
	public record Line(Objective objective, List<Span> spans) {

		/**
		 * Returns the share of the longest window's error budget that is spent.
		 */
		public double budgetSpent() {
			return this.spans.getLast().burn();
		}

	}

	/**
	 * One objective over one window.
	 *
	 * @param window its label
	 * @param counts all requests
	 * @param burn how many times faster than the objective allows the budget is spent; 1
	 * spends it exactly over the window
	 * @param spenders counts by organisation
	 */
	public record Span(String window, Counts counts, double burn, Map<String, Counts> spenders) {
	}

}
