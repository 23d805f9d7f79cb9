package org.wisteriapost.standin;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.wisteriapost.standin.TrafficRecorder.Count;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Kills, suspends and disconnects real processes during completions, lookups, allocations
 * and a rollout.
 */
class ProcessFaultTests {

	private static final int CLIENTS = 8;

	private static final long THINK_MILLIS = 10;

	// At 5 ms per token a call takes longer than loading weights, so that an engine
	// that is ordered to load too early changes the weights of a running call.
	private static final int MIN_TOKENS = 40;

	// Long enough for links and leases to expire at the peers.
	private static final long FREEZE_MILLIS = 2500;

	private static final long DISCONNECT_COUNT = 3;

	private static final long DISCONNECT_INTERVAL_MILLIS = 300;

	// Of heads, where they tell the length of the body, and of the status.
	private static final List<UnaryOperator<String>> DAMAGES = List.of(
			(text) -> text.replaceFirst("Content-Length: \\d", "Content-Length: 1"),
			(text) -> text.replaceFirst("Content-Length: \\d+", "Content-Length: 3"),
			(text) -> text.replaceFirst("Content-Length: ", "Content-Length: 4\r\nContent-Length: "),
			(text) -> text.replaceFirst("Content-Length: \\d+", "Transfer-Encoding: x"),
			(text) -> text.replaceFirst(" 200 ", " 000 "));

	private static final List<String> ENGINES = List.of("engine-1", "engine-2");

	private static TestFleet fleet;

	private static int generation;

	// Index is the generation.
	private static final List<String> WEIGHTS_BY_GENERATION = new ArrayList<>(List.of(""));

	@BeforeAll
	static void start() throws Exception {
		fleet = TestFleet.start(Path.of("target", "process-faults"));
		rollOutNext();
		TestProcess.await("all engines serve the first bundle", ProcessFaultTests::allServeLatest);
	}

	@AfterAll
	static void stop() throws Exception {
		if (fleet != null) {
			fleet.close();
		}
	}

	static Stream<Arguments> faults() {
		Stream<Arguments> processes = Stream.of("entry-1", "lm-1", "reg-1", "engine-1")
			.flatMap((target) -> Stream.of(ProcessFault.KILL, ProcessFault.FREEZE, ProcessFault.CUT)
				.map((fault) -> Arguments.of(target, fault)));
		// The plain service runs in the test process: only its connections can be
		// closed, and its answers damaged.
		return Stream.concat(processes, Stream.of(Arguments.of("plain-1", ProcessFault.CUT),
				Arguments.of("plain-1", ProcessFault.DAMAGE), Arguments.of("engine-1", ProcessFault.DAMAGE)));
	}

	// A fault of one process during requests and a rollout may cause rejections,
	// visible truncation or unknown outcomes. It must not cause incomplete, foreign or
	// mixed responses, duplicate execution of a key, execution of a request reported as
	// not run, or an engine that returns to earlier weights.
	@ParameterizedTest(name = "{0} {1}")
	@MethodSource("faults")
	void guaranteesHoldDuring(String target, ProcessFault fault) throws Exception {
		TrafficRecorder recorder = new TrafficRecorder();
		AtomicBoolean stop = new AtomicBoolean();
		Map<String, Integer> highest = new ConcurrentHashMap<>();
		Set<String> reverted = ConcurrentHashMap.newKeySet();
		Thread sampler = Thread.startVirtualThread(() -> sample(stop, highest, reverted));
		List<Thread> clients = clients(recorder, stop);
		TestProcess.await("requests are answered", () -> recorder.total(Count.ANSWERED) > CLIENTS);

		String digest = fleet.accept(generation + 1);
		Thread rollout = Thread.startVirtualThread(() -> rollOutAccepted(digest));
		fault.inject(fleet, target);
		rollout.join();
		TestProcess.await("all engines serve the latest bundle again", ProcessFaultTests::allServeLatest);
		long answered = recorder.total(Count.ANSWERED);
		TestProcess.await("requests are answered again", () -> recorder.total(Count.ANSWERED) > answered + CLIENTS);

		stop.set(true);
		sampler.join();
		for (Thread client : clients) {
			client.join();
		}
		recorder.checkExecuted(fleet.executed());
		recorder.checkAllocations(fleet.plain.executions());
		recorder.checkLabels(Set.copyOf(WEIGHTS_BY_GENERATION.subList(1, WEIGHTS_BY_GENERATION.size())));
		assertThat(recorder.problems(), is(empty()));
		assertThat(reverted, is(empty()));
		assertThat(recorder.total(Count.ANSWERED), is(greaterThan((long) CLIENTS)));
	}

	private static List<Thread> clients(TrafficRecorder recorder, AtomicBoolean stop) {
		EntryAddressCache entries = new EntryAddressCache(fleet.caller, TestFleet.TOKEN, fleet.entries(), generation);
		List<Thread> threads = new ArrayList<>();
		for (int i = 0; i < CLIENTS; i++) {
			String name = "g" + generation + "-c" + i;
			TrafficClient client = new TrafficClient(name, fleet.caller, entries, TestFleet.TOKEN, recorder, i);
			int kind = i;
			threads
				.add(Thread.startVirtualThread(() -> client.run((n) -> call(kind, name, n), stop::get, THINK_MILLIS)));
		}
		return threads;
	}

	private static TrafficCall call(int kind, String name, long n) {
		return switch (kind % 4) {
			case 0 -> new TrafficCall.Lookup("chartdesk", name + "-" + n);
			case 1 -> new TrafficCall.Allocation("chartdesk", System.currentTimeMillis() + "-" + name + "-" + n);
			default -> new TrafficCall.Completion("galley", name + " " + n, MIN_TOKENS + (int) (n % MIN_TOKENS),
					kind % 4 == 2);
		};
	}

	private static void rollOutNext() throws Exception {
		rollOutAccepted(fleet.accept(generation + 1));
	}

	private static void rollOutAccepted(String digest) {
		String weights = fleet.weights(digest);
		synchronized (WEIGHTS_BY_GENERATION) {
			WEIGHTS_BY_GENERATION.add(weights);
		}
		fleet.roll(digest, generation);
		generation++;
	}

	private static boolean allServeLatest() {
		String latest = WEIGHTS_BY_GENERATION.getLast();
		return ENGINES.stream().allMatch((engine) -> fleet.serving(engine).equals(latest));
	}

	private static void sample(AtomicBoolean stop, Map<String, Integer> highest, Set<String> reverted) {
		while (!stop.get()) {
			for (String engine : ENGINES) {
				String serving = fleet.serving(engine);
				int now;
				synchronized (WEIGHTS_BY_GENERATION) {
					now = WEIGHTS_BY_GENERATION.indexOf(serving);
				}
				int before = highest.merge(engine, now, Math::max);
				// A restarted engine has no weights at first; that is no reversal.
				if (now < before && !serving.isEmpty()) {
					reverted.add(engine + " went from generation " + before + " to " + now);
				}
			}
		}
	}

	/** A fault that is injected into a process. */
	enum ProcessFault {

		KILL {
			@Override
			void inject(TestFleet fleet, String target) throws Exception {
				fleet.process(target).kill();
				fleet.process(target).start();
			}
		},
		FREEZE {
			@Override
			void inject(TestFleet fleet, String target) throws Exception {
				fleet.process(target).signal("STOP");
				Thread.sleep(FREEZE_MILLIS);
				fleet.process(target).signal("CONT");
			}
		},
		CUT {
			@Override
			void inject(TestFleet fleet, String target) throws Exception {
				for (int i = 0; i < DISCONNECT_COUNT; i++) {
					fleet.cut(target);
					Thread.sleep(DISCONNECT_INTERVAL_MILLIS);
				}
			}
		},
		DAMAGE {
			@Override
			void inject(TestFleet fleet, String target) throws Exception {
				for (UnaryOperator<String> damage : DAMAGES) {
					fleet.changeReplies(target, damage);
					Thread.sleep(DISCONNECT_INTERVAL_MILLIS);
				}
				fleet.changeReplies(target, UnaryOperator.identity());
			}
		};

		abstract void inject(TestFleet fleet, String target) throws Exception;

	}

}
