package org.wisteriapost.policy.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.PriorityQueue;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wisteriapost.policy.coldstart.ColdStart;
import org.wisteriapost.policy.coldstart.ColdStartBound;
import org.wisteriapost.policy.coldstart.RegisteredEntries;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.policy.ratelimit.EntryGroup;
import org.wisteriapost.policy.region.RegionMap;
import org.wisteriapost.policy.routing.CallLimits;
import org.wisteriapost.policy.routing.RouteTable;
import org.wisteriapost.policy.routing.ServiceSpec;

/**
 * Dispatchers of several entries that send to the same cold runners, in virtual time. The
 * entries exchange no messages; each knows the others from a store that it may read late.
 */
final class ColdFleet {

	static final long MILLI = 1_000_000;

	static final ColdStart COLD_START = new ColdStart(Duration.ofSeconds(20), 26);

	static final ColdStartBound BOUND = new ColdStartBound(1.5, 5);

	/** The most requests that a cold runner may get in a second. */
	static final int MAX_REQUESTS = 44;

	private static final List<String> FAILURE_DOMAINS = List.of("hall-a", "hall-b", "hall-c");

	private static final long STEP_NANOS = 10 * MILLI;

	private static final int STEPS_PER_UPDATE = 10;

	private static final int MAX_READ_DELAY_MILLIS = 2500;

	private static final int MAX_SEND_DELAY_MILLIS = 150;

	final UniformRandomProvider random;

	final Map<String, Entry> entries = new LinkedHashMap<>();

	final Map<String, RunnerInfo> runners = new LinkedHashMap<>();

	/** Arrivals at each incarnation of a runner. */
	final Map<RunnerInfo, List<Long>> arrivals = new HashMap<>();

	/** Ages of refused requests, in nanoseconds. */
	final List<Long> refusedAges = new ArrayList<>();

	final Map<String, Integer> refusals = new HashMap<>();

	/** The share of dispatches that runners turn away; these requests are retried. */
	double turnedAwayShare;

	OptionalDouble namedLimit = OptionalDouble.empty();

	private final PriorityQueue<Task> tasks = new PriorityQueue<>(Comparator.comparingLong(Task::atNanos));

	// What the store has held, oldest first.
	private final List<Registrations> history = new ArrayList<>();

	private final boolean coldStarts;

	private long now = 100_000 * MILLI;

	private long lastId;

	ColdFleet(int entryCount, int runnerCount, boolean coldStarts, long seed) {
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		this.coldStarts = coldStarts;
		this.history.add(new Registrations(this.now, Map.of()));
		for (int i = 0; i < runnerCount; i++) {
			this.runners.put("runner-" + i, info("runner-" + i, 1, 0));
		}
		for (int i = 0; i < entryCount; i++) {
			addEntry("entry-" + i);
		}
	}

	RunnerInfo info(String id, long started, long coldMillis) {
		int number = Integer.parseInt(id.substring(id.indexOf('-') + 1));
		return new RunnerInfo(id, "registry-api", "10.0.1." + number + ":80", domain(number), 400, false, coldMillis,
				Map.of(), this.now, RunnerIncarnation.startedAt(started));
	}

	private static String domain(int number) {
		return FAILURE_DOMAINS.get(number % FAILURE_DOMAINS.size());
	}

	long now() {
		return this.now;
	}

	void addEntry(String name) {
		int number = Integer.parseInt(name.substring(name.indexOf('-') + 1));
		this.entries.put(name, new Entry(name, domain(number)));
		Map<String, String> registered = new HashMap<>(this.history.getLast().domains);
		registered.put(name, domain(number));
		this.history.add(new Registrations(this.now, Map.copyOf(registered)));
	}

	/** Ends an entry; its registration is removed. */
	void removeEntry(String name) {
		this.entries.remove(name);
		removeRegistration(name);
	}

	/** Removes the registration of an entry that goes on. */
	void removeRegistration(String name) {
		Map<String, String> registered = new HashMap<>(this.history.getLast().domains);
		registered.remove(name);
		this.history.add(new Registrations(this.now, Map.copyOf(registered)));
	}

	/** Begins another incarnation of a runner, or changes its registration. */
	void register(RunnerInfo info) {
		this.runners.put(info.id(), info);
		this.entries.values().forEach((entry) -> entry.read(info));
	}

	/**
	 * Runs with requests at random entries.
	 * @param perSecond the requests a second at each entry
	 */
	void run(Duration time, double perSecond) {
		run(time, List.copyOf(this.entries.keySet()), perSecond);
	}

	/** Runs with requests at some entries only. */
	void run(Duration time, List<String> busy, double perSecond) {
		long until = this.now + time.toNanos();
		double arrivalsPerStep = perSecond * STEP_NANOS / 1e9;
		for (int step = 0; this.now < until; step++) {
			this.now += STEP_NANOS;
			while (!this.tasks.isEmpty() && this.tasks.peek().atNanos <= this.now) {
				this.tasks.remove().action.run();
			}
			for (Entry entry : this.entries.values()) {
				if (step % STEPS_PER_UPDATE == 0) {
					entry.update();
				}
				entry.dispatcher.tick(this.now);
				entry.applyEffects();
			}
			for (String name : busy) {
				Entry entry = this.entries.get(name);
				for (double due = arrivalsPerStep; entry != null && this.random.nextDouble() < due; due--) {
					entry.request();
				}
			}
		}
	}

	/** Returns the most arrivals in any one second at an incarnation. */
	int maxPerSecond(RunnerInfo runner) {
		List<Long> times = this.arrivals.getOrDefault(runner, List.of()).stream().sorted().toList();
		int max = 0;
		int first = 0;
		for (int last = 0; last < times.size(); last++) {
			while (times.get(last) - times.get(first) > 1000 * MILLI) {
				first++;
			}
			max = Math.max(max, last - first + 1);
		}
		return max;
	}

	int total(RunnerInfo runner) {
		return this.arrivals.getOrDefault(runner, List.of()).size();
	}

	/** An entry. */
	final class Entry {

		final String name;

		private final Dispatcher dispatcher;

		private final long readDelayNanos;

		private Optional<Registrations> frozenView = Optional.empty();

		private Entry(String name, String failureDomain) {
			this.name = name;
			this.readDelayNanos = ColdFleet.this.random.nextInt(MAX_READ_DELAY_MILLIS) * MILLI;
			this.dispatcher = Dispatcher.create(new DispatchLimits(failureDomain, 0.2, 100, Duration.ofSeconds(10),
					Duration.ofSeconds(8), RegionMap.NONE, BOUND, false), ColdFleet.this.random);
			ServiceSpec service = new ServiceSpec("registry-api", 96, Optional.empty(), Optional.empty(),
					ColdFleet.this.coldStarts ? Optional.of(COLD_START) : Optional.empty());
			this.dispatcher.updateRouteTable(RouteTable.of(1, List.of(DispatcherHarness.LOOKUP), List.of(service),
					Map.of(), new CallLimits(16_384, 1 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15))));
			this.dispatcher.replaceRunners(ColdFleet.this.runners.values(), ColdFleet.this.now);
		}

		/** Cuts the entry off from the store. */
		void isolate() {
			this.frozenView = Optional.of(view());
		}

		/** Delivers a former statement. */
		void stated(RunnerInfo runner, Duration remaining) {
			this.dispatcher.rateLimits().coldRunners().stated(runner, remaining, ColdFleet.this.now);
		}

		void evacuated(String failureDomain, boolean begins) {
			EvacuatedRunners evacuated = this.dispatcher.evacuated();
			if (begins) {
				evacuated.begin(failureDomain, 1, ColdFleet.this.now);
			}
			else {
				evacuated.end(failureDomain, Long.MAX_VALUE, ColdFleet.this.now);
			}
		}

		private void read(RunnerInfo info) {
			if (this.frozenView.isEmpty()) {
				this.dispatcher.updateRunner(info, ColdFleet.this.now);
			}
		}

		private Registrations view() {
			long asOf = ColdFleet.this.now - this.readDelayNanos;
			Registrations known = ColdFleet.this.history.stream()
				.filter((one) -> one.atNanos <= asOf)
				.reduce((first, second) -> second)
				.orElse(ColdFleet.this.history.getFirst());
			return new Registrations(asOf, known.domains);
		}

		private void update() {
			Registrations view = this.frozenView.orElseGet(this::view);
			int total = view.domains.size() + 1;
			this.dispatcher.rateLimits().updateGroup(EntryGroup.unscoped(total));
			this.dispatcher.rateLimits()
				.coldRunners()
				.updateEntries(new RegisteredEntries(this.name, view.domains),
						OptionalLong.of((ColdFleet.this.now - view.atNanos) / MILLI), ColdFleet.this.now);
		}

		private void request() {
			ColdFleet.this.lastId++;
			long id = ColdFleet.this.lastId;
			Job job = Job.create(id, new Job.Attempt("attempt-" + id, id, OptionalLong.empty(), Optional.empty()),
					DispatcherHarness.LOOKUP, "registry-api", Optional.empty(), new Job.Size(0, 0, OptionalInt.empty()),
					ColdFleet.this.now, ColdFleet.this.now + DispatcherHarness.LOOKUP.timeout().toNanos());
			this.dispatcher.requestArrived(job, ColdFleet.this.now);
			applyEffects();
		}

		private void applyEffects() {
			List<DispatchEffect> effects = this.dispatcher.drainEffects();
			for (DispatchEffect effect : effects) {
				if (effect instanceof DispatchEffect.Send send) {
					sent(send);
				}
				else if (effect instanceof DispatchEffect.Refuse refuse) {
					ColdFleet.this.refusals.merge(refuse.code().name(), 1, Integer::sum);
					ColdFleet.this.refusedAges.add(ColdFleet.this.now - refuse.job().arrivedNanos());
				}
			}
		}

		// A request that is sent to a former incarnation under the same id reaches the
		// current one.
		private void sent(DispatchEffect.Send send) {
			Job job = send.job();
			int dispatch = job.dispatchNumber();
			long arrival = ColdFleet.this.now + ColdFleet.this.random.nextInt(MAX_SEND_DELAY_MILLIS) * MILLI;
			boolean turnedAway = ColdFleet.this.random.nextDouble() < ColdFleet.this.turnedAwayShare;
			ColdFleet.this.tasks.add(new Task(arrival,
					() -> ColdFleet.this.arrivals
						.computeIfAbsent(ColdFleet.this.runners.get(send.runner().id()), (key) -> new ArrayList<>())
						.add(arrival)));
			ColdFleet.this.tasks.add(new Task(arrival + 20 * MILLI, () -> {
				if (job.dispatchNumber() == dispatch && !job.finished) {
					ColdFleet.this.namedLimit.ifPresent((limit) -> this.dispatcher.rateLimits()
						.stated(job, dispatch, OptionalDouble.of(limit), ColdFleet.this.now));
					this.dispatcher.dispatchEnded(job, dispatch,
							turnedAway ? DispatchOutcome.FULL : DispatchOutcome.DONE, ColdFleet.this.now);
					applyEffects();
				}
			}));
		}

	}

	private record Registrations(long atNanos, Map<String, String> domains) {
	}

	private record Task(long atNanos, Runnable action) {
	}

}
