package org.wisteriapost.policy.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.policy.fleet.TargetWeights;

import static org.hamcrest.MatcherAssert.assertThat;

class RunnerPathTests {

	private static final String DELAYED = "delayed";

	private static final long STEP_MILLIS = 20;

	private static final long ARRIVAL_STEPS = 2;

	// The first unanswered request has exceeded its latency target.
	private static final long DETECTION_MILLIS = 600;

	private static final long FIRST_EVENT_MILLIS = 160;

	private static final long ANSWER_MILLIS = 600;

	private static final long CONNECT_MILLIS = 200;

	private static final long FIRST_STREAM_END_MILLIS = 2200;

	// Failure: the link to one engine delays requests by seconds, and cancelled ones are
	// still executed there. Each earlier stream that ended was taken as proof that the
	// path was open and sent all requests there. One unanswered request must be enough
	// to probe the path with one request at a time.
	@Test
	void delayingPathGetsOneRequestAtATime() {
		Entry entry = new Entry(DELAYED);
		entry.startStreams(4);
		entry.harness.register(DispatcherHarness.engine("a"), DispatcherHarness.engine("c"));
		entry.run(4000);
		assertThat(entry.countSent(DELAYED, 0, 500), Matchers.greaterThan(0L));
		assertThat("concurrent requests", entry.maxConcurrentDelayed, Matchers.lessThanOrEqualTo(1L));
		assertThat("sent without a new connection", entry.countSentWithoutProbe(), Matchers.equalTo(0L));
		assertThat(entry.countSent("a", 600, 4000), Matchers.greaterThan(20L));
	}

	// Failure: an entry that has not sent anything recently does not know that the path
	// delays requests, and its request starts after the target version took effect.
	@Test
	void requestWithStartDeadlineRequiresConfirmedPath() {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.engine("a"));
		harness.dispatcher.targetWeightsPublished(new TargetWeights("lm", 1), true, harness.nowNanos);
		harness.advance(10_000);
		assertThat(nextNeedsNewConnection(harness), Matchers.contains(false));
		harness.advance(2000);
		harness.dispatcher.targetWeightsPublished(new TargetWeights("lm", 2), false, harness.nowNanos);
		harness.advance(3000);
		assertThat(nextNeedsNewConnection(harness), Matchers.contains(true));
		assertThat("path recently confirmed", nextNeedsNewConnection(harness), Matchers.contains(false));
		harness.advance(1000).blockConnections("a");
		Job job = harness.arrive(DispatcherHarness.STREAM_ONCE);
		harness.advance(200);
		harness.ended(job, DispatchOutcome.NOT_SENT);
		harness.advance(100);
		assertThat(harness.effectNames(), Matchers.contains("Send:a", "Refuse:no-usable-runner"));
	}

	// A request that follows an overdue one uses a new connection, and requests that
	// arrive during the probe are sent elsewhere.
	@Test
	void requestsAreSentElsewhereWhilePathIsProbed() {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.engine("a"));
		harness.arrive(DispatcherHarness.STREAM);
		harness.blockConnections("a").advance(450);
		harness.drain();
		harness.arrive(DispatcherHarness.STREAM);
		assertThat(harness.drain()
			.stream()
			.map((effect) -> ((DispatchEffect.Send) effect).requiresNewConnection())
			.toList(), Matchers.contains(true));
		harness.register(DispatcherHarness.engine("b"));
		for (int i = 0; i < 6; i++) {
			harness.arrive(DispatcherHarness.STREAM, 100, 6000);
		}
		assertThat(harness.effectNames(), Matchers.everyItem(Matchers.equalTo("Send:b")));
	}

	// Failure: a connection can be established, but requests may still be delayed as
	// long as the unanswered ones, which is past their start deadline.
	@Test
	void requestThatMayBeDelayedPastStartDeadlineIsNotSent() {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.engine("a"));
		harness.dispatcher.targetWeightsPublished(new TargetWeights("lm", 1), true, harness.nowNanos);
		harness.advance(10_000);
		harness.dispatcher.targetWeightsPublished(new TargetWeights("lm", 2), false, harness.nowNanos);
		harness.advance(2000);
		harness.dispatcher.callerDisconnected(harness.arrive(DispatcherHarness.STREAM), harness.nowNanos);
		harness.advance(1500);
		assertThat("enough time before the deadline", nextNeedsNewConnection(harness, false), Matchers.contains(true));
		harness.advance(1200);
		harness.drain();
		harness.arrive(DispatcherHarness.STREAM);
		harness.advance(100);
		assertThat(harness.effectNames(), Matchers.contains("Refuse:no-usable-runner"));
	}

	// Failure: connections to an engine can be established because the reverse path is
	// free, but requests are delayed past their start deadline. Missing echoes of the
	// agent on the same VM reveal this.
	@Test
	void nothingIsSentWhileEchoesAreMissing() {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.engine("a"),
				DispatcherHarness.engine("b"));
		harness.dispatcher.targetWeightsPublished(new TargetWeights("lm", 1), true, harness.nowNanos);
		harness.advance(10_000);
		harness.dispatcher.targetWeightsPublished(new TargetWeights("lm", 2), false, harness.nowNanos);
		advanceWithEchoes(harness, 1000, "a", "b");
		harness.drain();
		harness.arrive(DispatcherHarness.STREAM, 100, 6000);
		harness.arrive(DispatcherHarness.STREAM, 100, 6000);
		assertThat(harness.effectNames(), Matchers.containsInAnyOrder("Send:a", "Send:b"));
		advanceWithEchoes(harness, 700, "b");
		assertThat(pathChanges(harness), Matchers.contains("blocked " + DispatcherHarness.engine("a").address()));
		for (int i = 0; i < 6; i++) {
			harness.arrive(DispatcherHarness.STREAM, 100, 6000);
		}
		assertThat(harness.effectNames(), Matchers.everyItem(Matchers.equalTo("Send:b")));
		assertThat(pathChanges(harness), Matchers.empty());
		advanceWithEchoes(harness, 200, "a", "b");
		assertThat(pathChanges(harness), Matchers.contains("open " + DispatcherHarness.engine("a").address()));
		for (int i = 0; i < 6; i++) {
			harness.arrive(DispatcherHarness.STREAM, 100, 6000);
		}
		assertThat("open again", harness.effectNames(), Matchers.hasItem("Send:a"));
	}

	// An echo shows that the path is open although the engine is slow.
	@Test
	void echoClearsSuspicion() {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.engine("a"));
		harness.arrive(DispatcherHarness.STREAM);
		harness.advance(450);
		assertThat(harness.dispatcher.runnerPaths().runnersToProbe(harness.nowNanos),
				Matchers.contains(DispatcherHarness.engine("a").address()));
		harness.dispatcher.runnerPaths()
			.echoReceived(DispatcherHarness.engine("a").address(), harness.nowNanos, harness.nowNanos);
		assertThat(harness.dispatcher.runnerPaths().runnersToProbe(harness.nowNanos), Matchers.empty());
		harness.drain();
		harness.arrive(DispatcherHarness.STREAM);
		harness.advance(130).arrive(DispatcherHarness.STREAM);
		assertThat(harness.drain()
			.stream()
			.map((effect) -> ((DispatchEffect.Send) effect).requiresNewConnection())
			.toList(), Matchers.contains(false, false));
	}

	// Plain services have varying response times.
	@Test
	void slowPlainRunnerIsNotSuspect() {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.plain("p"))
			.blockConnections("p");
		harness.arrive(DispatcherHarness.ALLOCATE);
		harness.advance(450).drain();
		harness.arrive(DispatcherHarness.ALLOCATE);
		harness.arrive(DispatcherHarness.ALLOCATE);
		assertThat(harness.effectNames(), Matchers.contains("Send:p", "Send:p"));
	}

	// An echo that arrives during a probe releases the waiting requests before the first
	// event.
	@Test
	void echoEndsProbe() {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.engine("a"));
		harness.arrive(DispatcherHarness.STREAM);
		harness.blockConnections("a").advance(450).drain();
		harness.arrive(DispatcherHarness.STREAM);
		harness.arrive(DispatcherHarness.STREAM);
		assertThat(harness.effectNames(), Matchers.contains("Send:a"));
		harness.advance(20);
		harness.dispatcher.runnerPaths()
			.echoReceived(DispatcherHarness.engine("a").address(), harness.nowNanos, harness.nowNanos);
		harness.advance(20);
		assertThat(harness.effectNames(), Matchers.contains("Send:a"));
	}

	@Test
	void noEchoIsRequestedForUnsuspectPath() {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.engine("a"),
				DispatcherHarness.plain("p"));
		harness.arrive(DispatcherHarness.STREAM);
		harness.advance(100);
		assertThat(harness.dispatcher.runnerPaths().runnersToProbe(harness.nowNanos), Matchers.empty());
	}

	// Failure: the usual response time of a plain service is taken for a blocked path,
	// so that it gets one request at a time and callers are refused while slots are
	// empty.
	@Test
	void typicalResponseTimeOfPlainServiceIsNotSuspect() {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.plain("p"));
		Deque<Job> running = new ArrayDeque<>();
		for (int i = 0; i < 40; i++) {
			running.add(harness.arrive(DispatcherHarness.SLOW));
			harness.advance(200);
			if (running.size() > 4) {
				harness.ended(running.remove(), DispatchOutcome.DONE);
			}
		}
		List<DispatchEffect> effects = harness.drain();
		assertThat(effects, Matchers.everyItem(Matchers.instanceOf(DispatchEffect.Send.class)));
		assertThat(effects, Matchers.hasSize(40));
		assertThat(effects.stream().filter((effect) -> ((DispatchEffect.Send) effect).requiresNewConnection()).toList(),
				Matchers.empty());
	}

	// Failure: after the agent of the only engine ended, callers are refused for eight
	// seconds because echoes are missing, although the engine works.
	@Test
	void engineIsUsedAfterItsAgentEnds() {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.engine("a"));
		harness.dispatcher.targetWeightsPublished(new TargetWeights("lm", 1), true, harness.nowNanos);
		harness.advance(10_000);
		harness.dispatcher.targetWeightsPublished(new TargetWeights("lm", 2), false, harness.nowNanos);
		advanceWithEchoes(harness, 500, "a");
		harness.drain();
		harness.dispatcher.runnerPaths().agentDisconnected(DispatcherHarness.engine("a").address());
		for (int i = 0; i < 5; i++) {
			advanceWithEchoes(harness, 1000);
			Job job = harness.arrive(DispatcherHarness.STREAM, 100, 6000);
			advanceWithEchoes(harness, 100);
			if (DispatcherHarness.latest(job).isPresent()) {
				harness.firstEvent(job);
				harness.ended(job, DispatchOutcome.DONE);
			}
		}
		assertThat(harness.effectNames(), Matchers.everyItem(Matchers.equalTo("Send:a")));
	}

	// Failure: during a release, agents do not support echoes yet. Engines that are slow
	// under load get too few requests and callers are refused while slots are empty.
	@ParameterizedTest
	@ValueSource(longs = { 500, 800, 1200 })
	void slowEngineWithoutEchoesIsNotThrottled(long firstEventMillis) {
		long withEchoes = countSent(firstEventMillis, true);
		long withoutEchoes = countSent(firstEventMillis, false);
		assertThat("of " + withEchoes + " sent with echoes, without", withoutEchoes,
				Matchers.greaterThan(withEchoes * 3 / 4));
	}

	private static long countSent(long firstEventMillis, boolean echoes) {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.engine("a"),
				DispatcherHarness.engine("b"));
		List<Job> running = new ArrayList<>();
		for (long at = 0; at < 6000; at += STEP_MILLIS) {
			if (at % 100 == 0) {
				running
					.add(harness.arrive(DispatcherHarness.STREAM, new Job.Size(300, 100, OptionalInt.empty()), 6000));
				harness.dispatcher.runnerPaths().runnersToProbe(harness.nowNanos).forEach((address) -> {
					if (echoes) {
						harness.dispatcher.runnerPaths().echoReceived(address, harness.nowNanos, harness.nowNanos);
					}
				});
			}
			harness.advance(STEP_MILLIS);
			for (Job job : List.copyOf(running)) {
				long waited = (harness.nowNanos - job.sentNanos()) / DispatcherHarness.NANOS_PER_MILLI;
				if (job.finished) {
					running.remove(job);
				}
				else if (DispatcherHarness.latest(job).isPresent() && waited >= firstEventMillis + 500) {
					harness.ended(job, DispatchOutcome.DONE);
					running.remove(job);
				}
				else if (waited >= firstEventMillis
						&& DispatcherHarness.latest(job).filter((dispatch) -> !dispatch.firstEventSent).isPresent()) {
					harness.firstEvent(job);
				}
			}
		}
		return harness.effectNames().stream().filter((name) -> name.startsWith("Send")).count();
	}

	private static List<String> pathChanges(DispatcherHarness harness) {
		return harness.dispatcher.runnerPaths()
			.pollChanges(harness.nowNanos)
			.stream()
			.map((change) -> (change.blocked() ? "blocked " : "open ") + change.address())
			.toList();
	}

	private static void advanceWithEchoes(DispatcherHarness harness, long millis, String... engines) {
		for (long at = 0; at < millis; at += 100) {
			harness.advance(100);
			harness.dispatcher.runnerPaths().runnersToProbe(harness.nowNanos);
			for (String engine : engines) {
				harness.dispatcher.runnerPaths()
					.echoReceived(DispatcherHarness.engine(engine).address(), harness.nowNanos, harness.nowNanos);
			}
		}
	}

	private static List<Boolean> nextNeedsNewConnection(DispatcherHarness harness) {
		return nextNeedsNewConnection(harness, true);
	}

	private static List<Boolean> nextNeedsNewConnection(DispatcherHarness harness, boolean answered) {
		harness.drain();
		Job job = harness.arrive(DispatcherHarness.STREAM);
		List<Boolean> required = harness.drain()
			.stream()
			.map((effect) -> ((DispatchEffect.Send) effect).requiresNewConnection())
			.toList();
		if (answered) {
			harness.firstEvent(job);
			harness.ended(job, DispatchOutcome.DONE);
		}
		else {
			harness.dispatcher.callerDisconnected(job, harness.nowNanos);
		}
		return required;
	}

	/** An entry that receives requests continuously. */
	private static final class Entry {

		private final DispatcherHarness harness = new DispatcherHarness();

		private final Map<Job, Integer> firstEventDispatches = new HashMap<>();

		private final List<Job> running = new ArrayList<>();

		private final List<Job> earlierStreams = new ArrayList<>();

		private final List<Sent> sent = new ArrayList<>();

		private final Set<Job> probes = new HashSet<>();

		private long maxConcurrentDelayed;

		private Entry(String... engines) {
			for (String engine : engines) {
				this.harness.register(DispatcherHarness.engine(engine));
			}
		}

		private void startStreams(int streams) {
			for (int i = 0; i < streams; i++) {
				this.earlierStreams.add(this.harness.arrive(DispatcherHarness.STREAM));
			}
			this.harness.advance(FIRST_EVENT_MILLIS);
			this.earlierStreams.forEach(this.harness::firstEvent);
			this.harness.drain();
		}

		private void run(long millis) {
			long started = this.harness.nowNanos;
			this.harness.blockConnections(DELAYED);
			for (long at = 0; at < millis; at += STEP_MILLIS) {
				if (at / STEP_MILLIS % ARRIVAL_STEPS == 0) {
					this.running.add(this.harness.arrive(DispatcherHarness.STREAM,
							new Job.Size(300, 100, OptionalInt.empty()), 6000));
				}
				this.harness.advance(STEP_MILLIS);
				advance(at);
				recordSends(this.harness.nowNanos - started);
				List.copyOf(this.running).forEach(this::advance);
				recordSends(this.harness.nowNanos - started);
				long detectedNanos = started + DETECTION_MILLIS * DispatcherHarness.NANOS_PER_MILLI;
				this.maxConcurrentDelayed = Math.max(this.maxConcurrentDelayed,
						this.running.stream()
							.filter((job) -> isDelayed(job) && job.sentNanos() > detectedNanos)
							.count());
			}
		}

		// The earlier streams keep emitting events and end one after the other.
		private void advance(long atMillis) {
			for (Job job : this.earlierStreams) {
				job.recordEvents(1, Optional.of("2"), this.harness.nowNanos);
			}
			if (atMillis >= FIRST_STREAM_END_MILLIS && !this.earlierStreams.isEmpty()) {
				this.harness.ended(this.earlierStreams.removeFirst(), DispatchOutcome.DONE);
			}
		}

		private static boolean isDelayed(Job job) {
			return DispatcherHarness.latest(job)
				.map((dispatch) -> dispatch.runner.info.id().equals(DELAYED))
				.orElse(false);
		}

		private void recordSends(long atNanos) {
			for (DispatchEffect effect : this.harness.drain()) {
				if (effect instanceof DispatchEffect.Send send) {
					this.sent.add(new Sent(send.runner().id(), send.requiresNewConnection(),
							atNanos / DispatcherHarness.NANOS_PER_MILLI));
					if (send.requiresNewConnection()) {
						this.probes.add(send.job());
					}
				}
			}
		}

		private void advance(Job job) {
			long waited = (this.harness.nowNanos - job.sentNanos()) / DispatcherHarness.NANOS_PER_MILLI;
			if (isDelayed(job) && this.probes.contains(job) && waited >= CONNECT_MILLIS) {
				this.probes.remove(job);
				this.harness.ended(job, DispatchOutcome.NOT_SENT);
			}
			if (DispatcherHarness.latest(job).isEmpty() || isDelayed(job)) {
				return;
			}
			if (waited >= ANSWER_MILLIS) {
				this.harness.ended(job, DispatchOutcome.DONE);
			}
			else if (waited >= FIRST_EVENT_MILLIS
					&& !Integer.valueOf(job.dispatchNumber()).equals(this.firstEventDispatches.get(job))) {
				this.firstEventDispatches.put(job, job.dispatchNumber());
				this.harness.firstEvent(job);
			}
		}

		private long countSentWithoutProbe() {
			return this.sent.stream()
				.filter((send) -> send.runner.equals(DELAYED) && !send.newConnection && send.millis >= DETECTION_MILLIS)
				.count();
		}

		private long countSent(String runner, long fromMillis, long toMillis) {
			return this.sent.stream()
				.filter((send) -> send.runner.equals(runner) && send.millis >= fromMillis && send.millis < toMillis)
				.count();
		}

	}

	private record Sent(String runner, boolean newConnection, long millis) {
	}

}
