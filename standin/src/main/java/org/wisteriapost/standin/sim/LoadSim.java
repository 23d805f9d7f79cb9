package org.wisteriapost.standin.sim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wisteriapost.policy.request.GateCodes;
import org.wisteriapost.policy.request.Request;
import org.wisteriapost.policy.request.RequestEffect;
import org.wisteriapost.policy.request.RequestEvent;

/**
 * Discrete-event simulation of a workload over entries and runners in virtual time.
 *
 * Runners report their status once a second, and reports arrive with a random delay. The
 * network and the claim store have constant latencies. Runs with the same profile, policy
 * and seed are identical.
 */
public final class LoadSim {

	static final String SERVICE = "lm-notice";

	static final String DIGEST = "d1";

	private static final long LINK_NANOS = Duration.ofNanos(500_000).toNanos();

	private static final long CLAIM_NANOS = Duration.ofMillis(4).toNanos();

	private static final long REPORT_NANOS = Duration.ofSeconds(1).toNanos();

	private static final long REPORT_LAG_NANOS = Duration.ofMillis(100).toNanos();

	private static final long TICK_NANOS = Duration.ofMillis(20).toNanos();

	private static final long GATE_RETRY_MILLIS = 20;

	private static final double FIRST_BYTE_FRACTION = 0.1;

	private final LoadProfile profile;

	private final UniformRandomProvider random;

	private final EventQueue events = new EventQueue();

	private final List<EntryPolicy> entries = new ArrayList<>();

	private final Map<String, SimulatedRunner> runners = new HashMap<>();

	private final List<SimulatedRunner> runnerList = new ArrayList<>();

	private final Map<Long, Caller> callers = new HashMap<>();

	private final LoadResult result = new LoadResult();

	private final long endNanos;

	private long lastSequence;

	private long lastRequestId;

	private LoadSim(LoadProfile profile, EntryPolicy.Factory factory, long seed) {
		this.profile = profile;
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		this.endNanos = profile.duration().toNanos();
		for (int each = 0; each < profile.entries(); each++) {
			this.entries.add(factory.create(profile, seed * 31 + each));
		}
		for (int each = 0; each < profile.runners(); each++) {
			SimulatedRunner runner = new SimulatedRunner("runner-" + each, "place-" + each % 3, profile.slots());
			this.runners.put(runner.name, runner);
			this.runnerList.add(runner);
		}
	}

	/**
	 * Simulates one run and returns its outcomes.
	 */
	public static LoadResult run(LoadProfile profile, EntryPolicy.Factory factory, long seed) {
		return new LoadSim(profile, factory, seed).run();
	}

	private LoadResult run() {
		start();
		long limitNanos = this.endNanos + Duration.ofSeconds(30).toNanos();
		this.events.runUntil(limitNanos);
		this.callers.values().forEach((caller) -> caller.group.recordFailure());
		this.result.setIdealCost(Math.min(this.result.all().requestedCost(),
				this.profile.capacityPerSecond() * this.profile.duration().toMillis() / 1000.0));
		for (EntryPolicy entry : this.entries) {
			entry.violations().keySet().forEach(this.result::recordViolation);
		}
		return this.result;
	}

	private void start() {
		for (int entry = 0; entry < this.entries.size(); entry++) {
			apply(entry, new RequestEvent.HeadRead(1, Map.of(SERVICE, Set.of(DIGEST))));
			int entryIndex = entry;
			schedule(TICK_NANOS * entry / this.entries.size(), () -> tick(entryIndex));
		}
		for (SimulatedRunner runner : this.runnerList) {
			publishReport(runner);
			schedule((long) (REPORT_NANOS * this.random.nextDouble()), () -> publishReportPeriodically(runner));
		}
		this.profile.streams().forEach((stream) -> schedule(nextInterarrivalNanos(stream), () -> arrive(stream)));
		for (LoadProfile.Fault fault : this.profile.faults()) {
			schedule(fault.at().toNanos(), () -> injectFault(fault));
		}
	}

	private void tick(int entry) {
		apply(entry, new RequestEvent.Tick());
		if (this.events.nowNanos() < this.endNanos || !this.callers.isEmpty()) {
			schedule(TICK_NANOS, () -> tick(entry));
		}
	}

	private void publishReportPeriodically(SimulatedRunner runner) {
		if (runner.state != LoadProfile.Fault.Kind.UNREACHABLE) {
			publishReport(runner);
		}
		if (this.events.nowNanos() < this.endNanos || !this.callers.isEmpty()) {
			schedule(REPORT_NANOS, () -> publishReportPeriodically(runner));
		}
	}

	private void publishReport(SimulatedRunner runner) {
		RequestEvent seen = new RequestEvent.RunnerReported(runner.view());
		long lag = (this.events.nowNanos() == 0) ? 0 : (long) (REPORT_LAG_NANOS * this.random.nextDouble());
		for (int entry = 0; entry < this.entries.size(); entry++) {
			int entryIndex = entry;
			schedule(lag, () -> {
				if (runner.state != LoadProfile.Fault.Kind.UNREACHABLE) {
					apply(entryIndex, seen);
				}
			});
		}
	}

	private void injectFault(LoadProfile.Fault fault) {
		SimulatedRunner runner = this.runnerList.get(fault.runner());
		runner.state = fault.kind();
		if (fault.kind() == LoadProfile.Fault.Kind.UNREACHABLE) {
			List<SimulatedRunner.Call> calls = new ArrayList<>(runner.running.values());
			calls.addAll(runner.waiting);
			runner.running.clear();
			runner.waiting.clear();
			for (int entry = 0; entry < this.entries.size(); entry++) {
				apply(entry, new RequestEvent.RunnerDisconnected(runner.name));
			}
			calls.sort(Comparator.comparingLong(SimulatedRunner.Call::sequence));
			calls.forEach((call) -> reportFailure(call, runner, false, "link-lost", 0));
		}
		if (fault.kind() == LoadProfile.Fault.Kind.HEALTHY) {
			publishReport(runner);
		}
	}

	private long nextInterarrivalNanos(RequestStream stream) {
		double seconds = -Math.log(1 - this.random.nextDouble()) / stream.rateAt(this.events.nowNanos());
		return (long) (seconds * Duration.ofSeconds(1).toNanos());
	}

	private void arrive(RequestStream stream) {
		if (this.events.nowNanos() >= this.endNanos) {
			return;
		}
		schedule(nextInterarrivalNanos(stream), () -> arrive(stream));
		boolean anyEntry = stream.entry() == RequestStream.ANY_ENTRY;
		int entry = anyEntry ? this.random.nextInt(this.entries.size()) : stream.entry() % this.entries.size();
		long id = ++this.lastRequestId;
		Request request = new Request(id, stream.organisation(), SERVICE, stream.priority(),
				this.events.nowNanos() + stream.deadline().toNanos(), stream.idempotent(), 0, stream.cost());
		Caller caller = new Caller(request, entry, this.events.nowNanos(),
				this.result.group(stream.organisation(), stream.priority()));
		this.callers.put(id, caller);
		caller.group.recordRequest(stream.cost());
		this.result.all().recordRequest(stream.cost());
		apply(entry, new RequestEvent.Arrived(request));
	}

	private void apply(int entry, RequestEvent event) {
		for (RequestEffect effect : this.entries.get(entry).apply(event, this.events.nowNanos())) {
			Caller caller = this.callers.get(effect.id());
			switch (effect) {
				case RequestEffect.Claim claim ->
					schedule(CLAIM_NANOS, () -> apply(entry, new RequestEvent.Claimed(claim.id())));
				case RequestEffect.Dispatch dispatch -> dispatch(caller, this.runners.get(dispatch.runner()));
				case RequestEffect.Refuse refuse -> refuse(caller, refuse.code());
				case RequestEffect.AnswerUnknown giveUp -> abandon(caller, giveUp.code());
				case RequestEffect.Cancel cancel -> {
					SimulatedRunner runner = this.runners.get(cancel.runner());
					schedule(LINK_NANOS, () -> cancel(runner, cancel.id()));
				}
			}
		}
	}

	private void dispatch(Caller caller, SimulatedRunner runner) {
		this.result.countDispatch();
		SimulatedRunner.Call call = new SimulatedRunner.Call(caller, ++this.lastSequence);
		schedule(LINK_NANOS, () -> receive(runner, call));
	}

	private void receive(SimulatedRunner runner, SimulatedRunner.Call call) {
		if (runner.state == LoadProfile.Fault.Kind.UNREACHABLE) {
			reportFailure(call, runner, true, "link-lost", 0);
			return;
		}
		if (runner.full()) {
			enqueue(runner, call);
			return;
		}
		startCall(runner, call);
	}

	private void enqueue(SimulatedRunner runner, SimulatedRunner.Call call) {
		boolean gated = this.entries.get(call.caller().entry).gated();
		runner.waiting.addLast(call);
		if (gated && runner.waiting.size() > this.profile.gateQueue()) {
			this.result.countGateRefusal();
			reportFailure(runner.evictLeastUrgent(), runner, true, GateCodes.FULL.name(), GATE_RETRY_MILLIS);
		}
	}

	private void startCall(SimulatedRunner runner, SimulatedRunner.Call call) {
		Caller caller = call.caller();
		runner.running.put(caller.request.id(), call);
		caller.runs++;
		if (caller.runs == 1) {
			this.result.all().recordFirstDispatch();
		}
		if (caller.runs > 1 && !caller.request.idempotent()) {
			this.result.recordViolation("runner-saw-a-second-run");
		}
		if (caller.refused) {
			this.result.recordViolation("runner-ran-what-was-refused");
		}
		if (runner.state == LoadProfile.Fault.Kind.FAILING) {
			runner.running.remove(caller.request.id());
			reportFailure(call, runner, false, "engine-failed", 0);
			return;
		}
		double jitter = 0.8 + 0.4 * this.random.nextDouble();
		double nanos = caller.request.cost() * this.profile.unitDuration().toNanos() * runner.slowdown() * jitter;
		schedule((long) (nanos * FIRST_BYTE_FRACTION) + LINK_NANOS, () -> deliver(runner, call, false));
		schedule((long) nanos, () -> finish(runner, call));
	}

	private void finish(SimulatedRunner runner, SimulatedRunner.Call call) {
		if (runner.running.remove(call.caller().request.id(), call)) {
			startNextWaiting(runner);
			schedule(LINK_NANOS, () -> deliver(runner, call, true));
		}
	}

	private void deliver(SimulatedRunner runner, SimulatedRunner.Call call, boolean complete) {
		long id = call.caller().request.id();
		if (!complete) {
			if (runner.running.get(id) == call) {
				apply(call.caller().entry, new RequestEvent.AnswerStarted(id));
			}
			return;
		}
		Caller caller = this.callers.remove(id);
		if (caller != null) {
			boolean inTime = this.events.nowNanos() <= caller.request.deadlineNanos();
			boolean countsForGoodput = inTime && this.events.nowNanos() <= this.endNanos;
			long micros = Duration.ofNanos(this.events.nowNanos() - caller.arrivedNanos).toNanos() / 1000;
			int cost = countsForGoodput ? caller.request.cost() : 0;
			caller.group.recordAnswer(cost, micros, inTime);
			this.result.all().recordAnswer(cost, micros, inTime);
		}
		apply(call.caller().entry, new RequestEvent.AnswerCompleted(id));
	}

	private void reportFailure(SimulatedRunner.Call call, SimulatedRunner runner, boolean notRun, String code,
			long retryMillis) {
		schedule(LINK_NANOS, () -> apply(call.caller().entry,
				new RequestEvent.DispatchFailed(call.caller().request.id(), runner.name, notRun, code, retryMillis)));
	}

	private void cancel(SimulatedRunner runner, long id) {
		runner.waiting.removeIf((call) -> call.caller().request.id() == id);
		if (runner.running.remove(id) != null) {
			startNextWaiting(runner);
		}
	}

	private void startNextWaiting(SimulatedRunner runner) {
		if (!runner.full() && !runner.waiting.isEmpty()) {
			startCall(runner, runner.nextWaiting(this.entries.getFirst().gated()));
		}
	}

	private void refuse(Caller caller, String code) {
		if (caller == null) {
			this.result.recordViolation("second-final-answer");
			return;
		}
		this.callers.remove(caller.request.id());
		caller.refused = true;
		if (caller.runs > 0) {
			this.result.recordViolation("runner-ran-what-was-refused");
		}
		caller.group.recordRefusal();
		this.result.all().recordRefusal();
		this.result.countCode(code);
		this.result.refusalLatencies().recordValue((this.events.nowNanos() - caller.arrivedNanos) / 1000);
	}

	private void abandon(Caller caller, String code) {
		if (caller == null) {
			this.result.recordViolation("second-final-answer");
			return;
		}
		this.callers.remove(caller.request.id());
		caller.group.recordFailure();
		this.result.all().recordFailure();
		this.result.countCode(code);
	}

	private void schedule(long nanos, Runnable action) {
		this.events.schedule(nanos, action);
	}

	/**
	 * The caller of one request, and what has happened to the request so far.
	 */
	static final class Caller {

		final Request request;

		final int entry;

		final long arrivedNanos;

		final LoadResult.Group group;

		int runs;

		boolean refused;

		Caller(Request request, int entry, long arrivedNanos, LoadResult.Group group) {
			this.request = request;
			this.entry = entry;
			this.arrivedNanos = arrivedNanos;
			this.group = group;
		}

	}

}
