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

	private final Arrivals arrivals;

	private int lastIncarnation;

	private DispatchSim(DispatchProfile profile, long seed) {
		this.profile = profile;
		this.spec = profile.engineProfile().spec();
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		this.arrivals = new Arrivals(profile, this.random);
		Map<RequestKind, Route> routes = new LinkedHashMap<>();
		profile.kinds().forEach((kind) -> routes.put(kind, route(kind)));
		this.callers = new SimulatedCallers(routes, profile.engineProfile(), this.events, this.random, this.result);
		for (int i = 0; i < profile.engines(); i++) {
			SimulatedEngine engine = new SimulatedEngine("engine-" + i, failureDomain(i), profile.engineProfile(),
					this.events);
			this.engines.put(engine.name(), engine);
		}
		RouteTable table = routeTable(List.copyOf(routes.values()));
		for (int i = 0; i < profile.entries(); i++) {
			this.entries.add(new SimulatedEntry("entry-" + i, failureDomain(i), table, profile, this.events,
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
		this.events.schedule(this.arrivals.nextNanos(this.events.nowNanos()), () -> {
			long now = this.events.nowNanos();
			if (now < this.profile.duration().toNanos()) {
				this.callers.add(this.arrivals.kind(now), this.arrivals.organisation(now));
				scheduleArrival();
			}
		});
	}

	private void schedule(Change change) {
		switch (change) {
			case Change.Burst burst -> {
				// The arrivals follow it.
			}
			case Change.KindBurst burst -> {
				// The arrivals follow it.
			}
			case Change.OrganisationBurst burst ->
				this.result.watchOrganisation(burst.organisation(), burst.at(), burst.at().plus(burst.length()));
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

	private static Route route(RequestKind kind) {
		return new Route(kind.name(), "desk.example", "/" + kind.name() + "/", RouteKind.STREAM,
				SimulatedCaller.TIMEOUT, kind.target(), kind.rank(), List.of(new WeightedService(SERVICE, 1)), 2, true,
				true, SimulatedCaller.TARGET_GAP);
	}

	private RouteTable routeTable(List<Route> routes) {
		CallLimits limits = new CallLimits(16_384, 1 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));
		ServiceSpec service = new ServiceSpec(SERVICE, 1000, Optional.of(this.spec), Optional.empty());
		return RouteTable.of(1, routes, List.of(service), Map.of(), limits);
	}

}
