package org.wisteriapost.policy.burn;

import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

class BurnTests {

	private static final long NOW = 1_000_000_000_000L;

	private static final Objective ALL = new Objective("all", "lm", "*", 0.9, 740);

	private static final Objective ONE = new Objective("one", "lm", "press", 0.5, 100);

	private final RequestCounter ledger = RequestCounter.create();

	static Stream<Arguments> ages() {
		return Stream.of(Arguments.of("just now", 0, List.of(1L, 1L, 1L, 1L)),
				Arguments.of("six minutes ago", 6, List.of(0L, 1L, 1L, 1L)),
				Arguments.of("two hours ago", 120, List.of(0L, 0L, 1L, 1L)),
				Arguments.of("a day ago", 24 * 60, List.of(0L, 0L, 0L, 1L)),
				Arguments.of("four days ago", 4 * 24 * 60, List.of(0L, 0L, 0L, 0L)));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("ages")
	void requestCountsInEachWindowThatCoversIt(String name, long minutes, List<Long> expected) {
		this.ledger.count(new RequestSeries("lm", "press"), RequestResult.LATE, NOW - minutes * 60_000);
		BurnReport report = BurnReport.of(List.of(ALL), List.of(this.ledger.snapshot("e", NOW)), NOW);
		assertThat(report.lines().getFirst().spans().stream().map((span) -> span.counts().bad()).toList(),
				is(expected));
	}

	@Test
	void burnRateIsBadShareOverAllowedShareWithCountsByOrganisation() {
		count("press", RequestResult.GOOD, 6);
		count("press", RequestResult.REFUSED, 2);
		count("museum", RequestResult.UNKNOWN, 2);
		BurnReport report = BurnReport.of(List.of(ALL, ONE), List.of(this.ledger.snapshot("e", NOW)), NOW);
		assertThat(report.lines().get(0).budgetSpent(), closeTo(4.0, 1e-9));
		assertThat(report.lines().get(1).budgetSpent(), closeTo(0.5, 1e-9));
		assertThat(report.lines().get(0).spans().getFirst().spenders().get("museum").of(RequestResult.UNKNOWN), is(2L));
	}

	// The last snapshot of an entry that was replaced two hours ago still counts in the
	// windows of six hours and three days, but not in the shorter ones.
	@Test
	void snapshotOfReplacedEntryCountsOnlyInLongerWindows() {
		count("press", RequestResult.FAILED, 1);
		BurnSnapshot old = this.ledger.snapshot("e", NOW);
		BurnReport report = BurnReport.of(List.of(ALL), List.of(old), NOW + 2 * 3_600_000);
		assertThat(report.lines().getFirst().spans().stream().map((span) -> span.counts().bad()).toList(),
				is(List.of(0L, 0L, 1L, 1L)));
	}

	@Test
	void seriesOverTheLimitAreCountedTogether() {
		for (int i = 0; i < 2000; i++) {
			count("organisation-" + i, RequestResult.GOOD, 1);
		}
		BurnSnapshot snapshot = this.ledger.snapshot("e", NOW);
		assertThat(snapshot.rows().size(), is(513));
		assertThat(snapshot.rows().stream().mapToLong((row) -> row.windows().get("3d").total()).sum(), is(2000L));
	}

	@Test
	void strictestObjectiveDeterminesLateResult() {
		LatencyClassifier judge = LatencyClassifier.of(List.of(ALL, ONE));
		assertThat(judge.classify("lm", "press", 101), is(RequestResult.LATE));
		assertThat(judge.classify("lm", "museum", 101), is(RequestResult.GOOD));
		assertThat(judge.classify("lm", "museum", 741), is(RequestResult.LATE));
		assertThat(judge.classify("portal", "museum", 9999), is(RequestResult.GOOD));
	}

	private void count(String organisation, RequestResult result, int times) {
		for (int i = 0; i < times; i++) {
			this.ledger.count(new RequestSeries("lm", organisation), result, NOW);
		}
	}

}
