package org.wisteriapost.policy.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.wisteriapost.policy.dispatch.EngineStatus;
import org.wisteriapost.policy.fleet.RunnerIncarnation;

/**
 * The state machine that brings one engine to the target weights version: fetch, wait for
 * the scheduled switch, verify the staged weights, order the switch, and monitor it.
 *
 * The engine serves its current weights until the order. The staged weights are verified
 * shortly before it, since they may be corrupted at any time and the engine would serve
 * from corrupt weights.
 *
 * An engine finishes its running requests before it switches and accepts no new ones
 * meanwhile, so one with sixteen open streams would be mostly idle until the longest
 * ends. Its switch is therefore announced ahead, and until then entries send it only
 * requests that will have ended.
 *
 * An order that the engine does not answer is repeated until it is settled, see
 * {@link PendingOrder}; until then no other version is staged.
 *
 * When a newer version becomes the target during a fetch, {@link SupersededFetchPolicy}
 * decides whether the fetch goes on.
 */
public final class Rollout {

	private static final long RETRY_DELAY_NANOS = Duration.ofMillis(400).toNanos();

	// Requests that run at the time of a switch start up to two seconds before, so it is
	// announced during the fetch. From this share on, the end of the fetch is known to
	// within some 200 ms.
	private static final double ANNOUNCE_SHARE = 0.4;

	// Corruption after the verification would go unnoticed, so the order must follow
	// within this time.
	private static final Duration MAX_VERIFICATION_AGE = Duration.ofMillis(1500);

	// The precondition of an order holds for one incarnation of the engine. A restart
	// takes longer than this.
	private static final long MAX_REPORT_AGE_NANOS = Duration.ofMillis(200).toNanos();

	private final SwitchPlan plan;

	private final List<RolloutEffect> effects = new ArrayList<>();

	private OptionalInt targetVersion = OptionalInt.empty();

	private OptionalInt held = OptionalInt.empty();

	private boolean engineReachable;

	private OptionalInt staged = OptionalInt.empty();

	private Step step = Step.IDLE;

	private int stepVersion;

	private long stepNanos;

	private long verifiedNanos;

	private final EngineOrders orders = new EngineOrders();

	private final FetchProgress progress = new FetchProgress();

	private final SupersededFetchPolicy supersededFetch;

	private boolean engineBusy;

	// Whether a fetch was in progress since the last report.
	private boolean stagedSinceReport;

	// When the last report was requested.
	private long reportNanos;

	private final ReportPolling polling = new ReportPolling();

	private RolloutEffect.PublishStatus lastStatus;

	private Rollout(Duration activation) {
		this.plan = new SwitchPlan(activation);
		this.supersededFetch = new SupersededFetchPolicy(this.plan, activation);
	}

	/**
	 * Returns a rollout without a target version.
	 * @param activation time from the publication of a target version until no request
	 * may start on older ones
	 */
	public static Rollout create(Duration activation) {
		return new Rollout(activation);
	}

	/**
	 * Returns the effects since the last call, in order.
	 */
	public List<RolloutEffect> drain() {
		List<RolloutEffect> drained = List.copyOf(this.effects);
		this.effects.clear();
		return drained;
	}

	/**
	 * Sets the target version. Lower versions are ignored.
	 */
	public void setTarget(int version, long nowNanos) {
		if (this.targetVersion.isPresent() && this.targetVersion.getAsInt() >= version) {
			return;
		}
		this.targetVersion = OptionalInt.of(version);
		this.plan.targetAdded(version, nowNanos);
		if (this.step == Step.AWAITING_SWITCH) {
			planSwitch(nowNanos);
		}
		if (this.step == Step.FETCHING && this.stepVersion != version && this.orders.pendingVersion().isEmpty()
				&& !this.supersededFetch.finishes(this.progress, this.stepNanos, nowNanos)) {
			abandonFetch(nowNanos);
		}
		advance(nowNanos);
	}

	private void abandonFetch(long nowNanos) {
		this.effects.add(new RolloutEffect.Abandon(this.stepVersion));
		enterIdle(nowNanos);
	}

	/**
	 * Sets this engine's position among all engines that switch, from 0 to below 1.
	 */
	public void setPosition(double position) {
		this.plan.position(position);
	}

	/**
	 * Records the progress of the fetch, from 0 to 1.
	 */
	public void fetchProgressed(double share, long nowNanos) {
		if (this.step != Step.FETCHING) {
			return;
		}
		// While the origin is unreachable the end of the fetch is unknown. Announcing a
		// later one all the time would cost a message to every entry each time.
		if (!this.progress.update(share, nowNanos)) {
			return;
		}
		if (this.progress.resumed() && !isNewest() && this.orders.pendingVersion().isEmpty() && this.supersededFetch
			.abandonsResumed(this.progress, this.stepVersion, this.targetVersion.getAsInt(), nowNanos)) {
			abandonFetch(nowNanos);
			advance(nowNanos);
			return;
		}
		if (share >= ANNOUNCE_SHARE) {
			this.plan.fetchEndsAt(nowNanos + this.progress.restNanos(), this.stepNanos, isNewest());
		}
	}

	/**
	 * Handles the end of the fetch.
	 * @param complete whether every chunk is staged
	 */
	public void fetchEnded(int version, boolean complete, long nowNanos) {
		if (this.step != Step.FETCHING || this.stepVersion != version) {
			return;
		}
		this.staged = complete ? OptionalInt.of(version) : OptionalInt.empty();
		if (complete) {
			this.supersededFetch.fetched();
		}
		if (complete && (isHeldOrTaking(version) || this.orders.distrusts(this.staged))) {
			enterIdle(nowNanos);
		}
		else if (complete && this.held.isEmpty() && !this.engineBusy && this.orders.taking().isEmpty()
				&& nowNanos - this.stepNanos < MAX_VERIFICATION_AGE.toNanos()) {
			// This fetch verified every chunk, and no requests are served meanwhile.
			this.verifiedNanos = this.stepNanos;
			enter(Step.VERIFIED, nowNanos);
		}
		else if (complete) {
			awaitSwitch(nowNanos);
		}
		else {
			enter(Step.RETRY_DELAY, nowNanos);
		}
		advance(nowNanos);
	}

	public void verificationEnded(int version, boolean valid, long nowNanos) {
		if (this.step == Step.CONFIRMING && this.stepVersion == version) {
			confirmationEnded(valid, nowNanos);
			return;
		}
		if (this.step != Step.VERIFYING || this.stepVersion != version) {
			return;
		}
		if (!valid) {
			this.staged = OptionalInt.empty();
			enterIdle(nowNanos);
			advance(nowNanos);
			return;
		}
		// Chunks may have been corrupted since they were read, the first ones since the
		// verification began.
		this.verifiedNanos = this.stepNanos;
		enter(Step.VERIFIED, nowNanos);
		advance(nowNanos);
	}

	private void confirmationEnded(boolean valid, long nowNanos) {
		this.orders.confirmed(valid);
		this.staged = valid ? this.staged : OptionalInt.empty();
		this.held = this.orders.distrusts(this.held) ? OptionalInt.empty() : this.held;
		enterIdle(nowNanos);
		readReport(nowNanos);
	}

	public void orderAnswered(OrderOutcome outcome, long nowNanos) {
		if (this.step != Step.ORDERING) {
			return;
		}
		this.orders.answered(outcome, this.held, nowNanos);
		this.engineBusy |= outcome == OrderOutcome.ACCEPTED;
		enter((outcome == OrderOutcome.REFUSED) ? Step.RETRY_DELAY : Step.IDLE, nowNanos);
		readReport(nowNanos);
		advance(nowNanos);
	}

	/**
	 * Handles the engine's report.
	 *
	 * If the engine crashes during a switch, the order is lost with it. Without detecting
	 * this the rollout would wait for it in vain.
	 */
	public void reportReceived(OptionalInt version, boolean busy, long orderCount, RunnerIncarnation reportedBy,
			long nowNanos) {
		this.polling.ended();
		if (this.orders.outdated(reportedBy)) {
			return;
		}
		this.engineReachable = true;
		this.reportNanos = this.polling.startedNanos();
		this.engineBusy = busy;
		this.orders.reported(version, busy, orderCount, reportedBy, nowNanos);
		if (this.orders.unconfirmed().isPresent() && this.stagedSinceReport) {
			// A chunk that was corrupt when the engine took it may have been replaced.
			this.orders.confirmed(false);
		}
		this.stagedSinceReport = this.step == Step.FETCHING;
		this.held = this.orders.distrusts(version) ? OptionalInt.empty() : version;
		this.plan.held(this.held);
		if (this.step.preparesOrder() && isHeldOrTaking(this.stepVersion)) {
			// An earlier order was accepted after all.
			enterIdle(nowNanos);
		}
		advance(nowNanos);
	}

	public void reportFailed(long nowNanos) {
		this.polling.ended();
		this.engineReachable = false;
		advance(nowNanos);
	}

	public void tick(long nowNanos) {
		if (this.step == Step.RETRY_DELAY && nowNanos - this.stepNanos > RETRY_DELAY_NANOS) {
			enterIdle(nowNanos);
		}
		this.orders.tick(nowNanos);
		advance(nowNanos);
		if (this.polling.due(isSettled(), nowNanos)) {
			readReport(nowNanos);
		}
	}

	/**
	 * Returns when {@link #tick} is due next if no other event occurs before.
	 */
	public long nextNanos(long nowNanos) {
		long next = Math.min(this.polling.nextNanos(isSettled(), nowNanos), this.orders.nextNanos());
		return Math.min(next, switch (this.step) {
			case RETRY_DELAY -> this.stepNanos + RETRY_DELAY_NANOS;
			case AWAITING_SWITCH, VERIFYING, VERIFIED -> this.plan.nextStepNanos(nowNanos);
			case IDLE, FETCHING, CONFIRMING, ORDERING -> Long.MAX_VALUE;
		});
	}

	private boolean isSettled() {
		return this.step == Step.IDLE && this.orders.settled() && this.held.equals(this.targetVersion);
	}

	/**
	 * Returns the last published status, for an entry that has just connected.
	 */
	public Optional<RolloutEffect.PublishStatus> lastStatus() {
		return Optional.ofNullable(this.lastStatus);
	}

	private void advance(long nowNanos) {
		switch (this.step) {
			case IDLE -> startNext(nowNanos);
			case AWAITING_SWITCH -> verifyWhenDue(nowNanos);
			case VERIFIED -> orderWhenDue(nowNanos);
			case FETCHING, VERIFYING, CONFIRMING, ORDERING, RETRY_DELAY -> {
				// Continues when the pending operation ends or the delay has passed.
			}
		}
		publishStatus(nowNanos);
	}

	private void startNext(long nowNanos) {
		if (this.orders.unconfirmed().isPresent()) {
			this.stepVersion = this.orders.unconfirmed().getAsInt();
			enter(Step.CONFIRMING, nowNanos);
			this.effects.add(new RolloutEffect.Verify(this.stepVersion));
			return;
		}
		startFetch(nowNanos);
	}

	// Weights that the engine already holds are fetched too: they are verified, and
	// peers that start without weights fetch them from here instead of the origin.
	private void startFetch(long nowNanos) {
		OptionalInt wanted = wantedVersion();
		if (wanted.isEmpty() || !this.engineReachable) {
			return;
		}
		boolean alreadyStaged = this.staged.equals(wanted);
		boolean taken = isHeldOrTaking(wanted.getAsInt()) || this.orders.distrusts(wanted);
		if (alreadyStaged && (taken || this.engineBusy)) {
			return;
		}
		this.stepVersion = wanted.getAsInt();
		if (alreadyStaged) {
			awaitSwitch(nowNanos);
			verifyWhenDue(nowNanos);
			return;
		}
		enter(Step.FETCHING, nowNanos);
		this.stagedSinceReport = true;
		this.progress.started(nowNanos);
		this.staged = OptionalInt.empty();
		this.effects.add(new RolloutEffect.Fetch(this.stepVersion));
	}

	private OptionalInt wantedVersion() {
		return this.orders.pendingVersion().isPresent() ? this.orders.pendingVersion() : this.targetVersion;
	}

	private boolean isHeldOrTaking(int version) {
		OptionalInt one = OptionalInt.of(version);
		return this.held.equals(one) || this.orders.taking().equals(one);
	}

	private void awaitSwitch(long nowNanos) {
		enter(Step.AWAITING_SWITCH, nowNanos);
		planSwitch(nowNanos);
	}

	// An engine without weights serves no requests and need not wait, nor one that is
	// closed already.
	private void planSwitch(long nowNanos) {
		if (this.held.isEmpty() || this.orders.pendingVersion().isPresent()) {
			this.plan.atOnce(nowNanos);
			return;
		}
		this.plan.staged(this.stepNanos, isNewest(), nowNanos);
	}

	private boolean isNewest() {
		return this.targetVersion.equals(OptionalInt.of(this.stepVersion));
	}

	private void verifyWhenDue(long nowNanos) {
		if (this.engineBusy || this.orders.taking().isPresent() || !this.plan.verificationDue(nowNanos)) {
			return;
		}
		enter(Step.VERIFYING, nowNanos);
		this.effects.add(new RolloutEffect.Verify(this.stepVersion));
	}

	private void orderWhenDue(long nowNanos) {
		if (this.held.isPresent() && !this.plan.orderDue(nowNanos)) {
			return;
		}
		if (nowNanos - this.verifiedNanos > MAX_VERIFICATION_AGE.toNanos()) {
			enter(Step.VERIFYING, nowNanos);
			this.effects.add(new RolloutEffect.Verify(this.stepVersion));
			return;
		}
		if (!this.engineReachable || nowNanos - this.reportNanos > MAX_REPORT_AGE_NANOS) {
			if (!this.polling.pending()) {
				readReport(nowNanos);
			}
			return;
		}
		enter(Step.ORDERING, nowNanos);
		this.orders.sent(this.stepVersion);
		this.effects.add(new RolloutEffect.Take(this.stepVersion, this.orders.acceptedCount()));
	}

	private void readReport(long nowNanos) {
		this.polling.started(nowNanos);
		this.effects.add(new RolloutEffect.ReadReport());
	}

	private void publishStatus(long nowNanos) {
		boolean announced = switch (this.step) {
			case FETCHING ->
				this.held.isPresent() && !isHeldOrTaking(this.stepVersion) && this.progress.share() >= ANNOUNCE_SHARE;
			case AWAITING_SWITCH, VERIFYING, VERIFIED -> this.held.isPresent();
			case IDLE, CONFIRMING, ORDERING, RETRY_DELAY -> false;
		};
		boolean closed = announced && this.step != Step.FETCHING && this.plan.closed(nowNanos);
		boolean switching = closed || this.step == Step.ORDERING || !this.orders.settled();
		OptionalLong closes = (announced && !switching) ? OptionalLong.of(this.plan.switchNanos())
				: OptionalLong.empty();
		RolloutEffect.PublishStatus status = new RolloutEffect.PublishStatus(
				new EngineStatus(this.held, switching, closes, this.orders.incarnation()));
		if (this.engineReachable && !status.equals(this.lastStatus)) {
			this.lastStatus = status;
			this.effects.add(status);
		}
	}

	private void enterIdle(long nowNanos) {
		enter(Step.IDLE, nowNanos);
	}

	private void enter(Step next, long nowNanos) {
		this.step = next;
		this.stepNanos = nowNanos;
	}

	private enum Step {

		IDLE, FETCHING, AWAITING_SWITCH, VERIFYING, VERIFIED, ORDERING, CONFIRMING, RETRY_DELAY;

		boolean preparesOrder() {
			return this == AWAITING_SWITCH || this == VERIFYING || this == VERIFIED;
		}

	}

}
