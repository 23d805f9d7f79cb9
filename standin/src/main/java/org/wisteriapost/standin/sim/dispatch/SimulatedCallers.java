package org.wisteriapost.standin.sim.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.apache.commons.rng.UniformRandomProvider;
import org.wisteriapost.policy.dispatch.Job;
import org.wisteriapost.policy.routing.Organisation;
import org.wisteriapost.policy.routing.Route;
import org.wisteriapost.standin.sim.EventQueue;

/**
 * The callers of a simulation. Each attempt goes to a random entry.
 */
final class SimulatedCallers {

	private static final long LINK_NANOS = Duration.ofMillis(3).toNanos();

	private static final int MAX_ANSWER_FACTOR = 4;

	private final Map<RequestKind, Route> routes;

	private final EngineProfile engines;

	private final EventQueue events;

	private final UniformRandomProvider random;

	private final DispatchResult result;

	private final Map<Long, SimulatedCaller> byAttempt = new HashMap<>();

	private List<SimulatedEntry> entries = List.of();

	private long lastAttempt;

	private long lastCaller;

	SimulatedCallers(Map<RequestKind, Route> routes, EngineProfile engines, EventQueue events,
			UniformRandomProvider random, DispatchResult result) {
		this.routes = routes;
		this.engines = engines;
		this.events = events;
		this.random = random;
		this.result = result;
	}

	void connect(List<SimulatedEntry> all) {
		this.entries = all;
	}

	/**
	 * Adds a caller that sends its request now.
	 */
	void add(RequestKind kind, Optional<Integer> organisation) {
		SimulatedCaller caller = SimulatedCaller.create(++this.lastCaller, kind, organisation, this.engines.spec(),
				this.random, this.events.nowNanos());
		this.result.recordRequest(caller);
		attempt(caller);
	}

	SimulatedCaller of(Job job) {
		return this.byAttempt.get(job.id());
	}

	private void attempt(SimulatedCaller caller) {
		caller.startAttempt();
		SimulatedEntry entry = this.entries.get(this.random.nextInt(this.entries.size()));
		this.events.schedule(LINK_NANOS, () -> {
			long id = ++this.lastAttempt;
			Job.Attempt attempt = new Job.Attempt("attempt-" + id, caller.id(), OptionalLong.of(caller.id()),
					Optional.empty());
			Job.Size size = new Job.Size(caller.promptTokens(),
					MAX_ANSWER_FACTOR * this.engines.spec().meanAnswerTokens(), OptionalInt.of(caller.lengthHint()));
			this.byAttempt.put(id, caller);
			Route route = this.routes.get(caller.kind());
			Optional<Organisation> organisation = caller.organisation()
				.map((number) -> new Organisation("organisation-" + number, OptionalInt.empty()));
			entry.arrive(Job.create(id, attempt, route, route.selectService(0), organisation, size,
					this.events.nowNanos(), caller.deadlineNanos()));
		});
	}

	void eventSent(Job job, boolean last) {
		SimulatedCaller caller = of(job);
		this.events.schedule(LINK_NANOS, () -> {
			caller.receiveEvent(this.events.nowNanos());
			if (last) {
				this.result.recordAnswer(caller, caller.inTime());
			}
		});
	}

	void refused(Job job, long retryAfterMillis) {
		SimulatedCaller caller = of(job);
		caller.held(this.events.nowNanos() - job.arrivedNanos(), job.deadlineNanos() - job.arrivedNanos());
		this.events.schedule(LINK_NANOS, () -> {
			if (!caller.mayReturn() || retryAfterMillis == 0) {
				this.result.recordRefusal(caller);
				return;
			}
			this.result.recordReturn();
			long delay = caller.returnDelayNanos(retryAfterMillis, this.events.nowNanos());
			this.events.schedule(delay, () -> attempt(caller));
		});
	}

	void failed(Job job) {
		this.result.recordFailure();
	}

}
