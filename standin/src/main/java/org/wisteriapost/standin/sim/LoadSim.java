package org.wisteriapost.standin.sim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wisteriapost.policy.request.GateCodes;
import org.wisteriapost.policy.request.Request;
import org.wisteriapost.policy.request.RequestEffect;
import org.wisteriapost.policy.request.RequestEvent;

/**
 * Runs a load through entries and runners in virtual time.
 *
 * Reports come once a second and late; links take half a millisecond; a claim takes four.
 * The same profile, policy and seed give the same run.
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

	private static final double FIRST_BYTE = 0.1;

	private final LoadProfile profile;

	private final UniformRandomProvider random;

	private final PriorityQueue<Step> steps = new PriorityQueue<>(
			Comparator.comparingLong(Step::nanos).thenComparingLong(Step::number));

	private final List<EntryPolicy> entries = new ArrayList<>();

	private final Map<String, RunnerSim> runners = new HashMap<>();

	private final List<RunnerSim> runnerList = new ArrayList<>();

	private final Map<Long, Caller> callers = new HashMap<>();

	private final LoadResult result = new LoadResult();

	private final long endNanos;

	private long nowNanos;

	private long stepNumber;

	private long requestNumber;

	private LoadSim(LoadProfile profile, EntryPolicy.Factory factory, long seed) {
		this.profile = profile;
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		this.endNanos = profile.length().toNanos();
		for (int each = 0; each < profile.entries(); each++) {
			this.entries.add(factory.create(profile, seed * 31 + each));
		}
		for (int each = 0; each < profile.runners(); each++) {
			RunnerSim runner = new RunnerSim("runner-" + each, "place-" + each % 3, profile.slots());
			this.runners.put(runner.name, runner);
			this.runnerList.add(runner);
		}
	}

	/**
	 * Returns what the callers met in one run.
	 */
	public static LoadResult run(LoadProfile profile, EntryPolicy.Factory factory, long seed) {
		return new LoadSim(profile, factory, seed).run();
	}

	private LoadResult run() {
		start();
		long last = this.endNanos + Duration.ofSeconds(30).toNanos();
		while (!this.steps.isEmpty() && this.steps.peek().nanos() <= last) {
			Step step = this.steps.poll();
			this.nowNanos = step.nanos();
			step.action().run();
		}
		this.callers.values().forEach((caller) -> caller.group.fail());
		this.result.ideal(Math.min(this.result.all().askedCost(),
				this.profile.unitsPerSecond() * this.profile.length().toMillis() / 1000.0));
		for (EntryPolicy entry : this.entries) {
			entry.violations().keySet().forEach(this.result::violation);
		}
		return this.result;
	}

	private void start() {
		for (int entry = 0; entry < this.entries.size(); entry++) {
			apply(entry, new RequestEvent.HeadRead(1, Map.of(SERVICE, Set.of(DIGEST))));
			int own = entry;
			after(TICK_NANOS * entry / this.entries.size(), () -> tick(own));
		}
		for (RunnerSim runner : this.runnerList) {
			report(runner);
			after((long) (REPORT_NANOS * this.random.nextDouble()), () -> reportEverySecond(runner));
		}
		this.profile.demands().forEach((demand) -> after(gap(demand), () -> arrive(demand)));
		for (LoadProfile.Fault fault : this.profile.faults()) {
			after(fault.at().toNanos(), () -> strike(fault));
		}
	}

	private void tick(int entry) {
		apply(entry, new RequestEvent.Tick());
		if (this.nowNanos < this.endNanos || !this.callers.isEmpty()) {
			after(TICK_NANOS, () -> tick(entry));
		}
	}

	private void reportEverySecond(RunnerSim runner) {
		if (runner.state != LoadProfile.Fault.Kind.LOST) {
			report(runner);
		}
		if (this.nowNanos < this.endNanos || !this.callers.isEmpty()) {
			after(REPORT_NANOS, () -> reportEverySecond(runner));
		}
	}

	private void report(RunnerSim runner) {
		RequestEvent seen = new RequestEvent.RunnerReported(runner.view());
		long lag = (this.nowNanos == 0) ? 0 : (long) (REPORT_LAG_NANOS * this.random.nextDouble());
		for (int entry = 0; entry < this.entries.size(); entry++) {
			int own = entry;
			after(lag, () -> {
				if (runner.state != LoadProfile.Fault.Kind.LOST) {
					apply(own, seen);
				}
			});
		}
	}

	private void strike(LoadProfile.Fault fault) {
		RunnerSim runner = this.runnerList.get(fault.runner());
		runner.state = fault.kind();
		if (fault.kind() == LoadProfile.Fault.Kind.LOST) {
			List<RunnerSim.Call> calls = new ArrayList<>(runner.running.values());
			calls.addAll(runner.waiting);
			runner.running.clear();
			runner.waiting.clear();
			for (int entry = 0; entry < this.entries.size(); entry++) {
				apply(entry, new RequestEvent.RunnerDisconnected(runner.name));
			}
			calls.sort(Comparator.comparingLong(RunnerSim.Call::number));
			calls.forEach((call) -> failed(call, runner, false, "link-lost", 0));
		}
		if (fault.kind() == LoadProfile.Fault.Kind.WELL) {
			report(runner);
		}
	}

	private long gap(Demand demand) {
		double seconds = -Math.log(1 - this.random.nextDouble()) / demand.rateAt(this.nowNanos);
		return (long) (seconds * Duration.ofSeconds(1).toNanos());
	}

	private void arrive(Demand demand) {
		if (this.nowNanos >= this.endNanos) {
			return;
		}
		after(gap(demand), () -> arrive(demand));
		boolean any = demand.entry() == Demand.ANY_ENTRY;
		int entry = any ? this.random.nextInt(this.entries.size()) : demand.entry() % this.entries.size();
		long id = ++this.requestNumber;
		Request request = new Request(id, demand.organisation(), SERVICE, demand.priority(),
				this.nowNanos + demand.deadline().toNanos(), demand.idempotent(), 0, demand.cost());
		Caller caller = new Caller(request, entry, this.nowNanos,
				this.result.group(demand.organisation(), demand.priority()));
		this.callers.put(id, caller);
		caller.group.ask(demand.cost());
		this.result.all().ask(demand.cost());
		apply(entry, new RequestEvent.Arrived(request));
	}

	private void apply(int entry, RequestEvent event) {
		for (RequestEffect effect : this.entries.get(entry).apply(event, this.nowNanos)) {
			Caller caller = this.callers.get(effect.id());
			switch (effect) {
				case RequestEffect.Claim claim ->
					after(CLAIM_NANOS, () -> apply(entry, new RequestEvent.Claimed(claim.id())));
				case RequestEffect.Dispatch dispatch -> dispatch(caller, this.runners.get(dispatch.runner()));
				case RequestEffect.Refuse refuse -> refuse(caller, refuse.code());
				case RequestEffect.AnswerUnknown gaveUp -> giveUp(caller, gaveUp.code());
				case RequestEffect.Cancel cancel -> {
					RunnerSim runner = this.runners.get(cancel.runner());
					after(LINK_NANOS, () -> cancel(runner, cancel.id()));
				}
			}
		}
	}

	private void dispatch(Caller caller, RunnerSim runner) {
		this.result.countDispatch();
		RunnerSim.Call call = new RunnerSim.Call(caller, ++this.stepNumber);
		after(LINK_NANOS, () -> take(runner, call));
	}

	private void take(RunnerSim runner, RunnerSim.Call call) {
		if (runner.state == LoadProfile.Fault.Kind.LOST) {
			failed(call, runner, true, "link-lost", 0);
			return;
		}
		if (runner.full()) {
			await(runner, call);
			return;
		}
		begin(runner, call);
	}

	private void await(RunnerSim runner, RunnerSim.Call call) {
		boolean gated = this.entries.get(call.caller().entry).gated();
		runner.waiting.addLast(call);
		if (gated && runner.waiting.size() > this.profile.gateQueue()) {
			this.result.countGateRefusal();
			failed(runner.pushOut(), runner, true, GateCodes.FULL.name(), GATE_RETRY_MILLIS);
		}
	}

	private void begin(RunnerSim runner, RunnerSim.Call call) {
		Caller caller = call.caller();
		runner.running.put(caller.request.id(), call);
		caller.runs++;
		if (caller.runs == 1) {
			this.result.all().firstDispatch();
		}
		if (caller.runs > 1 && !caller.request.idempotent()) {
			this.result.violation("runner-saw-a-second-run");
		}
		if (caller.refused) {
			this.result.violation("runner-ran-what-was-refused");
		}
		if (runner.state == LoadProfile.Fault.Kind.FAILING) {
			runner.running.remove(caller.request.id());
			failed(call, runner, false, "engine-failed", 0);
			return;
		}
		double noise = 0.8 + 0.4 * this.random.nextDouble();
		double nanos = caller.request.cost() * this.profile.unit().toNanos() * runner.slowness() * noise;
		after((long) (nanos * FIRST_BYTE) + LINK_NANOS, () -> toCaller(runner, call, false));
		after((long) nanos, () -> finish(runner, call));
	}

	private void finish(RunnerSim runner, RunnerSim.Call call) {
		if (runner.running.remove(call.caller().request.id(), call)) {
			next(runner);
			after(LINK_NANOS, () -> toCaller(runner, call, true));
		}
	}

	private void toCaller(RunnerSim runner, RunnerSim.Call call, boolean whole) {
		long id = call.caller().request.id();
		if (!whole) {
			if (runner.running.get(id) == call) {
				apply(call.caller().entry, new RequestEvent.AnswerStarted(id));
			}
			return;
		}
		Caller caller = this.callers.remove(id);
		if (caller != null) {
			boolean good = this.nowNanos <= caller.request.deadlineNanos();
			boolean counts = good && this.nowNanos <= this.endNanos;
			long micros = Duration.ofNanos(this.nowNanos - caller.arrivedNanos).toNanos() / 1000;
			int cost = counts ? caller.request.cost() : 0;
			caller.group.answer(cost, micros, good);
			this.result.all().answer(cost, micros, good);
		}
		apply(call.caller().entry, new RequestEvent.AnswerCompleted(id));
	}

	private void failed(RunnerSim.Call call, RunnerSim runner, boolean notRun, String code, long retryMillis) {
		after(LINK_NANOS, () -> apply(call.caller().entry,
				new RequestEvent.DispatchFailed(call.caller().request.id(), runner.name, notRun, code, retryMillis)));
	}

	private void cancel(RunnerSim runner, long id) {
		runner.waiting.removeIf((call) -> call.caller().request.id() == id);
		if (runner.running.remove(id) != null) {
			next(runner);
		}
	}

	private void next(RunnerSim runner) {
		if (!runner.full() && !runner.waiting.isEmpty()) {
			begin(runner, runner.nextWaiting(this.entries.getFirst().gated()));
		}
	}

	private void refuse(Caller caller, String code) {
		if (caller == null) {
			this.result.violation("second-final-answer");
			return;
		}
		this.callers.remove(caller.request.id());
		caller.refused = true;
		if (caller.runs > 0) {
			this.result.violation("runner-ran-what-was-refused");
		}
		caller.group.refuse();
		this.result.all().refuse();
		this.result.countCode(code);
		this.result.refusals().recordValue((this.nowNanos - caller.arrivedNanos) / 1000);
	}

	private void giveUp(Caller caller, String code) {
		if (caller == null) {
			this.result.violation("second-final-answer");
			return;
		}
		this.callers.remove(caller.request.id());
		caller.group.fail();
		this.result.all().fail();
		this.result.countCode(code);
	}

	private void after(long nanos, Runnable action) {
		this.steps.add(new Step(this.nowNanos + nanos, ++this.stepNumber, action));
	}

	private record Step(long nanos, long number, Runnable action) {
	}

	/**
	 * One request's caller.
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
