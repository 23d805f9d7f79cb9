package org.wisteriapost.policy.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.stream.IntStream;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.policy.pace.PaceStatement;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Two idle engines, of which one states that it is slower than declared.
 */
class StatedPaceTests {

	private static final RunnerIncarnation FIRST = RunnerIncarnation.startedAt(1000);

	private static final RunnerIncarnation SECOND = RunnerIncarnation.startedAt(2000);

	private final DispatcherHarness harness = new DispatcherHarness();

	private static RunnerInfo engine(String id, int host, RunnerIncarnation incarnation, long revision) {
		return new RunnerInfo(id, "lm-notice", "10.0.0." + host + ":80", "hall-a", 16, false, 0, Map.of("lm", 1),
				revision, incarnation);
	}

	@BeforeEach
	void register() {
		this.harness.register(engine("e1", 1, FIRST, 1), engine("e2", 2, FIRST, 1));
	}

	private void state(Optional<Double> pace, RunnerIncarnation incarnation) {
		Optional<PaceStatement> statement = pace
			.map((factor) -> new PaceStatement(factor, this.harness.nowNanos, incarnation));
		this.harness.dispatcher.updateEngineStatus("10.0.0.1:80",
				new EngineStatus(OptionalInt.of(1), false, OptionalLong.empty(), incarnation, statement),
				this.harness.nowNanos);
	}

	// Each request ends at once, so that both engines stay idle.
	private List<String> sendEight() {
		return IntStream.range(0, 8).mapToObj((i) -> {
			Job job = this.harness.arrive(DispatcherHarness.STREAM);
			String effect = this.harness.effectNames().getFirst();
			this.harness.dispatcher.callerDisconnected(job, this.harness.nowNanos);
			this.harness.effectNames();
			return effect;
		}).toList();
	}

	// Guards against requests to an engine in a spell while another is as fast as
	// declared, and against an agent that falls silent: its word counts for a second.
	@Test
	void slowEngineIsAvoidedUntilItsStatementIsASecondOld() {
		state(Optional.of(2.5), FIRST);
		this.harness.advance(999);
		assertThat(sendEight(), Matchers.everyItem(Matchers.equalTo("Send:e2")));
		this.harness.advance(1);
		assertThat(sendEight(), Matchers.hasItem("Send:e1"));
	}

	@Test
	void returnToNormalCountsAtOnce() {
		state(Optional.of(2.5), FIRST);
		state(Optional.empty(), FIRST);
		assertThat(sendEight(), Matchers.hasItem("Send:e1"));
	}

	// Guards against a slow engine that gets nothing, and callers that are refused, while
	// there is no faster one.
	@Test
	void slowEngineIsUsedWhenThereIsNoOther() {
		this.harness.dispatcher.departures().registrationRemoved("e2", this.harness.nowNanos);
		state(Optional.of(2.5), FIRST);
		assertThat(sendEight(), Matchers.everyItem(Matchers.equalTo("Send:e1")));
	}

	// Guards against a statement of a former incarnation that holds for the next one,
	// under the same id, and one that arrives late.
	@Test
	void statementOfAFormerIncarnationDoesNotCount() {
		state(Optional.of(2.5), FIRST);
		this.harness.register(engine("e1", 1, SECOND, 2));
		assertThat(sendEight(), Matchers.hasItem("Send:e1"));
		state(Optional.of(2.5), FIRST);
		assertThat(sendEight(), Matchers.hasItem("Send:e1"));
		state(Optional.of(2.5), SECOND);
		assertThat(sendEight(), Matchers.everyItem(Matchers.equalTo("Send:e2")));
	}

	// Guards against slowness that counts twice, as stated and as learned, and that is
	// still counted when the spell is over.
	@Test
	void statedSlownessIsNotLearned() {
		this.harness.dispatcher.departures().registrationRemoved("e2", this.harness.nowNanos);
		Job before = this.harness.arrive(DispatcherHarness.STREAM);
		answer(before, before.predictedMillis());
		for (int i = 0; i < 20; i++) {
			state(Optional.of(2.5), FIRST);
			Job job = this.harness.arrive(DispatcherHarness.STREAM);
			assertThat(job.statedPace(), Matchers.equalTo(2.5));
			answer(job, 2.5 * before.predictedMillis());
		}
		state(Optional.empty(), FIRST);
		double after = this.harness.arrive(DispatcherHarness.STREAM).predictedMillis();
		assertThat(after, Matchers.closeTo(before.predictedMillis(), 0.1 * before.predictedMillis()));
	}

	private void answer(Job job, double millis) {
		this.harness.nowNanos += (long) (millis * DispatcherHarness.NANOS_PER_MILLI);
		this.harness.firstEvent(job);
		this.harness.ended(job, DispatchOutcome.DONE);
	}

	// Guards against statements of the pace that end the backoff of a runner with other
	// weights than expected.
	@Test
	void paceDoesNotEndABackoff() {
		this.harness.dispatcher.departures().registrationRemoved("e2", this.harness.nowNanos);
		state(Optional.empty(), FIRST);
		Job job = this.harness.arrive(DispatcherHarness.STREAM_ONCE);
		this.harness.ended(job, DispatchOutcome.MISDIRECTED);
		this.harness.effectNames();
		state(Optional.of(1.5), FIRST);
		this.harness.arrive(DispatcherHarness.STREAM_ONCE);
		assertThat(this.harness.effectNames(), Matchers.not(Matchers.hasItem("Send:e1")));
	}

}
