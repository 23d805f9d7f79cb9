package org.wisteriapost.policy.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

import org.apache.commons.rng.simple.RandomSource;
import org.wisteriapost.policy.coldstart.ColdStartBound;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.policy.region.RegionMap;
import org.wisteriapost.policy.routing.CallLimits;
import org.wisteriapost.policy.routing.EngineSpec;
import org.wisteriapost.policy.routing.Organisation;
import org.wisteriapost.policy.routing.Route;
import org.wisteriapost.policy.routing.Route.WeightedService;
import org.wisteriapost.policy.routing.RouteKind;
import org.wisteriapost.policy.routing.RouteTable;
import org.wisteriapost.policy.routing.ServiceSpec;

/**
 * A {@link Dispatcher} with a manual clock, typical engines and plain runners.
 */
final class DispatcherHarness {

	static final long NANOS_PER_MILLI = 1_000_000;

	static final EngineSpec ENGINE = new EngineSpec(16, 300_000, 5, 9.3, 0.02, 0.03, 20, 1.2, 2048, 1000, 90, "lm",
			300);

	static final Route STREAM = route("stream", RouteKind.STREAM, "lm-notice", 500, 6000, 2, true);

	static final Route STREAM_ONCE = route("stream-once", RouteKind.STREAM, "lm-notice", 500, 6000, 2, false);

	static final Route LOOKUP = route("lookup", RouteKind.IDEMPOTENT, "registry-api", 120, 600, 2, false);

	static final Route ALLOCATE = route("allocate", RouteKind.AT_MOST_ONCE, "registry-api", 120, 600, 1, false);

	/** Its responses usually take most of a second. */
	static final Route SLOW = route("slow", RouteKind.AT_MOST_ONCE, "registry-api", 1500, 6000, 1, false);

	final Dispatcher dispatcher;

	long nowNanos = 10_000 * NANOS_PER_MILLI;

	private final Set<String> blockedRunners = new HashSet<>();

	private final List<DispatchEffect> effects = new ArrayList<>();

	// The runners of the dispatches that are open, by request and dispatch number.
	private final Map<Long, Map<Integer, RunnerInfo>> open = new HashMap<>();

	private long lastId;

	DispatcherHarness() {
		this(RegionMap.NONE);
	}

	DispatcherHarness(RegionMap regions) {
		this.dispatcher = Dispatcher.create(new DispatchLimits("hall-a", 0.2, 100, Duration.ofSeconds(10),
				Duration.ofSeconds(8), regions, ColdStartBound.STRICT, false),
				RandomSource.XO_RO_SHI_RO_128_PP.create(42));
		CallLimits limits = new CallLimits(16_384, 1 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));
		ServiceSpec engines = new ServiceSpec("lm-notice", 264, Optional.of(ENGINE), Optional.empty());
		ServiceSpec plain = new ServiceSpec("registry-api", 96, Optional.empty(), Optional.empty());
		this.dispatcher.updateRouteTable(RouteTable.of(1, List.of(STREAM, STREAM_ONCE, LOOKUP, ALLOCATE, SLOW),
				List.of(engines, plain), Map.of(), limits));
	}

	private static Route route(String name, RouteKind kind, String service, long target, long timeout, int attempts,
			boolean resumable) {
		return new Route(name, "desk.example", "/" + name + "/", kind, Duration.ofMillis(timeout),
				Duration.ofMillis(target), 1, List.of(new WeightedService(service, 1)), attempts, true, resumable,
				Duration.ofMillis(400));
	}

	static RunnerInfo engine(String id) {
		return engineIn("hall-a", id);
	}

	static RunnerInfo engineIn(String failureDomain, String id) {
		return new RunnerInfo(id, "lm-notice", "10.0.0." + id.hashCode() % 200 + ":80", failureDomain, 16, false, 0,
				Map.of("lm", 1), 0, RunnerIncarnation.UNKNOWN);
	}

	static RunnerInfo plain(String id) {
		return new RunnerInfo(id, "registry-api", "10.0.1." + id.hashCode() % 200 + ":80", "hall-a", 6, false, 0,
				Map.of(), 0, RunnerIncarnation.UNKNOWN);
	}

	DispatcherHarness register(RunnerInfo... infos) {
		for (RunnerInfo info : infos) {
			this.dispatcher.updateRunner(info, this.nowNanos);
		}
		confirmConnections();
		return this;
	}

	Job arrive(Route route) {
		return arrive(route, 1000, route.timeout().toMillis());
	}

	Job arrive(Route route, int prompt, long remainingMillis) {
		return arrive(route, new Job.Size(prompt, 100, OptionalInt.empty()), remainingMillis);
	}

	Job arrive(Route route, Job.Size size, long remainingMillis) {
		return arrive(route, size, remainingMillis, OptionalLong.empty());
	}

	/**
	 * Adds a request.
	 * @param request equal for all attempts of one request
	 */
	Job arrive(Route route, Job.Size size, long remainingMillis, OptionalLong request) {
		return arrive(route, Optional.empty(), size, remainingMillis, request);
	}

	Job arrive(Route route, Optional<Organisation> organisation) {
		return arrive(route, organisation, new Job.Size(1000, 100, OptionalInt.empty()), route.timeout().toMillis(),
				OptionalLong.empty());
	}

	private Job arrive(Route route, Optional<Organisation> organisation, Job.Size size, long remainingMillis,
			OptionalLong request) {
		this.lastId++;
		Job.Attempt attempt = new Job.Attempt("attempt-" + this.lastId, this.lastId, request, Optional.empty());
		Job job = Job.create(this.lastId, attempt, route, route.selectService(0), organisation, size, this.nowNanos,
				this.nowNanos + remainingMillis * NANOS_PER_MILLI);
		this.dispatcher.requestArrived(job, this.nowNanos);
		confirmConnections();
		return job;
	}

	/**
	 * Reports the load of a peer at a runner.
	 */
	void reportPeerLoad(String runner, InFlightLoad load) {
		this.dispatcher.peerLoads()
			.update("other", new RunnerLoad(runner, RunnerIncarnation.UNKNOWN, load), this.nowNanos);
	}

	DispatcherHarness advance(long millis) {
		this.nowNanos += millis * NANOS_PER_MILLI;
		this.dispatcher.tick(this.nowNanos);
		confirmConnections();
		return this;
	}

	void ended(Job job, DispatchOutcome outcome) {
		ended(job, job.dispatchNumber(), outcome);
	}

	void firstEvent(Job job) {
		supersedeOthers(job, job.dispatchNumber());
		job.recordEvents(1, Optional.of("1"), this.nowNanos);
		this.dispatcher.firstEventSent(job, job.dispatchNumber(), this.nowNanos);
		confirmConnections();
	}

	/**
	 * Returns the latest dispatch of a request, if it is open.
	 */
	static Optional<Dispatch> latest(Job job) {
		return job.openDispatch(job.dispatchNumber());
	}

	/**
	 * Returns the runners of the open dispatches of a request by dispatch number.
	 */
	Map<Integer, RunnerInfo> open(Job job) {
		return this.open.getOrDefault(job.id(), Map.of());
	}

	/**
	 * Delivers an event of a dispatch, which must be open.
	 */
	void event(Job job, int dispatch) {
		supersedeOthers(job, dispatch);
		job.recordEvents(1, Optional.of(String.valueOf(job.events() + 1)), this.nowNanos);
		this.dispatcher.firstEventSent(job, dispatch, this.nowNanos);
		confirmConnections();
	}

	/**
	 * Ends a dispatch, which must be open.
	 */
	void ended(Job job, int dispatch, DispatchOutcome outcome) {
		if (outcome == DispatchOutcome.DONE) {
			supersedeOthers(job, dispatch);
		}
		this.open.getOrDefault(job.id(), new HashMap<>()).remove(dispatch);
		this.dispatcher.dispatchEnded(job, dispatch, outcome, this.nowNanos);
		confirmConnections();
	}

	// The I/O thread cancels the others when a dispatch has output.
	private void supersedeOthers(Job job, int dispatch) {
		List<Integer> others = open(job).keySet().stream().filter((other) -> other != dispatch).toList();
		others.forEach((other) -> this.dispatcher.dispatchSuperseded(job, other, dispatch, this.nowNanos));
		confirmConnections();
	}

	/**
	 * Makes connections to a runner fail from now on.
	 */
	DispatcherHarness blockConnections(String runnerId) {
		this.blockedRunners.add(runnerId);
		return this;
	}

	// Establishes the required connections at once, unless they are blocked.
	private void confirmConnections() {
		List<DispatchEffect> newEffects = this.dispatcher.drainEffects();
		while (!newEffects.isEmpty()) {
			this.effects.addAll(newEffects);
			for (DispatchEffect effect : newEffects) {
				updateOpen(effect);
				if (effect instanceof DispatchEffect.Send send && send.requiresNewConnection()
						&& !this.blockedRunners.contains(send.runner().id())) {
					this.dispatcher.connectionEstablished(send.job(), send.dispatch(), this.nowNanos);
				}
			}
			newEffects = this.dispatcher.drainEffects();
		}
	}

	private void updateOpen(DispatchEffect effect) {
		Map<Integer, RunnerInfo> dispatches = this.open.computeIfAbsent(effect.job().id(), (id) -> new TreeMap<>());
		switch (effect) {
			case DispatchEffect.Send send -> dispatches.put(send.dispatch(), send.runner());
			case DispatchEffect.Cancel cancel -> dispatches.remove(cancel.dispatch());
			case DispatchEffect.Refuse refuse -> dispatches.clear();
			case DispatchEffect.Fail fail -> dispatches.clear();
			case DispatchEffect.ForwardError error -> dispatches.clear();
		}
	}

	/**
	 * Returns the effects since the previous call.
	 */
	List<DispatchEffect> drain() {
		confirmConnections();
		List<DispatchEffect> drained = List.copyOf(this.effects);
		this.effects.clear();
		return drained;
	}

	/**
	 * Returns descriptions of the effects since the previous call, for example {@code
	 * Send:r1}.
	 */
	List<String> effectNames() {
		List<String> names = new ArrayList<>();
		for (DispatchEffect effect : drain()) {
			names.add(switch (effect) {
				case DispatchEffect.Send send -> "Send:" + send.runner().id();
				case DispatchEffect.Refuse refuse -> "Refuse:" + refuse.code().name();
				case DispatchEffect.Fail fail -> "Fail:" + fail.code().name();
				case DispatchEffect.Cancel stop -> "Stop";
				case DispatchEffect.ForwardError passOn -> "PassOn";
			});
		}
		return names;
	}

}
