package org.wisteriapost.policy.dispatch;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class LoadReportIntervalTests {

	private static final int MILLIS_PER_SECOND = 1000;

	// Under saturation, reports older than about 0.1 s make entries refuse requests while
	// engines have free slots.
	@ParameterizedTest
	@CsvSource({ "2,5,120,240", "3,8,120,240", "11,0,120,240", "13,28,300,600" })
	void peersOfSmallFleetsGetFrequentReports(int local, int remote, int maxLocalMillis, int maxRemoteMillis) {
		LoadReportInterval interval = LoadReportInterval.toPeers(local, remote);
		assertThat(interval.localTicks() * LoadReportInterval.TICK_MILLIS, lessThanOrEqualTo(maxLocalMillis));
		assertThat(interval.remoteTicks() * LoadReportInterval.TICK_MILLIS, lessThanOrEqualTo(maxRemoteMillis));
	}

	@ParameterizedTest
	@CsvSource({ "0,0", "2,5", "13,28", "100,200", "229,2000" })
	void messagesPerSecondAreBounded(int local, int remote) {
		LoadReportInterval interval = LoadReportInterval.toPeers(local, remote);
		double perTick = (double) local / interval.localTicks() + (double) remote / interval.remoteTicks();
		assertThat(perTick * MILLIS_PER_SECOND / LoadReportInterval.TICK_MILLIS, lessThanOrEqualTo(100.0));
		assertThat(interval.remoteTicks(), is(2 * interval.localTicks()));
	}

	// The entry that receives the sum of another failure domain forwards it to its peers.
	@ParameterizedTest
	@CsvSource({ "7,100", "11,120", "48,500" })
	void relayedSumsAreBoundedByForwardedMessages(int localPeers, int maxMillis) {
		int ticks = LoadReportInterval.relayTicks(localPeers);
		assertThat(ticks * LoadReportInterval.TICK_MILLIS, lessThanOrEqualTo(maxMillis));
		assertThat(2 * ticks, greaterThanOrEqualTo(localPeers));
	}

}
