package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.policy.admission.ContentionReport;
import org.wisteriapost.policy.dispatch.InFlightLoad;
import org.wisteriapost.policy.dispatch.LoadReportInterval;
import org.wisteriapost.policy.dispatch.RefusedRequest;
import org.wisteriapost.policy.dispatch.RunnerLoad;
import org.wisteriapost.policy.fleet.EntryInfo;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.policy.ratelimit.RateLimitReport;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.ServiceContention;

import static org.hamcrest.MatcherAssert.assertThat;

class LoadReporterTests {

	private static final int TICKS_IN_10_S = 500;

	private final List<String> sent = new ArrayList<>();

	private final List<Frame> frames = new ArrayList<>();

	private final LoadReporter reporter = new LoadReporter("hall-a", (peer, frame) -> {
		this.sent.add(peer);
		this.frames.add(frame);
	});

	private List<ContentionReport> contended = List.of();

	private void tick(long tick, List<EntryInfo> others, List<RunnerLoad> loads) {
		this.reporter.tick(tick, tick * 20_000_000, () -> others, new LoadReporter.Source() {

			@Override
			public List<RunnerLoad> loads() {
				return loads;
			}

			@Override
			public Optional<RateLimitReport> rates() {
				return Optional.empty();
			}

			@Override
			public List<ContentionReport> contended() {
				return LoadReporterTests.this.contended;
			}

		});
	}

	private static List<EntryInfo> entries(int local, int remote) {
		List<EntryInfo> entries = new ArrayList<>();
		for (int i = 0; i < local + remote; i++) {
			String failureDomain = (i < local) ? "hall-a" : "hall-b";
			entries.add(new EntryInfo(failureDomain + "-" + i, i, "", "", failureDomain, ""));
		}
		return entries;
	}

	private static List<RunnerLoad> loads(InFlightLoad load) {
		return List.of(new RunnerLoad("runner", RunnerIncarnation.UNKNOWN, load));
	}

	private static List<RunnerLoad> changingLoads(long tick) {
		return loads(new InFlightLoad(1 + (int) tick, 0, 0));
	}

	// Load changes all the time. Without a bound per entry the messages would grow with
	// the square of the entries.
	@ParameterizedTest
	@CsvSource({ "1,4,15,45", "13,28,70,100", "100,200,70,110" })
	void messageRateIsBounded(int local, int remote, int min, int max) {
		for (long tick = 0; tick < TICKS_IN_10_S; tick++) {
			tick(tick, entries(local, remote), changingLoads(tick));
		}
		assertThat(this.sent.size() / 10,
				Matchers.allOf(Matchers.greaterThanOrEqualTo(min), Matchers.lessThanOrEqualTo(max)));
	}

	@Test
	void peersInFailureDomainGetReportsTwiceAsOften() {
		int remoteIntervals = TICKS_IN_10_S / LoadReportInterval.toPeers(1, 1).remoteTicks();
		for (long tick = 0; tick < (long) remoteIntervals * LoadReportInterval.toPeers(1, 1).remoteTicks(); tick++) {
			tick(tick, entries(1, 1), changingLoads(tick));
		}
		long local = this.sent.stream().filter((name) -> name.startsWith("hall-a")).count();
		assertThat(local, Matchers.equalTo(2 * (this.sent.size() - local)));
	}

	// Unchanged load is repeated each second, so that a lost message does not make a
	// runner seem idle.
	@Test
	void unchangedLoadIsRepeatedEachSecond() {
		for (long tick = 0; tick < TICKS_IN_10_S; tick++) {
			tick(tick, entries(1, 0), loads(new InFlightLoad(3, 0, 0)));
		}
		assertThat(this.sent.size(), Matchers.allOf(Matchers.greaterThanOrEqualTo(9), Matchers.lessThanOrEqualTo(11)));
	}

	// The caller retries at another entry, which must recognise the request as late.
	// Each entry is told once, with the age of the request at that time.
	@Test
	void refusedRequestIsReportedOnceToEachEntry() {
		tick(0, entries(1, 1), List.of());
		this.reporter.addRefusedRequest(new RefusedRequest(7, 0, 6_000_000_000L));
		for (long tick = 1; tick < 100; tick++) {
			tick(tick, entries(1, 1), List.of());
		}
		assertThat(this.sent, Matchers.containsInAnyOrder("hall-a-0", "hall-b-1"));
		assertThat(this.frames.getFirst().getLoadReport().getRefused(0),
				Matchers.equalTo(org.wisteriapost.protocol.wire.RefusedRequest.newBuilder()
					.setRequest(7)
					.setAskedMillis(LoadReportInterval.MIN_LOCAL_TICKS * 20)
					.setLeftMillis(6000 - LoadReportInterval.MIN_LOCAL_TICKS * 20)
					.build()));
	}

	@Test
	void endedLoadIsReportedOnce() {
		tick(0, entries(1, 0), loads(new InFlightLoad(3, 0, 0)));
		tick(10, entries(1, 0), loads(InFlightLoad.NONE));
		tick(20, entries(1, 0), loads(InFlightLoad.NONE));
		assertThat(this.frames, Matchers.hasSize(2));
		assertThat(this.frames.getLast().getLoadReport().getLoads(0).getActive(), Matchers.equalTo(0));
	}

	@Test
	void contentionIsReportedWhileItLasts() {
		this.contended = List.of(new ContentionReport("lm-notice", OptionalInt.of(2), Duration.ofMillis(250)));
		tick(0, entries(1, 1), List.of());
		assertThat(this.frames, Matchers.hasSize(2));
		assertThat(this.frames.getFirst().getLoadReport().getContendedList(), Matchers.contains(
				ServiceContention.newBuilder().setService("lm-notice").setAgeMillis(250).setRankPlusOne(3).build()));
		this.contended = List.of();
		tick(20, entries(1, 1), List.of());
		assertThat(this.frames, Matchers.hasSize(2));
	}

}
