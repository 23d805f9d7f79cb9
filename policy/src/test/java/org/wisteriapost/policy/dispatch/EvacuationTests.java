package org.wisteriapost.policy.dispatch;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.policy.fleet.RunnerInfo;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Requests while failure domains are evacuated.
 */
class EvacuationTests {

	private static final RunnerInfo NEAR = DispatcherHarness.engineIn("hall-a", "e1");

	private static final RunnerInfo FAR = DispatcherHarness.engineIn("hall-b", "e2");

	private final DispatcherHarness harness = new DispatcherHarness();

	private void evacuate(String... failureDomains) {
		Map<String, Long> revisions = Arrays.stream(failureDomains)
			.collect(Collectors.toMap((name) -> name, (name) -> 7L));
		this.harness.dispatcher.evacuated().replaceAll(revisions, this.harness.nowNanos);
	}

	private List<String> sent(int requests) {
		IntStream.range(0, requests).forEach((i) -> this.harness.arrive(DispatcherHarness.STREAM));
		return this.harness.effectNames();
	}

	// Guards against first sends to an evacuated domain, and against runners that stay
	// unused after its end.
	@Test
	void firstSendsAvoidDomainUntilItsEnd() {
		this.harness.register(NEAR, FAR);
		evacuate("hall-a");
		assertThat(sent(6), Matchers.everyItem(Matchers.equalTo("Send:e2")));
		evacuate();
		assertThat(sent(6), Matchers.hasItem("Send:e1"));
	}

	// Guards against retries there, which are placed by the same rules as first sends
	// only while eligibility is asked for both.
	@ParameterizedTest
	@EnumSource(value = DispatchOutcome.class, names = { "FULL", "BROKEN", "NOT_SENT", "MISDIRECTED" })
	void retriesAvoidDomain(DispatchOutcome outcome) {
		this.harness.register(FAR, DispatcherHarness.engineIn("hall-c", "e3"));
		Job job = this.harness.arrive(DispatcherHarness.STREAM);
		String first = this.harness.effectNames().getFirst();
		this.harness.register(NEAR);
		evacuate("hall-a");
		this.harness.ended(job, outcome);
		this.harness.advance(50);
		assertThat(this.harness.effectNames(), Matchers.contains(first.equals("Send:e2") ? "Send:e3" : "Send:e2"));
	}

	// Guards against a resumption there of a stream that broke off elsewhere.
	@Test
	void resumptionAvoidsDomain() {
		this.harness.register(FAR);
		Job job = this.harness.arrive(DispatcherHarness.STREAM);
		this.harness.firstEvent(job);
		this.harness.register(NEAR, DispatcherHarness.engineIn("hall-c", "e3"));
		evacuate("hall-a");
		this.harness.drain();
		this.harness.ended(job, DispatchOutcome.BROKEN);
		assertThat(this.harness.effectNames(), Matchers.contains("Send:e3"));
	}

	// Guards against running requests that are cancelled when an evacuation starts.
	@Test
	void runningRequestsEndNormally() {
		this.harness.register(NEAR);
		Job job = this.harness.arrive(DispatcherHarness.STREAM);
		this.harness.firstEvent(job);
		this.harness.drain();
		evacuate("hall-a");
		this.harness.advance(500);
		this.harness.ended(job, DispatchOutcome.DONE);
		assertThat(this.harness.effectNames(), Matchers.empty());
	}

	// Two domains are evacuated at once.
	@Test
	void requestsUseTheOnlyDomainLeft() {
		this.harness.register(NEAR, FAR, DispatcherHarness.engineIn("hall-c", "e3"));
		evacuate("hall-a", "hall-c");
		assertThat(sent(6), Matchers.everyItem(Matchers.equalTo("Send:e2")));
	}

	// All domains are evacuated. Guards against callers that wait in vain.
	@Test
	void requestsAreRefusedAtOnceIfAllDomainsAreEvacuated() {
		this.harness.register(NEAR, FAR);
		evacuate("hall-a", "hall-b");
		assertThat(sent(2), Matchers.contains("Refuse:no-usable-runner", "Refuse:no-usable-runner"));
		assertThat(this.harness.dispatcher.evacuated().includesAll("lm-notice"), Matchers.equalTo(true));
		assertThat(this.harness.dispatcher.evacuated().includesAll("registry-api"), Matchers.equalTo(false));
	}

	// Requests wait while the only runner is full. Guards against requests that wait on
	// after the set has changed, in either direction.
	@Test
	void waitingRequestsAreDecidedAgainAtOnce() {
		RunnerInfo full = DispatcherHarness.plain("r1");
		RunnerInfo other = new RunnerInfo("r2", "registry-api", "10.0.1.2:80", "hall-b", 6, false, 0, Map.of(), 0,
				full.incarnation());
		evacuate("hall-b");
		this.harness.register(full, other);
		IntStream.range(0, 12).forEach((i) -> this.harness.arrive(DispatcherHarness.LOOKUP));
		assertThat(this.harness.effectNames(), Matchers.hasSize(10));
		evacuate();
		assertThat(this.harness.effectNames(), Matchers.contains("Send:r2", "Send:r2"));
	}

	// Guards against a promise to retry after the rest of runners that are evacuated,
	// and against a missing one when all others rest.
	@Test
	void evacuatedRunnersDoNotHideThatAllOthersRest() {
		this.harness.register(NEAR, FAR);
		evacuate("hall-a");
		this.harness.dispatcher.departures().restStated(FAR, Duration.ofSeconds(5), this.harness.nowNanos);
		assertThat(sent(1), Matchers.contains("Refuse:runner-resting"));
	}

	// An entry considers a few remote runners only. With its own domain evacuated it
	// would refuse requests while most of the others have free slots.
	@Test
	void allRemainingRunnersAreUsedWhenTheOwnDomainIsEvacuated() {
		IntStream.range(0, 39)
			.forEach((i) -> this.harness.register(DispatcherHarness.engineIn("hall-" + (char) ('a' + i % 3), "e" + i)));
		evacuate("hall-a");
		IntStream.range(0, 300).forEach((i) -> this.harness.arrive(DispatcherHarness.STREAM));
		long used = this.harness.effectNames().stream().filter((name) -> name.startsWith("Send")).distinct().count();
		assertThat(used, Matchers.greaterThan(8L));
	}

	// Engines in the domain keep loading weights, and their status is used at the end.
	@Test
	void engineStatusIsKeptDuringEvacuation() {
		this.harness.register(NEAR);
		evacuate("hall-a");
		this.harness.dispatcher.updateEngineStatus(NEAR.address(),
				new EngineStatus(OptionalInt.of(2), false, OptionalLong.empty(), RunnerIncarnation.UNKNOWN),
				this.harness.nowNanos);
		evacuate();
		assertThat(sent(1), Matchers.contains("Send:e1"));
	}

}
