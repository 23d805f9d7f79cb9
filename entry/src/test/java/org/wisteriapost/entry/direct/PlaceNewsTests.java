package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.apache.commons.rng.simple.RandomSource;
import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.wisteriapost.policy.dispatch.DispatchLimits;
import org.wisteriapost.policy.dispatch.Dispatcher;
import org.wisteriapost.policy.dispatch.EngineStatus;
import org.wisteriapost.policy.dispatch.InFlightLoad;
import org.wisteriapost.policy.dispatch.RunnerLoad;
import org.wisteriapost.policy.fleet.EntryInfo;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.protocol.wire.EngineState;
import org.wisteriapost.protocol.wire.Frame;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Three places of eight entries each before one engine a place, all linked as they would
 * be. What one place knows reaches every entry of the others over one link a place.
 */
class PlaceNewsTests {

	private static final int EACH = 8;

	private static final List<String> PLACES = List.of("hall-a", "hall-b", "hall-c");

	private static final long TICK_NANOS = 20_000_000;

	private final Map<String, Entry> entries = new HashMap<>();

	private final List<String> crossed = new ArrayList<>();

	private long ticks = 1;

	PlaceNewsTests() {
		List<EntryInfo> all = new ArrayList<>();
		for (String place : PLACES) {
			for (int i = 0; i < EACH; i++) {
				all.add(new EntryInfo(place + "-" + i, 1, "", "", place, ""));
			}
		}
		all.forEach((info) -> this.entries.put(info.name(), new Entry(info, all)));
	}

	private static String engine(String place) {
		return "10.0." + PLACES.indexOf(place) + ".1:80";
	}

	private void run(int count) {
		for (int i = 0; i < count; i++) {
			this.ticks++;
			this.entries.values().forEach((entry) -> entry.news.tick(this.ticks, this.ticks * TICK_NANOS));
		}
	}

	private void dead(String name) {
		this.entries.remove(name);
		this.entries.values().forEach((entry) -> entry.roster.linked(name, false, 0));
	}

	private Entry any(String place) {
		return this.entries.values()
			.stream()
			.filter((entry) -> entry.info.failureDomain().equals(place))
			.findFirst()
			.orElseThrow();
	}

	private void takes(Entry entry, String place, int active) {
		entry.dispatcher.updatePeerLoad(place + "-other",
				new RunnerLoad("engine-" + place, RunnerIncarnation.UNKNOWN, new InFlightLoad(active, 0, 0)),
				this.ticks * TICK_NANOS);
	}

	private void allOf(String place, int active) {
		this.entries.values()
			.stream()
			.filter((entry) -> entry.info.failureDomain().equals(place))
			.forEach((entry) -> takes(entry, place, active));
	}

	@Test
	void whatAPlaceHasReachesEveryOtherEntryAcrossOneLinkAPlace() {
		allOf("hall-a", 5);
		run(PlaceNews.TICKS);
		assertThat(this.crossed, Matchers.hasSize(PLACES.size() - 1));
		long knowing = this.entries.values()
			.stream()
			.filter((entry) -> !entry.info.failureDomain().equals("hall-a"))
			.filter((entry) -> entry.heardLoads > 0)
			.count();
		assertThat(knowing, Matchers.equalTo(2L * EACH));
	}

	// The entry that speaks for its place dies. Another speaks with its next report, so
	// that nobody elsewhere takes the engines there for idle.
	@Test
	void anotherSpeaksWhenTheSpeakerIsGone() {
		allOf("hall-a", 5);
		run(PlaceNews.TICKS);
		String speaker = this.crossed.getFirst().substring(0, this.crossed.getFirst().indexOf('>'));
		dead(speaker);
		this.crossed.clear();
		allOf("hall-a", 6);
		run(PlaceNews.TICKS);
		assertThat(this.crossed, Matchers.hasSize(PLACES.size() - 1));
		assertThat(this.crossed.getFirst(), Matchers.not(Matchers.startsWith(speaker + ">")));
	}

	// A message was lost between two places. All is said again within a second.
	@Test
	void whatDoesNotChangeIsSaidAgainEachSecond() {
		allOf("hall-a", 5);
		run(PlaceNews.TICKS);
		this.crossed.clear();
		for (int second = 0; second < 5; second++) {
			allOf("hall-a", 5);
			run(PlaceNews.FULL_TICKS);
		}
		assertThat(this.crossed.size(), Matchers.equalTo(5 * (PLACES.size() - 1)));
	}

	@Test
	void whatAnAgentSaysIsKnownElsewhere() {
		EngineStatus word = new EngineStatus(OptionalInt.of(2), true, OptionalLong.empty(), RunnerIncarnation.UNKNOWN);
		this.entries.values()
			.stream()
			.filter((entry) -> entry.info.failureDomain().equals("hall-b"))
			.forEach((entry) -> entry.dispatcher.updateEngineStatus(engine("hall-b"), word, 0));
		run(PlaceNews.TICKS);
		assertThat(any("hall-c").heardEngines.stream().map(EngineState::getAddress).toList(),
				Matchers.contains(engine("hall-b")));
		assertThat(any("hall-c").heardEngines.getFirst().getSwitching(), Matchers.equalTo(true));
	}

	// An entry speaks for a place that is not its own, or for ours: a mistake or a
	// message of another version. Nothing of it is taken, and it is not passed on.
	@Test
	void whoSpeaksForAPlaceThatIsNotItsOwnIsNotHeard() {
		Entry entry = any("hall-a");
		Frame wrong = Frame.newBuilder()
			.setPlaceState(org.wisteriapost.protocol.wire.PlaceState.newBuilder()
				.setPlace("hall-c")
				.addEngines(EngineState.newBuilder().setAddress(engine("hall-c"))))
			.build();
		assertThat(entry.news.heard("hall-b-0", wrong.getPlaceState(), 0), Matchers.empty());
		assertThat(entry.news.heard("nobody", wrong.getPlaceState(), 0), Matchers.empty());
		assertThat(this.crossed, Matchers.empty());
	}

	/** One entry with its beliefs. */
	private final class Entry {

		private final EntryInfo info;

		private final EntryRoster roster;

		private final Dispatcher dispatcher;

		private final PlaceNews news;

		private final List<EngineState> heardEngines = new ArrayList<>();

		private int heardLoads;

		private Entry(EntryInfo info, List<EntryInfo> all) {
			this.info = info;
			this.roster = new EntryRoster(info);
			all.forEach((one) -> this.roster.put(one, 1, 0));
			this.roster.toLink().forEach((one) -> this.roster.linked(one.name(), true, 0));
			this.dispatcher = Dispatcher.create(
					new DispatchLimits(info.failureDomain(), 0.2, 100, Duration.ofSeconds(10), Duration.ofSeconds(8)),
					RandomSource.XO_RO_SHI_RO_128_PP.create(1));
			PLACES.forEach((place) -> this.dispatcher.updateRunner(new RunnerInfo("engine-" + place, "lm",
					engine(place), place, 8, false, 0, Map.of("m", 1), 1, RunnerIncarnation.UNKNOWN), 0));
			this.news = new PlaceNews(info.failureDomain(), this.roster, this.dispatcher, this::send);
		}

		private void send(String peer, Frame frame) {
			Entry to = PlaceNewsTests.this.entries.get(peer);
			if (!to.info.failureDomain().equals(this.info.failureDomain())) {
				PlaceNewsTests.this.crossed.add(this.info.name() + ">" + peer);
			}
			to.heardLoads += frame.getPlaceState().getLoadsCount();
			to.heardEngines.addAll(to.news.heard(this.info.name(), frame.getPlaceState(), 0));
		}

	}

}
