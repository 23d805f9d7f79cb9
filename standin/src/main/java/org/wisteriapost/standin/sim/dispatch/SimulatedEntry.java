package org.wisteriapost.standin.sim.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.apache.commons.rng.UniformRandomProvider;
import org.wisteriapost.policy.admission.ContentionReport;
import org.wisteriapost.policy.dispatch.DispatchEffect;
import org.wisteriapost.policy.dispatch.DispatchLimits;
import org.wisteriapost.policy.dispatch.DispatchOutcome;
import org.wisteriapost.policy.dispatch.Dispatcher;
import org.wisteriapost.policy.dispatch.EntryCount;
import org.wisteriapost.policy.dispatch.Job;
import org.wisteriapost.policy.dispatch.LoadReportInterval;
import org.wisteriapost.policy.dispatch.RefusedRequest;
import org.wisteriapost.policy.dispatch.RunnerLoad;
import org.wisteriapost.policy.fleet.EntryLinks;
import org.wisteriapost.policy.routing.RouteTable;
import org.wisteriapost.standin.sim.EventQueue;

/**
 * One entry of the simulation: the production dispatcher, its connections to the engines
 * and its load reports to the other entries.
 */
final class SimulatedEntry {

	private static final long LOCAL_LINK_NANOS = 300_000;

	private static final long REMOTE_LINK_NANOS = Duration.ofMillis(2).toNanos();

	private static final long TICK_NANOS = Duration.ofMillis(LoadReportInterval.TICK_MILLIS).toNanos();

	private static final int FULL_REPORT_TICKS = 50;

	private static final double RETRY_RATIO = 0.2;

	private static final int FIXED_RETRIES = 100;

	private static final Duration RETRY_WINDOW = Duration.ofSeconds(10);

	private static final Duration ACTIVATION_DELAY = Duration.ofSeconds(9);

	private final String name;

	private final String failureDomain;

	private final Dispatcher dispatcher;

	private final EventQueue events;

	private final Map<String, SimulatedEngine> engines;

	private final SimulatedCallers callers;

	// By request and dispatch number.
	private final Map<Long, Map<Integer, SimulatedEngine.Run>> runs = new HashMap<>();

	private final ReportGroup localPeers = new ReportGroup();

	private final ReportGroup remotePeers = new ReportGroup();

	private LoadReportInterval interval = LoadReportInterval.toPeers(0, 0);

	private final int entryCount;

	private final List<SimulatedEntry> relayTargets = new ArrayList<>();

	private int ticks;

	SimulatedEntry(String name, String failureDomain, RouteTable routes, DispatchProfile profile, EventQueue events,
			Map<String, SimulatedEngine> engines, SimulatedCallers callers, UniformRandomProvider random) {
		this.name = name;
		this.failureDomain = failureDomain;
		this.events = events;
		this.engines = engines;
		this.callers = callers;
		DispatchLimits limits = new DispatchLimits(failureDomain, RETRY_RATIO, FIXED_RETRIES, RETRY_WINDOW,
				ACTIVATION_DELAY);
		this.dispatcher = Dispatcher.create(limits.withFinalRefusals(profile.finalRefusals()), random);
		this.dispatcher.updateRouteTable(routes);
		this.entryCount = profile.entries();
	}

	String name() {
		return this.name;
	}

	Dispatcher dispatcher() {
		return this.dispatcher;
	}

	/**
	 * Starts the periodic work of the entry.
	 * @param others the entries that it reports to
	 */
	void start(List<SimulatedEntry> others) {
		List<SimulatedEntry> local = others.stream().filter(this::isLocal).toList();
		List<SimulatedEntry> remote = others.stream().filter((other) -> !isLocal(other)).toList();
		this.localPeers.members.addAll(local);
		boolean scoped = EntryLinks.scopedByFailureDomain(this.entryCount);
		if (!scoped) {
			this.remotePeers.members.addAll(remote);
		}
		else if (local.stream().allMatch((other) -> this.name.compareTo(other.name) < 0)) {
			this.relayTargets.addAll(remote);
		}
		this.dispatcher.updateEntryCount(new EntryCount(this.entryCount, local.size() + 1, scoped));
		this.interval = LoadReportInterval.toPeers(local.size(), this.remotePeers.members.size());
		tick();
	}

	// Large fleets report the sum of a failure domain to the others.
	private void relay() {
		List<RunnerLoad> sums = this.dispatcher.fleetView().failureDomainLoad(now());
		this.relayTargets.forEach((other) -> this.events
			.schedule(linkNanos(other.failureDomain) + LOCAL_LINK_NANOS, () -> sums.forEach(
					(sum) -> other.dispatcher.peerLoads().updateFailureDomain(this.failureDomain, sum, other.now()))));
	}

	private void tick() {
		this.events.schedule(TICK_NANOS, () -> {
			this.ticks++;
			this.dispatcher.tick(now());
			applyEffects();
			if (this.ticks % this.interval.localTicks() == 0) {
				this.localPeers.report();
			}
			if (this.ticks % this.interval.remoteTicks() == 0) {
				this.remotePeers.report();
			}
			if (this.ticks % LoadReportInterval.relayTicks(this.localPeers.members.size()) == 0) {
				relay();
			}
			tick();
		});
	}

	private boolean isLocal(SimulatedEntry other) {
		return other.failureDomain.equals(this.failureDomain);
	}

	private void reportReceived(String from, List<RunnerLoad> loads, List<RefusedRequest> refusals,
			List<ContentionReport> contended) {
		contended.forEach((report) -> this.dispatcher.contention().reported(from, report, now()));
		refusals.forEach((refusal) -> this.dispatcher.recordPeerRefusal(refusal));
		loads.forEach((load) -> this.dispatcher.peerLoads().update(from, load, now()));
	}

	void arrive(Job job) {
		this.dispatcher.requestArrived(job, now());
		applyEffects();
	}

	/**
	 * Applies a change to the dispatcher and carries out what it decides.
	 */
	void update(Runnable change) {
		change.run();
		applyEffects();
	}

	private void applyEffects() {
		List<DispatchEffect> effects = this.dispatcher.drainEffects();
		while (!effects.isEmpty()) {
			effects.forEach(this::apply);
			effects = this.dispatcher.drainEffects();
		}
	}

	private void apply(DispatchEffect effect) {
		Job job = effect.job();
		switch (effect) {
			case DispatchEffect.Send send -> send(send);
			case DispatchEffect.Cancel cancel -> cancel(job, cancel.dispatch());
			case DispatchEffect.Refuse refuse -> {
				job.refusedRequest().ifPresent(this.localPeers.refused::add);
				job.refusedRequest().ifPresent(this.remotePeers.refused::add);
				this.callers.refused(job, refuse.retryAfterMillis());
			}
			case DispatchEffect.Fail fail -> this.callers.failed(job);
			case DispatchEffect.ForwardError error -> this.callers.failed(job);
		}
	}

	private void send(DispatchEffect.Send send) {
		Job job = send.job();
		SimulatedEngine engine = this.engines.get(send.runner().id());
		int dispatch = send.dispatch();
		SimulatedCaller caller = this.callers.of(job);
		long link = linkNanos(engine.failureDomain());
		SimulatedEngine.Run run = new SimulatedEngine.Run(send.rank(), caller.promptTokens(), caller.answerTokens(),
				new SimulatedEngine.Listener() {

					@Override
					public void event(boolean last) {
						SimulatedEntry.this.events.schedule(link, () -> eventReceived(job, dispatch, last));
					}

					@Override
					public void lost() {
						SimulatedEntry.this.events.schedule(link,
								() -> ended(job, dispatch, DispatchOutcome.DISCONNECTED));
					}

				});
		this.runs.computeIfAbsent(job.id(), (id) -> new TreeMap<>()).put(dispatch, run);
		this.events.schedule(link, () -> {
			if (!engine.reachable()) {
				this.events.schedule(link, () -> ended(job, dispatch, DispatchOutcome.NOT_SENT));
			}
			else if (isOpen(job, dispatch) && !engine.submit(run)) {
				this.events.schedule(link, () -> ended(job, dispatch, DispatchOutcome.FULL));
			}
		});
		if (send.requiresNewConnection()) {
			this.events.schedule(2 * link,
					() -> update(() -> this.dispatcher.connectionEstablished(job, dispatch, now())));
		}
	}

	private boolean isOpen(Job job, int dispatch) {
		return this.runs.getOrDefault(job.id(), Map.of()).containsKey(dispatch);
	}

	private Optional<SimulatedEngine.Run> remove(Job job, int dispatch) {
		Map<Integer, SimulatedEngine.Run> open = this.runs.getOrDefault(job.id(), Map.of());
		Optional<SimulatedEngine.Run> removed = Optional.ofNullable(open.remove(dispatch));
		if (open.isEmpty()) {
			this.runs.remove(job.id());
		}
		return removed;
	}

	private void cancel(Job job, int dispatch) {
		remove(job, dispatch).ifPresent((run) -> this.engines.values().forEach((engine) -> engine.cancel(run)));
	}

	// The first dispatch with output continues the answer.
	private void cancelOthers(Job job, int dispatch) {
		List<Integer> others = this.runs.get(job.id()).keySet().stream().filter((other) -> other != dispatch).toList();
		others.forEach((other) -> {
			cancel(job, other);
			update(() -> this.dispatcher.dispatchSuperseded(job, other, dispatch, now()));
		});
	}

	private void eventReceived(Job job, int dispatch, boolean last) {
		if (!isOpen(job, dispatch)) {
			return;
		}
		cancelOthers(job, dispatch);
		boolean first = job.events() == 0;
		job.recordEvents(1, Optional.of(String.valueOf(job.events() + 1)), now());
		this.callers.eventSent(job, last);
		if (first) {
			update(() -> this.dispatcher.firstEventSent(job, dispatch, now()));
		}
		if (last) {
			ended(job, dispatch, DispatchOutcome.DONE);
		}
	}

	private void ended(Job job, int dispatch, DispatchOutcome outcome) {
		if (remove(job, dispatch).isPresent()) {
			update(() -> this.dispatcher.dispatchEnded(job, dispatch, outcome, now()));
		}
	}

	private long linkNanos(String otherFailureDomain) {
		return otherFailureDomain.equals(this.failureDomain) ? LOCAL_LINK_NANOS : REMOTE_LINK_NANOS;
	}

	private long now() {
		return this.events.nowNanos();
	}

	/** Entries that get reports equally often. */
	private final class ReportGroup {

		private final List<SimulatedEntry> members = new ArrayList<>();

		private final Map<String, RunnerLoad> lastReported = new HashMap<>();

		private final List<RefusedRequest> refused = new ArrayList<>();

		private int nextFullTicks;

		private void report() {
			SimulatedEntry entry = SimulatedEntry.this;
			boolean full = entry.ticks >= this.nextFullTicks;
			this.nextFullTicks = full ? entry.ticks + FULL_REPORT_TICKS : this.nextFullTicks;
			List<RunnerLoad> loads = entry.dispatcher.fleetView()
				.ownLoad()
				.stream()
				.filter((load) -> full || !load.equals(this.lastReported.get(load.runnerId())))
				.toList();
			loads.forEach((load) -> this.lastReported.put(load.runnerId(), load));
			List<RefusedRequest> refusals = List.copyOf(this.refused);
			this.refused.clear();
			List<ContentionReport> contended = entry.dispatcher.contention().ownReports(entry.now());
			for (SimulatedEntry other : this.members) {
				entry.events.schedule(entry.linkNanos(other.failureDomain),
						() -> other.reportReceived(entry.name, loads, refusals, contended));
			}
		}

	}

}
