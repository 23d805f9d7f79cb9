package org.wisteriapost.standin;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.wisteriapost.standin.TrafficLedger.Count;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Kills, freezes and cuts real processes while completions, lookups, allocations and a
 * roll are in progress.
 */
class ProcessFaultTests {

	private static final int CALLERS = 8;

	private static final long THINK_MILLIS = 10;

	// At 5 ms a token each takes longer than an engine takes to load: an engine that was
	// ordered too early changes weights under it.
	private static final int MIN_TOKENS = 40;

	// Long enough for links and leases to be taken for dead on the other side.
	private static final long FROZEN_MILLIS = 2500;

	private static final long CUTS = 3;

	private static final long CUT_EVERY_MILLIS = 300;

	private static final List<String> ENGINES = List.of("engine-1", "engine-2");

	private static TestFleet fleet;

	private static int generation;

	// The weights of each generation, oldest first.
	private static final List<String> HISTORY = new ArrayList<>(List.of(""));

	@BeforeAll
	static void start() throws Exception {
		fleet = TestFleet.start(Path.of("target", "process-faults"));
		rollNext();
		OneProcess.await("the first bundle is served", ProcessFaultTests::allServeLatest);
	}

	@AfterAll
	static void stop() throws Exception {
		if (fleet != null) {
			fleet.close();
		}
	}

	static Stream<Arguments> faults() {
		Stream<Arguments> processes = Stream.of("entry-1", "lm-1", "reg-1", "engine-1")
			.flatMap((target) -> Stream.of(Blow.values()).map((blow) -> Arguments.of(target, blow)));
		// The plain service is in the test's own process: only its connections are cut.
		return Stream.concat(processes, Stream.of(Arguments.of("plain-1", Blow.CUT)));
	}

	// A caller sees at worst a refusal, a visible cut or "unknown" while one process is
	// killed, frozen or cut off in the middle of its requests and of a roll. Then the
	// process comes back. Each answer must be whole, its own and from one set of weights;
	// each key must have run at most once; what was told "not run" must not stand in any
	// runner's journal; and no engine may go back to weights that it served before.
	@ParameterizedTest(name = "{0} {1}")
	@MethodSource("faults")
	void everyPromiseHoldsWhen(String target, Blow blow) throws Exception {
		TrafficLedger ledger = new TrafficLedger();
		AtomicBoolean stop = new AtomicBoolean();
		Map<String, Integer> highest = new ConcurrentHashMap<>();
		Set<String> reverted = ConcurrentHashMap.newKeySet();
		Thread sampler = Thread.startVirtualThread(() -> sample(stop, highest, reverted));
		List<Thread> callers = callers(ledger, stop);
		OneProcess.await("requests flow", () -> ledger.of(Count.ANSWERED) > CALLERS);

		String digest = fleet.accept(generation + 1);
		Thread roll = Thread.startVirtualThread(() -> rollAccepted(digest));
		blow.strike(fleet, target);
		roll.join();
		OneProcess.await("the bundle is served again", ProcessFaultTests::allServeLatest);
		long answered = ledger.of(Count.ANSWERED);
		OneProcess.await("requests flow again", () -> ledger.of(Count.ANSWERED) > answered + CALLERS);

		stop.set(true);
		sampler.join();
		for (Thread caller : callers) {
			caller.join();
		}
		ledger.checkExecuted(fleet.executed());
		ledger.checkAllocations(fleet.plain.executions());
		ledger.checkLabels(Set.copyOf(HISTORY.subList(1, HISTORY.size())));
		assertThat(ledger.problems(), is(empty()));
		assertThat(reverted, is(empty()));
		assertThat(ledger.of(Count.ANSWERED), is(greaterThan((long) CALLERS)));
	}

	private static List<Thread> callers(TrafficLedger ledger, AtomicBoolean stop) {
		EntryAddresses entries = new EntryAddresses(fleet.caller, TestFleet.TOKEN, fleet.entries(), generation);
		List<Thread> threads = new ArrayList<>();
		for (int i = 0; i < CALLERS; i++) {
			String name = "g" + generation + "-c" + i;
			TrafficCaller caller = new TrafficCaller(name, fleet.caller, entries, TestFleet.TOKEN, ledger, i);
			int kind = i;
			threads
				.add(Thread.startVirtualThread(() -> caller.run((n) -> call(kind, name, n), stop::get, THINK_MILLIS)));
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

	private static void rollNext() throws Exception {
		rollAccepted(fleet.accept(generation + 1));
	}

	private static void rollAccepted(String digest) {
		String weights = fleet.weights(digest);
		synchronized (HISTORY) {
			HISTORY.add(weights);
		}
		fleet.roll(digest, generation);
		generation++;
	}

	private static boolean allServeLatest() {
		String latest = HISTORY.getLast();
		return ENGINES.stream().allMatch((engine) -> fleet.serving(engine).equals(latest));
	}

	private static void sample(AtomicBoolean stop, Map<String, Integer> highest, Set<String> reverted) {
		while (!stop.get()) {
			for (String engine : ENGINES) {
				String serving = fleet.serving(engine);
				int now;
				synchronized (HISTORY) {
					now = HISTORY.indexOf(serving);
				}
				int before = highest.merge(engine, now, Math::max);
				// An engine that was killed serves nothing at first; that is no old
				// bundle.
				if (now < before && !serving.isEmpty()) {
					reverted.add(engine + " went from generation " + before + " to " + now);
				}
			}
		}
	}

	/** What happens to a process. */
	enum Blow {

		KILL {
			@Override
			void strike(TestFleet fleet, String target) throws Exception {
				fleet.process(target).kill();
				fleet.process(target).start();
			}
		},
		FREEZE {
			@Override
			void strike(TestFleet fleet, String target) throws Exception {
				fleet.process(target).signal("STOP");
				Thread.sleep(FROZEN_MILLIS);
				fleet.process(target).signal("CONT");
			}
		},
		CUT {
			@Override
			void strike(TestFleet fleet, String target) throws Exception {
				for (int i = 0; i < CUTS; i++) {
					fleet.cut(target);
					Thread.sleep(CUT_EVERY_MILLIS);
				}
			}
		};

		abstract void strike(TestFleet fleet, String target) throws Exception;

	}

}
