package org.wisteriapost.standin.sim.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.Consumer;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wisteriapost.policy.dispatch.EngineStatus;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.policy.pace.PaceStatement;
import org.wisteriapost.policy.routing.CallLimits;
import org.wisteriapost.policy.routing.EngineSpec;
import org.wisteriapost.policy.routing.Route;
import org.wisteriapost.policy.routing.Route.WeightedService;
import org.wisteriapost.policy.routing.RouteKind;
import org.wisteriapost.policy.routing.RouteTable;
import org.wisteriapost.policy.routing.ServiceSpec;
import org.wisteriapost.standin.sim.EventQueue;
import org.wisteriapost.standin.sim.dispatch.DispatchProfile.Change;

/**
 * Discrete-event simulation of the entries of a site under a load of streamed requests.
 *
 * Runs with the same profile and seed are identical.
 */
public final class DispatchSim {

	private static final String SERVICE = "lm-notice";

	private static final Duration DRAIN_TIME = Duration.ofSeconds(10);

	// A planned switch is announced to the entries this long ahead.
	private static final Duration ANNOUNCEMENT = Duration.ofSeconds(2);

	// Time from a crash until the registration is removed.
	private static final Duration REGISTRATION_TTL = Duration.ofMillis(3600);

	// Agents repeat a statement after this time.
	private static final long REPEAT_NANOS = Duration.ofMillis(500).toNanos();

	private final DispatchProfile profile;

	private final EngineSpec spec;

	private final UniformRandomProvider random;

	private final EventQueue events = new EventQueue();

	private final Map<String, SimulatedEngine> engines = new LinkedHashMap<>();

	private final List<SimulatedEntry> entries = new ArrayList<>();

	private final DispatchResult result = new DispatchResult();

	private final SimulatedCallers callers;

	private int lastIncarnation;

	private DispatchSim(DispatchProfile profile, long seed) {
		this.profile = profile;
		this.spec = profile.engineProfile().spec();
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		Route route = new Route("stream", "desk.example", "/stream/", RouteKind.STREAM, SimulatedCaller.TIMEOUT,
				profile.engineProfile().target(), 1, List.of(new WeightedService(SERVICE, 1)), 2, true, true,
				SimulatedCaller.TARGET_GAP);
		this.callers = new SimulatedCallers(route, profile.engineProfile(), this.events, this.random, this.result);
		for (int i = 0; i < profile.engines(); i++) {
			SimulatedEngine engine = new SimulatedEngine("engine-" + i, failureDomain(i), profile.engineProfile(),
					this.events);
			this.engines.put(engine.name(), engine);
		}
		RouteTable routes = routes(route);
		for (int i = 0; i < profile.entries(); i++) {
			this.entries.add(new SimulatedEntry("entry-" + i, failureDomain(i), routes, profile.entries(), this.events,
					this.engines, this.callers, RandomSource.XO_RO_SHI_RO_128_PP.create(seed * profile.entries() + i)));
		}
		this.callers.connect(this.entries);
	}

	/**
	 * Simulates one run and returns what callers got.
	 */
	public static DispatchResult run(DispatchProfile profile, long seed) {
		return new DispatchSim(profile, seed).run();
	}

	private DispatchResult run() {
		this.engines.values().forEach((engine) -> register(engine, 0));
		for (SimulatedEntry entry : this.entries) {
			entry.start(this.entries.stream().filter((other) -> other != entry).toList());
		}
		this.profile.changes().forEach(this::schedule);
		scheduleArrival();
		this.events.runUntil(this.profile.duration().plus(DRAIN_TIME).toNanos());
		return this.result;
	}

	private void scheduleArrival() {
		double seconds = -Math.log(1 - this.random.nextDouble()) / (this.profile.requestsPerSecond() * loadFactor());
		this.events.schedule((long) (seconds * Duration.ofSeconds(1).toNanos()), () -> {
			if (this.events.nowNanos() < this.profile.duration().toNanos()) {
				this.callers.add();
				scheduleArrival();
			}
		});
	}

	private double loadFactor() {
		long now = this.events.nowNanos();
		return this.profile.changes()
			.stream()
			.filter((change) -> change instanceof Change.Burst burst && now >= burst.at().toNanos()
					&& now < burst.at().plus(burst.length()).toNanos())
			.mapToDouble((change) -> ((Change.Burst) change).factor())
			.findFirst()
			.orElse(1);
	}

	private void schedule(Change change) {
		switch (change) {
			case Change.Burst burst -> {
				// The arrivals follow it.
			}
			case Change.Crash crash -> {
				int count = (int) Math.round(crash.share() * this.engines.size());
				this.engines.values()
					.stream()
					.limit(count)
					.forEach((engine) -> this.events.schedule(crash.at().toNanos(),
							() -> crash(engine, crash.length().toNanos())));
			}
			case Change.Switch switches -> scheduleSwitches(switches);
			case Change.Spells spells -> this.engines.values()
				.stream()
				.limit(Math.round(spells.engineShare() * this.engines.size()))
				.forEach((engine) -> scheduleSpells(engine, spells));
		}
	}

	private void crash(SimulatedEngine engine, long lengthNanos) {
		engine.crash();
		this.events.schedule(REGISTRATION_TTL.toNanos(), () -> {
			if (!engine.reachable()) {
				forEachEntry((entry) -> entry.dispatcher().departures().registrationUnusable(engine.name()));
			}
		});
		this.events.schedule(lengthNanos, () -> {
			engine.restart();
			register(engine, ++this.lastIncarnation);
		});
	}

	private void scheduleSwitches(Change.Switch switches) {
		long interval = switches.length().toNanos() / Math.max(1, switches.groups() - 1);
		int position = 0;
		for (SimulatedEngine engine : this.engines.values()) {
			long start = switches.at().toNanos() + interval * (position % switches.groups());
			this.events.schedule(start - ANNOUNCEMENT.toNanos(),
					() -> publish(engine, OptionalInt.of(1), false, OptionalLong.of(start)));
			this.events.schedule(start, () -> {
				publish(engine, OptionalInt.of(1), true, OptionalLong.empty());
				engine.drain(() -> this.events.schedule(
						(long) (this.spec.warmupMillis() * Duration.ofMillis(1).toNanos()), () -> switched(engine)));
			});
			position++;
		}
	}

	// The spells are drawn before the requests, so that runs with and without statements
	// have the same ones.
	private void scheduleSpells(SimulatedEngine engine, Change.Spells spells) {
		double meanGap = spells.length().toNanos() * (1 / spells.timeShare() - 1);
		long start = spells.at().toNanos() + gap(meanGap);
		while (start < this.profile.duration().toNanos()) {
			long end = start + spells.length().toNanos();
			this.events.schedule(start, () -> engine.pace(spells.pace()));
			this.events.schedule(end, () -> engine.pace(PaceStatement.NORMAL));
			if (spells.statedAfter().isPresent()) {
				long delay = spells.statedAfter().get().toNanos();
				this.events.schedule(start + delay, () -> publishPace(engine, spells.pace()));
				this.events.schedule(start + delay + REPEAT_NANOS, () -> publishPace(engine, spells.pace()));
				this.events.schedule(end + delay, () -> publishPace(engine, PaceStatement.NORMAL));
			}
			start = end + gap(meanGap);
		}
	}

	private long gap(double meanNanos) {
		return (long) (-Math.log(1 - this.random.nextDouble()) * meanNanos);
	}

	private void publishPace(SimulatedEngine engine, double pace) {
		Optional<PaceStatement> stated = (pace > PaceStatement.NORMAL)
				? Optional.of(new PaceStatement(pace, this.events.nowNanos(), RunnerIncarnation.UNKNOWN))
				: Optional.empty();
		EngineStatus status = new EngineStatus(OptionalInt.of(1), false, OptionalLong.empty(),
				RunnerIncarnation.UNKNOWN, stated);
		forEachEntry((entry) -> entry.dispatcher().updateEngineStatus(address(engine), status, this.events.nowNanos()));
	}

	private void switched(SimulatedEngine engine) {
		engine.open();
		publish(engine, OptionalInt.of(2), false, OptionalLong.empty());
	}

	private void publish(SimulatedEngine engine, OptionalInt version, boolean switching, OptionalLong startNanos) {
		EngineStatus status = new EngineStatus(version, switching, startNanos, RunnerIncarnation.UNKNOWN);
		forEachEntry((entry) -> entry.dispatcher().updateEngineStatus(address(engine), status, this.events.nowNanos()));
	}

	private void register(SimulatedEngine engine, int incarnation) {
		RunnerInfo info = new RunnerInfo(engine.name(), SERVICE, address(engine), engine.failureDomain(),
				this.spec.slots(), false, 0, Map.of(this.spec.model(), 1), incarnation,
				RunnerIncarnation.startedAt(1 + incarnation));
		forEachEntry((entry) -> entry.dispatcher().updateRunner(info, this.events.nowNanos()));
	}

	private void forEachEntry(Consumer<SimulatedEntry> change) {
		this.entries.forEach((entry) -> entry.update(() -> change.accept(entry)));
	}

	private static String address(SimulatedEngine engine) {
		return engine.name() + ":80";
	}

	private static String failureDomain(int index) {
		return "hall-" + index % DispatchProfile.FAILURE_DOMAINS;
	}

	private RouteTable routes(Route route) {
		CallLimits limits = new CallLimits(16_384, 1 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));
		ServiceSpec service = new ServiceSpec(SERVICE, 1000, Optional.of(this.spec), Optional.empty());
		return RouteTable.of(1, List.of(route), List.of(service), Map.of(), limits);
	}

}
