package org.wisteriapost.policy.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.stream.LongStream;

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
 * When a newer version becomes the target during a fetch, the fetch is finished if it is
 * more than half done, or if another full fetch would end after the older version becomes
 * active. Otherwise, with versions published faster than links can carry them, agents
 * would restart forever and no engine could serve an active version.
 */
public final class Rollout {

	// Entries receive the closed status within a few milliseconds; requests already sent
	// to the engine arrive within this time.
	private static final long CLOSE_GRACE_NANOS = Duration.ofMillis(80).toNanos();

	private static final long RETRY_DELAY_NANOS = Duration.ofMillis(400).toNanos();

	// Requests that run at the time of a switch start up to two seconds before, so it is
	// announced during the fetch. From this share on, the end of the fetch is known to
	// within some 200 ms.
	private static final double ANNOUNCE_SHARE = 0.4;

	// From this share on, a fetch is finished even if a newer version is published.
	private static final double FINISH_SHARE = 0.5;

	// Before this, progress does not allow an estimate of the total duration.
	private static final Duration MIN_OBSERVATION = Duration.ofSeconds(1);

	private static final double MIN_SHARE = 0.02;

	// Smaller changes of an announced switch are not published, since each change is a
	// message to every entry.
	private static final long ANNOUNCE_TOLERANCE_NANOS = Duration.ofMillis(150).toNanos();

	// Verification reads all staged chunks back, which takes some 200 ms on a busy VM,
	// and is done ahead so that the engine does not idle for it. Corruption after it
	// would go unnoticed, so the order must follow within MAX_VERIFICATION_AGE.
	private static final Duration VERIFY_LEAD = Duration.ofMillis(400);

	private static final Duration MAX_VERIFICATION_AGE = Duration.ofMillis(1500);

	private final SwitchSchedule schedule;

	private final List<RolloutEffect> effects = new ArrayList<>();

	private OptionalInt targetVersion = OptionalInt.empty();

	private final PendingVersions pendingVersions = new PendingVersions();

	private OptionalInt held = OptionalInt.empty();

	private boolean engineReachable;

	private OptionalInt staged = OptionalInt.empty();

	private Step step = Step.IDLE;

	private int stepVersion;

	private long stepNanos;

	private long switchNanos;

	private long verifiedNanos;

	private final EngineOrders orders = new EngineOrders();

	private double fetchedShare;

	private boolean engineBusy;

	private final ReportPolling polling = new ReportPolling();

	private RolloutEffect.PublishStatus lastStatus;

	private Rollout(Duration activation) {
		this.schedule = new SwitchSchedule(activation);
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
		this.pendingVersions.add(version, nowNanos);
		if (this.step == Step.AWAITING_SWITCH) {
			planSwitch(nowNanos);
		}
		if (this.step == Step.FETCHING && this.stepVersion != version && !worthFinishing(nowNanos)) {
			this.effects.add(new RolloutEffect.Abandon(this.stepVersion));
			enterIdle(nowNanos);
		}
		advance(nowNanos);
	}

	private boolean worthFinishing(long nowNanos) {
		long elapsed = nowNanos - this.stepNanos;
		if (this.orders.pendingVersion().isPresent() || this.fetchedShare > FINISH_SHARE) {
			return true;
		}
		if (elapsed < MIN_OBSERVATION.toNanos()) {
			return false;
		}
		double fullFetch = elapsed / Math.max(MIN_SHARE, this.fetchedShare);
		return nowNanos + fullFetch > this.schedule.latestNanos(this.pendingVersions.oldestNanos(this.stepNanos));
	}

	/**
	 * Sets this engine's position among all engines that switch, from 0 to below 1.
	 */
	public void setPosition(double position) {
		this.schedule.position(position);
	}

	/**
	 * Records the progress of the fetch, from 0 to 1.
	 */
	public void fetchProgressed(double share, long nowNanos) {
		this.fetchedShare = share;
		if (this.step != Step.FETCHING || share < ANNOUNCE_SHARE) {
			return;
		}
		long remaining = (long) ((nowNanos - this.stepNanos) * (1 - share) / share);
		long candidate = switchTimeAfter(nowNanos + remaining);
		if (Math.abs(candidate - this.switchNanos) > ANNOUNCE_TOLERANCE_NANOS) {
			this.switchNanos = candidate;
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
		if (complete && isHeldOrTaking(version)) {
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
		this.held = version;
		this.pendingVersions.removeUpTo(version);
		this.engineBusy = busy;
		this.orders.reported(version, busy, orderCount, reportedBy, nowNanos);
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
		long elapsed = nowNanos - this.stepNanos;
		if (this.step == Step.RETRY_DELAY && elapsed > RETRY_DELAY_NANOS) {
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
			case AWAITING_SWITCH, VERIFYING, VERIFIED -> nextSwitchStepNanos(nowNanos);
			case IDLE, FETCHING, ORDERING -> Long.MAX_VALUE;
		});
	}

	private boolean isSettled() {
		return this.step == Step.IDLE && this.orders.settled() && this.held.equals(this.targetVersion);
	}

	private long nextSwitchStepNanos(long nowNanos) {
		return LongStream
			.of(this.switchNanos - VERIFY_LEAD.toNanos(), this.switchNanos, this.switchNanos + CLOSE_GRACE_NANOS)
			.filter((time) -> time > nowNanos)
			.findFirst()
			.orElse(Long.MAX_VALUE);
	}

	/**
	 * Returns the last published status, for an entry that has just connected.
	 */
	public Optional<RolloutEffect.PublishStatus> lastStatus() {
		return Optional.ofNullable(this.lastStatus);
	}

	private void advance(long nowNanos) {
		switch (this.step) {
			case IDLE -> startFetch(nowNanos);
			case AWAITING_SWITCH -> verifyWhenDue(nowNanos);
			case VERIFIED -> orderWhenDue(nowNanos);
			case FETCHING, VERIFYING, ORDERING, RETRY_DELAY -> {
				// Continues when the pending operation ends or the delay has passed.
			}
		}
		publishStatus(nowNanos);
	}

	// Weights that the engine already holds are fetched too: they are verified, and
	// peers that start without weights fetch them from here instead of the origin.
	private void startFetch(long nowNanos) {
		OptionalInt wanted = wantedVersion();
		if (wanted.isEmpty() || !this.engineReachable) {
			return;
		}
		boolean alreadyStaged = this.staged.equals(wanted);
		if (alreadyStaged && (isHeldOrTaking(wanted.getAsInt()) || this.engineBusy)) {
			return;
		}
		this.stepVersion = wanted.getAsInt();
		if (alreadyStaged) {
			awaitSwitch(nowNanos);
			verifyWhenDue(nowNanos);
			return;
		}
		enter(Step.FETCHING, nowNanos);
		this.fetchedShare = 0;
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
	// closed already. An announced switch is kept unless it is no longer possible.
	private void planSwitch(long nowNanos) {
		long candidate = switchTimeAfter(nowNanos);
		boolean closeEnough = Math.abs(candidate - this.switchNanos) <= ANNOUNCE_TOLERANCE_NANOS;
		boolean kept = closeEnough && this.switchNanos >= nowNanos + SwitchSchedule.LEAD.toNanos();
		this.switchNanos = kept ? this.switchNanos : candidate;
		if (this.held.isEmpty() || this.orders.pendingVersion().isPresent()) {
			this.switchNanos = nowNanos;
		}
	}

	private long switchTimeAfter(long fetchedNanos) {
		boolean newest = this.targetVersion.equals(OptionalInt.of(this.stepVersion));
		return this.schedule.switchNanos(fetchedNanos, this.pendingVersions.oldestNanos(this.stepNanos), newest);
	}

	private void verifyWhenDue(long nowNanos) {
		if (this.engineBusy || this.orders.taking().isPresent()
				|| nowNanos < this.switchNanos - VERIFY_LEAD.toNanos()) {
			return;
		}
		enter(Step.VERIFYING, nowNanos);
		this.effects.add(new RolloutEffect.Verify(this.stepVersion));
	}

	private void orderWhenDue(long nowNanos) {
		if (this.held.isPresent() && nowNanos < this.switchNanos + CLOSE_GRACE_NANOS) {
			return;
		}
		if (nowNanos - this.verifiedNanos > MAX_VERIFICATION_AGE.toNanos()) {
			enter(Step.VERIFYING, nowNanos);
			this.effects.add(new RolloutEffect.Verify(this.stepVersion));
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
				this.held.isPresent() && !isHeldOrTaking(this.stepVersion) && this.fetchedShare >= ANNOUNCE_SHARE;
			case AWAITING_SWITCH, VERIFYING, VERIFIED -> this.held.isPresent();
			case IDLE, ORDERING, RETRY_DELAY -> false;
		};
		boolean closed = announced && this.step != Step.FETCHING && nowNanos >= this.switchNanos;
		boolean switching = closed || this.step == Step.ORDERING || !this.orders.settled();
		OptionalLong closes = (announced && !switching) ? OptionalLong.of(this.switchNanos) : OptionalLong.empty();
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

		IDLE, FETCHING, AWAITING_SWITCH, VERIFYING, VERIFIED, ORDERING, RETRY_DELAY;

		boolean preparesOrder() {
			return this == AWAITING_SWITCH || this == VERIFYING || this == VERIFIED;
		}

	}

}
