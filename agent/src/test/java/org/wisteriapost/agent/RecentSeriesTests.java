package org.wisteriapost.agent;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.wisteriapost.protocol.http.CallSeries;

import static org.hamcrest.MatcherAssert.assertThat;

class RecentSeriesTests {

	private final RecentSeries recent = new RecentSeries();

	// Guards against a repeated request whose runner's earlier rejection comes again on
	// the same connection, and against memory that grows with the requests.
	@Test
	void callsOfARequestAreOneSeriesForAsLongAsTheyMayBeRepeated() {
		CallSeries first = this.recent.of("request");
		for (int i = 0; i < 2000; i++) {
			this.recent.of("other " + i);
		}
		assertThat(this.recent.of("request"), Matchers.sameInstance(first));
		for (int i = 0; i < 3000; i++) {
			this.recent.of("later " + i);
		}
		assertThat(this.recent.of("request"), Matchers.not(Matchers.sameInstance(first)));
	}

}
