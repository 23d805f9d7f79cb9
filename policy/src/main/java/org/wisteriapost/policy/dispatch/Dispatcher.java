package org.wisteriapost.policy.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

import org.apache.commons.rng.UniformRandomProvider;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.policy.fleet.NamedWeights;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.policy.routing.EngineSpec;
import org.wisteriapost.policy.routing.RouteTable;

/**
 * Applies one event after the other to the requests in progress and says what is to be
 * done with them.
 *
 * The deciding classes stand beside it: {@link Placement} chooses the runner,
 * {@link Patience} says how long to wait for one, {@link Recovery} what becomes of a
 * request whose runner failed.
 */
public final class Dispatcher {

	/** No runner could be had in time. */
	public static final Code NO_ROOM = Code.refusal("no-room",
			"Every runner has as much work as it can answer in time.");

	/** No runner of the service can be used. */
	public static final Code NO_RUNNER = Code.refusal("no-usable-runner",
			"No runner of the service can be sent requests now.");

	/** Time ran out. */
	public static final Code TIME_OVER = Code.warning("time-over", "No whole answer came in the request's time.");

	/** The runner's answer broke off. */
	public static final Code RUN_BROKEN = Code.warning("run-broken",
			"The runner's answer broke off and the request may not run again.");

	private final RunnerBook book;

	private final RunnerWays ways;

	private final FleetView fleet;

	private final WeightsFence fence;

	private final ServicePaces paces = new ServicePaces();

	private final Placement placement;

	private final Patience patience;

	private final Recovery recovery;

	private final FinalAnswers answers;

	private final Map<Long, Job> jobs = new LinkedHashMap<>();

	private final WaitingRequests waiting = new WaitingRequests();

	private final RetryAllowances allowances;

	private List<DispatchEffect> effects = new ArrayList<>();

	private Optional<RouteTable> table = Optional.empty();

	private EntryCount entries = EntryCount.flat(1);

	private Dispatcher(DispatchLimits limits, UniformRandomProvider random) {
		this.book = new RunnerBook(new RunnerSubset(limits.place(), random.nextLong()));
		this.fleet = new FleetView(this.book, limits.place());
		this.fence = new WeightsFence(limits.weightsInForce());
		this.placement = new Placement(this.book, this.paces, this.fence, limits.place(), random);
		this.ways = new RunnerWays(this.book, this.placement, this::spec);
		this.allowances = new RetryAllowances(limits);
		this.patience = new Patience(random);
		this.recovery = new Recovery();
		this.answers = new FinalAnswers(this.patience, (effect) -> this.effects.add(effect));
	}

	/**
	 * Returns a dispatcher without any request or runner.
	 */
	public static Dispatcher create(DispatchLimits limits, UniformRandomProvider random) {
		return new Dispatcher(limits, random);
	}

	/**
	 * Returns what is to be done since the last call, in order.
	 */
	public List<DispatchEffect> drain() {
		List<DispatchEffect> drained = this.effects;
		this.effects = new ArrayList<>();
		return drained;
	}

	/**
	 * Returns how many requests are in progress.
	 */
	public int inProgress() {
		return this.jobs.size();
	}

	// What is believed.

	/**
	 * Takes a newer declaration of traffic.
	 */
	public void table(RouteTable newer) {
		this.table = Optional.of(newer);
	}

	/**
	 * Hears that weights were named.
	 * @param found whether they were named already when this entry first read the store
	 */
	public void named(NamedWeights weights, boolean found, long nowNanos) {
		this.fence.named(weights, found, nowNanos);
	}

	/**
	 * Hears all registered runners.
	 */
	public void runners(Collection<RunnerInfo> all, long nowNanos) {
		this.book.all(all, nowNanos);
		pump(nowNanos);
	}

	/**
	 * Hears of one runner and returns whether that is new.
	 */
	public boolean runner(RunnerInfo info, long nowNanos) {
		boolean news = this.book.put(info);
		if (news) {
			pump(nowNanos);
		}
		return news;
	}

	/**
	 * Hears that a runner's registration is gone.
	 */
	public void runnerRemoved(String id, long nowNanos) {
		this.book.removed(id, nowNanos);
	}

	/**
	 * Hears that a runner's registration names none that can be used any more.
	 */
	public void runnerUnusable(String id) {
		this.book.unusable(id);
	}

	/**
	 * Hears whether the site's store answers.
	 */
	public void store(boolean reachable, long nowNanos) {
		this.book.store(reachable, nowNanos);
	}

	/**
	 * Hears what the agent beside a runner says of it.
	 * @param address the runner's address
	 */
	public void agentSays(String address, EngineWord word, long nowNanos) {
		this.book.agentSays(address, word);
		pump(nowNanos);
	}

	/**
	 * Hears what another entry has at a runner.
	 */
	public void peerLoad(String peer, RunnerLoad said, long nowNanos) {
		this.book.find(said.runner())
			.filter((state) -> state.info.start().equals(said.start()))
			.ifPresent((state) -> state.heard(peer, said.load(), nowNanos));
	}

	/**
	 * Hears of a request that another entry has refused.
	 */
	public void peerRefused(RefusedRequest request) {
		this.patience.refused(request);
	}

	/**
	 * Returns the ways to runners.
	 */
	public RunnerWays ways() {
		return this.ways;
	}

	/**
	 * Hears that another entry cannot be heard any more: its requests have ended with it,
	 * or it is cut off.
	 */
	public void peerGone(String peer) {
		this.book.states().forEach((state) -> state.forget(peer));
	}

	/**
	 * Hears what all entries of another place have at a runner together.
	 */
	public void placeLoad(String place, RunnerLoad said, long nowNanos) {
		this.book.find(said.runner())
			.filter((state) -> state.info.start().equals(said.start()))
			.ifPresent((state) -> state.heardOfPlace(place, said.load(), nowNanos));
	}

	/**
	 * Hears how many entries there are.
	 */
	public void entries(EntryCount count) {
		this.entries = count;
		this.placement.entries(count);
	}

	/**
	 * Returns what is believed of the runners.
	 */
	public FleetView fleet() {
		return this.fleet;
	}

	// What happens to requests.

	/**
	 * Takes a request that has arrived.
	 */
	public void arrived(Job job, long nowNanos) {
		this.jobs.put(job.id(), job);
		this.patience.arrived(job);
		place(job, nowNanos);
	}

	/**
	 * Hears that a connection was made for a request, which goes out over it now.
	 */
	public void connected(Job job, long nowNanos) {
		job.runner.ifPresent((runner) -> {
			runner.way.connected(job.sentNanos);
			pump(nowNanos);
		});
	}

	/**
	 * Hears that the first event of an answer went out to the caller.
	 */
	public void firstEvent(Job job, long nowNanos) {
		if (job.over || job.firstSeen || job.runner.isEmpty()) {
			return;
		}
		job.firstSeen = true;
		job.headed = true;
		RunnerState runner = job.runner.get();
		runner.firstEvent(job);
		if (job.baseMillis > 0) {
			runner.waits.waited(job.sentLate, nowNanos - job.sentNanos, nowNanos);
			double ratio = (nowNanos - job.sentNanos) / (job.baseMillis * Placement.NANOS_PER_MILLI);
			runner.measured(ratio / this.paces.of(job.service()));
			this.paces.measured(job.service(), ratio);
		}
		pump(nowNanos);
	}

	/**
	 * Hears how the latest dispatch of a request ended.
	 */
	public void ended(Job job, Outcome outcome, long nowNanos) {
		release(job, outcome, nowNanos);
		if (job.over) {
			return;
		}
		switch (this.recovery.after(job, outcome)) {
			case FINISHED -> finish(job);
			case PASS_ON -> {
				finish(job);
				this.effects.add(new DispatchEffect.PassOn(job));
			}
			case FAIL -> giveUp(job, outcome, nowNanos);
			case AGAIN -> again(job, outcome, nowNanos);
		}
		pump(nowNanos);
	}

	/**
	 * Hears that the caller has gone.
	 */
	public void gone(Job job, long nowNanos) {
		if (!job.over) {
			stop(job);
			finish(job);
			pump(nowNanos);
		}
	}

	/**
	 * Looks at what time has brought.
	 */
	public void tick(long nowNanos) {
		this.book.tick(nowNanos);
		for (Job job : List.copyOf(this.jobs.values())) {
			if (nowNanos >= job.deadlineNanos()) {
				timeOver(job, nowNanos);
			}
			else if (job.runner.isPresent()) {
				watch(job, job.runner.get(), nowNanos);
			}
		}
		this.waiting.retryAll((job) -> goesOnWaiting(job, 0, nowNanos));
	}

	private void watch(Job job, RunnerState runner, long nowNanos) {
		if (job.baseMillis > 0 && !job.firstSeen) {
			runner.waits.waited(job.sentLate, nowNanos - job.sentNanos, nowNanos);
		}
		if (beginsTooLate(job, nowNanos)) {
			takeBack(job, nowNanos);
		}
		else if (this.recovery.stalled(job, nowNanos)) {
			leaveSilent(job, nowNanos);
		}
	}

	private boolean beginsTooLate(Job job, long nowNanos) {
		if (job.firstSeen || job.runner.isEmpty()) {
			return false;
		}
		return nowNanos >= this.placement.beginBy(job.runner.get(), spec(job));
	}

	// The runner is not to blame. The request may have begun this moment, so it goes on
	// elsewhere only if it may run twice.
	private void takeBack(Job job, long nowNanos) {
		stop(job);
		if (this.recovery.mayRunAgain(job)) {
			again(job, Outcome.BROKEN, nowNanos);
		}
		else {
			giveUp(job, Outcome.BROKEN, nowNanos);
		}
	}

	private void again(Job job, Outcome outcome, long nowNanos) {
		boolean counts = outcome != Outcome.NOT_SENT;
		if (counts && !this.allowances.of(job.service()).take(this.entries.all(), nowNanos)) {
			giveUp(job, outcome, nowNanos);
			return;
		}
		place(job, nowNanos);
	}

	private void giveUp(Job job, Outcome outcome, long nowNanos) {
		finish(job);
		this.answers.noOtherRunner(job, outcome, nowNanos);
	}

	private void timeOver(Job job, long nowNanos) {
		stop(job);
		finish(job);
		this.answers.timeOver(job, nowNanos);
	}

	private void place(Job job, long nowNanos) {
		Deque<Job> queue = this.waiting.of(job, this.patience.late(job, nowNanos));
		if (goesOnWaiting(job, queue.size(), nowNanos)) {
			queue.addLast(job);
		}
	}

	private boolean goesOnWaiting(Job job, int ahead, long nowNanos) {
		Placement.Choice choice = this.placement.choose(job, spec(job), this.patience.late(job, nowNanos), nowNanos);
		switch (this.patience.decide(job, choice, ahead, nowNanos)) {
			case SEND -> send(job, choice, nowNanos);
			case WAIT -> {
				return true;
			}
			case REFUSE -> {
				finish(job);
				this.answers.refuseOrFail(job, choice.none() ? NO_RUNNER : NO_ROOM, nowNanos);
			}
		}
		return false;
	}

	private void send(Job job, Placement.Choice choice, long nowNanos) {
		RunnerState runner = choice.runner().orElseThrow();
		if (job.dispatches == 0) {
			this.allowances.of(job.service()).first();
		}
		job.sentTo(runner, choice, this.patience.late(job, nowNanos), nowNanos);
		boolean tries = this.placement.triesWay(runner, spec(job), nowNanos);
		runner.sent(job, tries, nowNanos);
		OptionalInt version = (job.events() > 0) ? job.weightsVersion() : choice.requiredVersion();
		this.effects.add(new DispatchEffect.Send(job, runner.info, this.patience.rank(job, nowNanos), version, tries));
	}

	// Lets waiting requests go on in the order in which they came, as far as room has
	// come up.
	private void pump(long nowNanos) {
		this.waiting.retry((job) -> goesOnWaiting(job, 0, nowNanos));
	}

	private void release(Job job, Outcome outcome, long nowNanos) {
		job.runner.ifPresent((runner) -> runner.ended(job, outcome, nowNanos));
		if (job.runner.isPresent() && outcome.notRun()) {
			job.runs--;
		}
		job.runner = Optional.empty();
	}

	private void stop(Job job) {
		job.runner.ifPresent((runner) -> {
			runner.stopped(job);
			this.effects.add(new DispatchEffect.Stop(job));
		});
		job.runner = Optional.empty();
	}

	private void leaveSilent(Job job, long nowNanos) {
		release(job, Outcome.BROKEN, nowNanos);
		this.effects.add(new DispatchEffect.Stop(job));
		again(job, Outcome.BROKEN, nowNanos);
	}

	private void finish(Job job) {
		job.over = true;
		this.jobs.remove(job.id());
	}

	private Optional<EngineSpec> spec(Job job) {
		return spec(job.service());
	}

	private Optional<EngineSpec> spec(String service) {
		return this.table.flatMap((known) -> known.service(service)).flatMap((spec) -> spec.engine());
	}

}
