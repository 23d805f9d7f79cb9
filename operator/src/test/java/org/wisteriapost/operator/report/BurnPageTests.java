package org.wisteriapost.operator.report;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.wisteriapost.policy.burn.BurnReport;
import org.wisteriapost.policy.burn.Objective;
import org.wisteriapost.policy.burn.RequestCounter;
import org.wisteriapost.policy.burn.RequestResult;
import org.wisteriapost.policy.burn.RequestSeries;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.not;

class BurnPageTests {

	private static final long NOW = 1_000_000_000_000L;

	private static final Objective OBJECTIVE = new Objective("urgent <checks>", "lm", "*", 0.9, 740);

	@Test
	void pageEmbedsChartsAndEscapesNames() {
		String page = BurnPage.of(report(RequestResult.REFUSED, 5));
		assertThat(page, containsString("urgent &lt;checks&gt;"));
		assertThat(page, containsString("<svg"));
		assertThat(page, not(containsString("<?xml")));
	}

	@Test
	void objectiveWithoutBadRequestsHasNoCharts() {
		assertThat(BurnPage.of(report(RequestResult.GOOD, 0)), not(containsString("<svg")));
		assertThat(BurnPage.of(report(RequestResult.GOOD, 5)), not(containsString("<svg")));
	}

	@Test
	void textListsBudgetOrganisationsAndCauses() {
		String text = BurnText.of(report(RequestResult.REFUSED, 5));
		assertThat(text, containsString("1000 % of the 3 d budget spent"));
		assertThat(text, containsString("by whom (3d): press (refused 5)"));
	}

	private static BurnReport report(RequestResult result, int times) {
		RequestCounter ledger = RequestCounter.create();
		for (int i = 0; i < times; i++) {
			ledger.count(new RequestSeries("lm", "press"), result, NOW);
		}
		return BurnReport.of(List.of(OBJECTIVE), List.of(ledger.snapshot("e", NOW)), NOW);
	}

}
