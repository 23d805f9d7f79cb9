package org.wisteriapost.policy.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.hamcrest.Matchers;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.policy.fleet.RunnerInfo;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * A runner that sends nothing for some time and then goes on.
 */
class SilentRunnerTests {

	private static final long TICK_MILLIS = 20;

	private static final long REQUEST_MILLIS = 6000;

	private static final List<Integer> SILENCE_MILLIS = List.of(1100, 1500, 2000, 5000);

	private static final int MAX_EJECTION_MILLIS = 3200;

	private final DispatcherHarness harness = new DispatcherHarness();

	static Stream<Arguments> silences() {
		return Stream.of(Request.values())
			.flatMap((request) -> Stream.of(Other.values())
				.flatMap((other) -> SILENCE_MILLIS.stream().map((millis) -> Arguments.of(request, other, millis))));
	}

	// Guards against answers that the entry ends because their runner is silent for a
	// time, while no other runner can give them.
	@ParameterizedTest(name = "{0}, {1}, {2} ms")
	@MethodSource("silences")
	void answerOfRunnerThatGoesOnIsComplete(Request request, Other other, int silenceMillis) {
		other.prepare(this.harness, request);
		Job job = arrive(request);
		other.sent(this.harness, request);
		remainSilent(job, other, request, silenceMillis);
		assertThat("the first dispatch stays open", this.harness.open(job), Matchers.hasKey(1));
		if (!other.canBeTried(silenceMillis)) {
			assertThat("no second dispatch", this.harness.open(job), Matchers.aMapWithSize(1));
		}
		if (request != Request.PLAIN) {
			IntStream.range(0, 3).forEach((i) -> this.harness.event(job, 1));
		}
		this.harness.ended(job, 1, DispatchOutcome.DONE);
		assertThat(this.harness.effectNames(), Matchers.not(endings()));
		assertThat(this.harness.dispatcher.inProgress(), Matchers.equalTo(0));
		assertThat("no dispatch is left", this.harness.open(job), Matchers.anEmptyMap());
		assertThat(this.harness.dispatcher.fleetView().ownLoad().toString(), loadOf(this.harness),
				Matchers.everyItem(Matchers.equalTo(InFlightLoad.NONE)));
	}

	// Guards against a request that ends at once when its last dispatch is lost although
	// the runner that was silent before still has it.
	@ParameterizedTest
	@EnumSource
	void requestEndsWhenNoDispatchIsLeft(Request request) {
		Other.BREAKS_OFF.prepare(this.harness, request);
		Job job = arrive(request);
		remainSilent(job, Other.BREAKS_OFF, request, 2000);
		assertThat(this.harness.effectNames(), Matchers.not(endings()));
		this.harness.ended(job, 1, DispatchOutcome.DISCONNECTED);
		assertThat(this.harness.effectNames(), Matchers.contains("Fail:run-broken"));
		assertThat(loadOf(this.harness), Matchers.everyItem(Matchers.equalTo(InFlightLoad.NONE)));
	}

	private static List<InFlightLoad> loadOf(DispatcherHarness harness) {
		return harness.dispatcher.fleetView().ownLoad().stream().map(RunnerLoad::load).toList();
	}

	private static org.hamcrest.Matcher<Iterable<? super String>> endings() {
		return Matchers
			.hasItem(Matchers.anyOf(Matchers.startsWith("Fail"), Matchers.startsWith("Refuse"), Matchers.is("PassOn")));
	}

	private Job arrive(Request request) {
		Job job = this.harness.arrive(request.plain() ? DispatcherHarness.LOOKUP : DispatcherHarness.STREAM, 1000,
				REQUEST_MILLIS);
		assertThat(this.harness.open(job), Matchers.aMapWithSize(1));
		if (request == Request.BEGUN_STREAM) {
			this.harness.advance(TICK_MILLIS);
			this.harness.event(job, 1);
		}
		this.harness.effectNames();
		return job;
	}

	private void remainSilent(Job job, Other other, Request request, int millis) {
		for (int elapsed = 0; elapsed < millis; elapsed += (int) TICK_MILLIS) {
			this.harness.advance(TICK_MILLIS);
			other.tick(this.harness, request);
			List<Integer> later = this.harness.open(job).keySet().stream().filter((number) -> number > 1).toList();
			for (int dispatch : later) {
				if (other.outcome != null) {
					this.harness.ended(job, dispatch, other.outcome);
				}
			}
		}
	}

	private static RunnerInfo runner(Request request, String id, boolean draining) {
		RunnerInfo info = request.plain() ? DispatcherHarness.plain(id) : DispatcherHarness.engine(id);
		return new RunnerInfo(id, info.service(), info.address(), info.failureDomain(), info.slots(), draining, 0,
				info.weightsVersions(), 0, RunnerIncarnation.UNKNOWN);
	}

	/** A request whose runner falls silent. */
	enum Request {

		BEGUN_STREAM, STREAM_BEFORE_FIRST_EVENT, PLAIN;

		boolean plain() {
			return this == PLAIN;
		}

	}

	/** The other runner of the service, which does not give the answer. */
	enum Other {

		ABSENT(null), FULL(null), SILENT_TOO(null), ANSWERS_FULL(DispatchOutcome.FULL),
		REFUSES_CONNECTIONS(DispatchOutcome.NOT_SENT), CLOSES_CONNECTION(DispatchOutcome.DISCONNECTED),
		BREAKS_OFF(DispatchOutcome.BROKEN), IS_ANOTHER_RUNNER(DispatchOutcome.MISDIRECTED),
		ANSWERS_ERROR(DispatchOutcome.ERROR), OUT_OF_RETRY_BUDGET(null), RESTING(null), EJECTED(null), DRAINING(null);

		// How each dispatch to it ends, if it does.
		private final DispatchOutcome outcome;

		Other(DispatchOutcome outcome) {
			this.outcome = outcome;
		}

		private boolean canBeTried(int silenceMillis) {
			boolean ejectionOver = this == EJECTED && silenceMillis >= MAX_EJECTION_MILLIS;
			return this == SILENT_TOO || this.outcome != null || ejectionOver;
		}

		private void prepare(DispatcherHarness harness, Request request) {
			if (this == EJECTED) {
				harness.register(runner(request, "other", false));
				for (int i = 0; i < 5; i++) {
					harness.advance(7000);
					harness.ended(harness.arrive(request.plain() ? DispatcherHarness.LOOKUP : DispatcherHarness.STREAM),
							DispatchOutcome.NOT_SENT);
					harness.advance(100);
				}
			}
			harness.register(runner(request, "first", false));
			if (this == OUT_OF_RETRY_BUDGET) {
				harness.register(runner(request, "other", false));
				useUpRetryBudget(harness, request);
			}
			harness.effectNames();
		}

		// The budget of one entry has 35 retries, and 3.5 more a second.
		private static void useUpRetryBudget(DispatcherHarness harness, Request request) {
			boolean retried = true;
			for (int i = 0; i < 70 || !retried; i++) {
				Job job = harness.arrive(request.plain() ? DispatcherHarness.LOOKUP : DispatcherHarness.STREAM);
				harness.ended(job, DispatchOutcome.FULL);
				retried = !job.finished;
				harness.advance(50);
				if (!harness.open(job).isEmpty()) {
					harness.ended(job, DispatchOutcome.DONE);
				}
			}
		}

		// The other runner appears once the request is at the first one.
		private void sent(DispatcherHarness harness, Request request) {
			if (this == OUT_OF_RETRY_BUDGET) {
				// The share of this entry stays used up.
				harness.dispatcher.updateEntryCount(EntryCount.unpartitioned(100));
			}
			if (this == ABSENT || this == EJECTED || this == OUT_OF_RETRY_BUDGET) {
				return;
			}
			RunnerInfo other = runner(request, "other", this == DRAINING);
			harness.register(other);
			if (this == RESTING) {
				harness.dispatcher.departures().restStated(other, Duration.ofSeconds(20), harness.nowNanos);
			}
			tick(harness, request);
		}

		private void tick(DispatcherHarness harness, Request request) {
			if (this == FULL) {
				harness.reportPeerLoad("other", new InFlightLoad(40, 20, 20_000));
			}
		}

	}

}
