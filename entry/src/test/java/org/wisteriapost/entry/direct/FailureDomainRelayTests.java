package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.apache.commons.rng.simple.RandomSource;
import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.policy.dispatch.DispatchLimits;
import org.wisteriapost.policy.dispatch.Dispatcher;
import org.wisteriapost.policy.dispatch.EngineStatus;
import org.wisteriapost.policy.dispatch.InFlightLoad;
import org.wisteriapost.policy.dispatch.LoadReportInterval;
import org.wisteriapost.policy.dispatch.RunnerLoad;
import org.wisteriapost.policy.fleet.EntryInfo;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.policy.pace.PaceStatement;
import org.wisteriapost.protocol.wire.EngineState;
import org.wisteriapost.protocol.wire.Frame;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Three failure domains with eight entries each and one engine each. The state of one
 * reaches every entry of the others over one link per failure domain.
 */
class FailureDomainRelayTests {

	private static final int ENTRIES_PER_FAILURE_DOMAIN = 8;

	private static final List<String> FAILURE_DOMAINS = List.of("hall-a", "hall-b", "hall-c");

	private static final int REPORT_INTERVAL_TICKS = LoadReportInterval.relayTicks(ENTRIES_PER_FAILURE_DOMAIN - 1);

	private static final long TICK_NANOS = 20_000_000;

	private final Map<String, Entry> entries = new HashMap<>();

	private final List<String> crossDomainFrames = new ArrayList<>();

	private long ticks = 1;

	FailureDomainRelayTests() {
		List<EntryInfo> all = new ArrayList<>();
		for (String failureDomain : FAILURE_DOMAINS) {
			for (int i = 0; i < ENTRIES_PER_FAILURE_DOMAIN; i++) {
				all.add(new EntryInfo(failureDomain + "-" + i, 1, "", "", failureDomain, ""));
			}
		}
		all.forEach((info) -> this.entries.put(info.name(), new Entry(info, all)));
	}

	private static String engine(String failureDomain) {
		return "10.0." + FAILURE_DOMAINS.indexOf(failureDomain) + ".1:80";
	}

	private void run(int count) {
		for (int i = 0; i < count; i++) {
			this.ticks++;
			this.entries.values().forEach((entry) -> entry.relay.tick(this.ticks, this.ticks * TICK_NANOS));
		}
	}

	private void kill(String name) {
		this.entries.remove(name);
		this.entries.values().forEach((entry) -> entry.registry.linkChanged(name, false, 0));
	}

	private Entry anyEntryOf(String failureDomain) {
		return this.entries.values()
			.stream()
			.filter((entry) -> entry.info.failureDomain().equals(failureDomain))
			.findFirst()
			.orElseThrow();
	}

	private void setLoad(Entry entry, String failureDomain, int active) {
		entry.dispatcher.peerLoads()
			.update(failureDomain + "-other", new RunnerLoad("engine-" + failureDomain, RunnerIncarnation.UNKNOWN,
					new InFlightLoad(active, 0, 0)), this.ticks * TICK_NANOS);
	}

	private void setLoadInAll(String failureDomain, int active) {
		this.entries.values()
			.stream()
			.filter((entry) -> entry.info.failureDomain().equals(failureDomain))
			.forEach((entry) -> setLoad(entry, failureDomain, active));
	}

	@Test
	void loadCrossesOneLinkPerFailureDomain() {
		setLoadInAll("hall-a", 5);
		run(REPORT_INTERVAL_TICKS);
		assertThat(this.crossDomainFrames, Matchers.hasSize(FAILURE_DOMAINS.size() - 1));
		long informed = this.entries.values()
			.stream()
			.filter((entry) -> !entry.info.failureDomain().equals("hall-a"))
			.filter((entry) -> entry.receivedLoads > 0)
			.count();
		assertThat(informed, Matchers.equalTo(2L * ENTRIES_PER_FAILURE_DOMAIN));
	}

	// If the relay dies, another entry takes over with its next report. Otherwise the
	// engines there would seem idle elsewhere.
	@Test
	void anotherEntryBecomesRelayWhenRelayDies() {
		setLoadInAll("hall-a", 5);
		run(REPORT_INTERVAL_TICKS);
		String relay = this.crossDomainFrames.getFirst().substring(0, this.crossDomainFrames.getFirst().indexOf('>'));
		kill(relay);
		this.crossDomainFrames.clear();
		setLoadInAll("hall-a", 6);
		run(REPORT_INTERVAL_TICKS);
		assertThat(this.crossDomainFrames, Matchers.hasSize(FAILURE_DOMAINS.size() - 1));
		assertThat(this.crossDomainFrames.getFirst(), Matchers.not(Matchers.startsWith(relay + ">")));
	}

	// State that was lost between failure domains is repeated within a second.
	@Test
	void unchangedLoadIsRepeatedEachSecond() {
		setLoadInAll("hall-a", 5);
		run(REPORT_INTERVAL_TICKS);
		this.crossDomainFrames.clear();
		for (int second = 0; second < 5; second++) {
			setLoadInAll("hall-a", 5);
			run(FailureDomainRelay.FULL_REPORT_INTERVAL_TICKS);
		}
		assertThat(this.crossDomainFrames.size(), Matchers.equalTo(5 * (FAILURE_DOMAINS.size() - 1)));
	}

	@Test
	void engineStatusReachesOtherFailureDomains() {
		EngineStatus status = new EngineStatus(OptionalInt.of(2), true, OptionalLong.empty(),
				RunnerIncarnation.UNKNOWN);
		this.entries.values()
			.stream()
			.filter((entry) -> entry.info.failureDomain().equals("hall-b"))
			.forEach((entry) -> entry.dispatcher.updateEngineStatus(engine("hall-b"), status, 0));
		run(REPORT_INTERVAL_TICKS);
		assertThat(anyEntryOf("hall-c").receivedEngines.stream().map(EngineState::getAddress).toList(),
				Matchers.contains(engine("hall-b")));
		assertThat(anyEntryOf("hall-c").receivedEngines.getFirst().getSwitching(), Matchers.equalTo(true));
	}

	// Guards against entries elsewhere that do not learn of a slow engine, and against a
	// statement that grows younger or is repeated after its time on the way.
	@ParameterizedTest
	@CsvSource({ "0,250", "700,250", "1000,0" })
	void paceReachesOtherFailureDomainsWithItsAge(long ageMillis, int expectedPercent) {
		long relayedNanos = (this.ticks + 1) * TICK_NANOS;
		setPace("hall-b", relayedNanos - ageMillis * 1_000_000);
		run(1);
		EngineState received = anyEntryOf("hall-c").receivedEngines.getLast();
		assertThat(received.getPacePercent(), Matchers.equalTo(expectedPercent));
		assertThat((long) received.getPaceAgeMillis(), Matchers.equalTo((expectedPercent > 0) ? ageMillis : 0));
	}

	// Guards against more frames between failure domains than the relay's interval
	// allows, however often agents state a pace.
	@Test
	void changesOfThePaceKeepTheRelayInterval() {
		run(REPORT_INTERVAL_TICKS);
		this.crossDomainFrames.clear();
		for (int i = 0; i < 10 * REPORT_INTERVAL_TICKS; i++) {
			setPace("hall-b", this.ticks * TICK_NANOS);
			run(1);
		}
		assertThat(this.crossDomainFrames.size(),
				Matchers.both(Matchers.greaterThan(0)).and(Matchers.lessThanOrEqualTo(10 * 2 + 4)));
	}

	private void setPace(String failureDomain, long readNanos) {
		PaceStatement pace = new PaceStatement(2.5, readNanos, RunnerIncarnation.UNKNOWN);
		EngineStatus status = new EngineStatus(OptionalInt.of(2), false, OptionalLong.empty(),
				RunnerIncarnation.UNKNOWN, Optional.of(pace));
		this.entries.values()
			.stream()
			.filter((entry) -> entry.info.failureDomain().equals(failureDomain))
			.forEach((entry) -> entry.dispatcher.updateEngineStatus(engine(failureDomain), status, readNanos));
	}

	// State sent by an entry of another failure domain than the one described, or by an
	// unknown entry, is neither applied nor forwarded.
	@Test
	void stateOfForeignFailureDomainIsIgnored() {
		Entry entry = anyEntryOf("hall-a");
		Frame wrong = Frame.newBuilder()
			.setPlaceState(org.wisteriapost.protocol.wire.PlaceState.newBuilder()
				.setPlace("hall-c")
				.addEngines(EngineState.newBuilder().setAddress(engine("hall-c"))))
			.build();
		assertThat(entry.relay.stateReceived("hall-b-0", wrong.getPlaceState(), 0), Matchers.empty());
		assertThat(entry.relay.stateReceived("nobody", wrong.getPlaceState(), 0), Matchers.empty());
		assertThat(this.crossDomainFrames, Matchers.empty());
	}

	/** An entry with its registry and dispatcher. */
	private final class Entry {

		private final EntryInfo info;

		private final EntryRegistry registry;

		private final Dispatcher dispatcher;

		private final FailureDomainRelay relay;

		private final List<EngineState> receivedEngines = new ArrayList<>();

		private int receivedLoads;

		private Entry(EntryInfo info, List<EntryInfo> all) {
			this.info = info;
			this.registry = new EntryRegistry(info);
			all.forEach((one) -> this.registry.put(one, 1, 0));
			this.registry.linkTargets().forEach((one) -> this.registry.linkChanged(one.name(), true, 0));
			this.dispatcher = Dispatcher.create(
					new DispatchLimits(info.failureDomain(), 0.2, 100, Duration.ofSeconds(10), Duration.ofSeconds(8)),
					RandomSource.XO_RO_SHI_RO_128_PP.create(1));
			FAILURE_DOMAINS
				.forEach(
						(failureDomain) -> this.dispatcher
							.updateRunner(
									new RunnerInfo("engine-" + failureDomain, "lm", engine(failureDomain),
											failureDomain, 8, false, 0, Map.of("m", 1), 1, RunnerIncarnation.UNKNOWN),
									0));
			this.relay = new FailureDomainRelay(info.failureDomain(), this.registry, this.dispatcher, this::send);
		}

		private void send(String peer, Frame frame) {
			Entry to = FailureDomainRelayTests.this.entries.get(peer);
			if (!to.info.failureDomain().equals(this.info.failureDomain())) {
				FailureDomainRelayTests.this.crossDomainFrames.add(this.info.name() + ">" + peer);
			}
			to.receivedLoads += frame.getPlaceState().getLoadsCount();
			to.receivedEngines.addAll(to.relay.stateReceived(this.info.name(), frame.getPlaceState(), 0));
		}

	}

}
