package org.wisteriapost.entry.direct;

import java.util.ArrayList;
import java.util.List;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.policy.dispatch.InFlightLoad;
import org.wisteriapost.policy.dispatch.RefusedRequest;
import org.wisteriapost.policy.dispatch.RunnerLoad;
import org.wisteriapost.policy.fleet.EntryInfo;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.protocol.wire.Frame;

import static org.hamcrest.MatcherAssert.assertThat;

class LoadReportsTests {

	private static final int TICKS_IN_10_S = 500;

	private final List<String> sent = new ArrayList<>();

	private final List<Frame> frames = new ArrayList<>();

	private final LoadReports reports = new LoadReports("hall-a", (peer, frame) -> {
		this.sent.add(peer);
		this.frames.add(frame);
	});

	private void tick(long tick, List<EntryInfo> others, List<RunnerLoad> loads) {
		this.reports.tick(tick, tick * 20_000_000, () -> others, () -> loads);
	}

	private static List<EntryInfo> entries(int near, int far) {
		List<EntryInfo> entries = new ArrayList<>();
		for (int i = 0; i < near + far; i++) {
			String place = (i < near) ? "hall-a" : "hall-b";
			entries.add(new EntryInfo(place + "-" + i, i, "", "", place, ""));
		}
		return entries;
	}

	private static List<RunnerLoad> at(InFlightLoad load) {
		return List.of(new RunnerLoad("runner", RunnerIncarnation.UNKNOWN, load));
	}

	private static List<RunnerLoad> busy(long tick) {
		return at(new InFlightLoad(1 + (int) (tick % 7), 0, 0));
	}

	// Load changes all the time. However many entries there are, one of them sends no
	// more than a bounded number of messages a second, or they would grow with the
	// square.
	@ParameterizedTest
	@CsvSource({ "1,4,15,45", "13,28,70,100", "100,200,70,110" })
	void messagesAreBoundedHoweverManyEntriesThereAre(int near, int far, int least, int most) {
		for (long tick = 0; tick < TICKS_IN_10_S; tick++) {
			tick(tick, entries(near, far), busy(tick));
		}
		assertThat(this.sent.size() / 10,
				Matchers.allOf(Matchers.greaterThanOrEqualTo(least), Matchers.lessThanOrEqualTo(most)));
	}

	@Test
	void entriesOfTheSamePlaceAreToldTwiceAsOften() {
		for (long tick = 0; tick < TICKS_IN_10_S; tick++) {
			tick(tick, entries(1, 1), busy(tick));
		}
		long near = this.sent.stream().filter((name) -> name.startsWith("hall-a")).count();
		assertThat(near, Matchers.equalTo(2 * (this.sent.size() - near)));
	}

	// A message was lost. What is in flight without any change is said again each second,
	// so that no entry goes on believing a runner empty.
	@Test
	void whatDoesNotChangeIsSaidAgainEachSecond() {
		for (long tick = 0; tick < TICKS_IN_10_S; tick++) {
			tick(tick, entries(1, 0), at(new InFlightLoad(3, 0, 0)));
		}
		assertThat(this.sent.size(), Matchers.allOf(Matchers.greaterThanOrEqualTo(9), Matchers.lessThanOrEqualTo(11)));
	}

	// A caller that was refused comes back to another entry, which must know it for a
	// late one. Every entry is told once, near and far, with the age that the request
	// has then.
	@Test
	void aRefusedRequestIsToldOnceToEveryEntry() {
		tick(0, entries(1, 1), List.of());
		this.reports.refused(new RefusedRequest(7, 0, 6_000_000_000L));
		for (long tick = 1; tick < 100; tick++) {
			tick(tick, entries(1, 1), List.of());
		}
		assertThat(this.sent, Matchers.containsInAnyOrder("hall-a-0", "hall-b-1"));
		assertThat(this.frames.getFirst().getLoadReport().getRefused(0),
				Matchers.equalTo(org.wisteriapost.protocol.wire.RefusedRequest.newBuilder()
					.setRequest(7)
					.setAskedMillis(LoadReports.NEAR_TICKS * 20)
					.setLeftMillis(6000 - LoadReports.NEAR_TICKS * 20)
					.build()));
	}

	@Test
	void whatHasEndedIsSaidOnce() {
		tick(0, entries(1, 0), at(new InFlightLoad(3, 0, 0)));
		tick(10, entries(1, 0), at(InFlightLoad.NONE));
		tick(20, entries(1, 0), at(InFlightLoad.NONE));
		assertThat(this.frames, Matchers.hasSize(2));
		assertThat(this.frames.getLast().getLoadReport().getLoads(0).getActive(), Matchers.equalTo(0));
	}

}
