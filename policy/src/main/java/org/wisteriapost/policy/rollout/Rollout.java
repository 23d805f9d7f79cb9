package org.wisteriapost.policy.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.stream.LongStream;

import org.wisteriapost.policy.dispatch.EngineWord;
import org.wisteriapost.policy.fleet.RunnerStart;

/**
 * Brings one engine to the named weights, step by step: fetch, wait for its turn, check
 * what is staged, order, watch.
 *
 * The engine serves its older weights until the order, and the check comes shortly before
 * the order: what is staged may go bad at any time, and an engine that takes a spoilt
 * piece answers from it.
 *
 * Load: an engine that is ordered ends what it runs before it takes weights, and takes
 * nothing new meanwhile. Harm prevented: one with sixteen streams under way stands mostly
 * idle until its longest has ended. So its turn is announced ahead, and entries give it
 * until then what will have ended.
 *
 * A newer version that is named during a fetch waits for it when the fetch is more than
 * half done, or when another whole one would end after the older version has to be in
 * force: with versions named faster than links carry them, agents that always began anew
 * would never finish one, and the entries would run out of engines that may answer.
 */
public final class Rollout {

	// Entries hear of it over a link within a few milliseconds; requests on their way to
	// the engine have arrived by then.
	private static final long QUIET_NANOS = Duration.ofMillis(80).toNanos();

	private static final long TAKE_NANOS = Duration.ofSeconds(6).toNanos();

	private static final long AGAIN_NANOS = Duration.ofMillis(400).toNanos();

	// A turn is announced during the fetch, since what runs when it comes began up to two
	// seconds before. From this part on the fetch's end is known to within some 200 ms.
	private static final double FORESEEN = 0.4;

	// From this part on a fetch is finished whatever is named.
	private static final double MOSTLY_DONE = 0.5;

	// Until then what has come says nothing of how long the whole will take.
	private static final Duration TELLING = Duration.ofSeconds(1);

	private static final double LEAST_SHARE = 0.02;

	// What entries are told of a turn is this exact; each change is a message to each.
	private static final long RETOLD_NANOS = Duration.ofMillis(150).toNanos();

	// The check reads all staged pieces back, which takes some 200 ms on a busy VM. Done
	// ahead, the engine does not stand idle for it. What goes bad afterwards is found by
	// the check of a later turn only, so an order follows its check within FRESH.
	private static final Duration CHECK_AHEAD = Duration.ofMillis(400);

	private static final Duration FRESH = Duration.ofMillis(1500);

	private final Turns turns;

	private final List<RolloutEffect> effects = new ArrayList<>();

	private OptionalInt wanted = OptionalInt.empty();

	private final Namings namings = new Namings();

	private OptionalInt held = OptionalInt.empty();

	private boolean engineSeen;

	private OptionalInt staged = OptionalInt.empty();

	private Step step = Step.IDLE;

	private int target;

	private long stepNanos;

	private long turnNanos;

	private long checkedNanos;

	private OptionalInt taking = OptionalInt.empty();

	private long takingNanos;

	private double fetchedShare;

	private boolean busy;

	private long sequence;

	private RunnerStart start = RunnerStart.UNKNOWN;

	private final ReportReads reads = new ReportReads();

	private RolloutEffect.Tell told;

	private Rollout(Duration inForce) {
		this.turns = new Turns(inForce);
	}

	/**
	 * Returns a rollout that knows nothing yet.
	 * @param inForce from naming weights until no request may start on older ones
	 */
	public static Rollout create(Duration inForce) {
		return new Rollout(inForce);
	}

	/**
	 * Returns what is to be done since the last call, in order.
	 */
	public List<RolloutEffect> drain() {
		List<RolloutEffect> drained = List.copyOf(this.effects);
		this.effects.clear();
		return drained;
	}

	/**
	 * Hears which version is named. Versions only move up.
	 */
	public void named(int version, long nowNanos) {
		if (this.wanted.isPresent() && this.wanted.getAsInt() >= version) {
			return;
		}
		this.wanted = OptionalInt.of(version);
		this.namings.named(version, nowNanos);
		if (this.step == Step.TURN) {
			plan(nowNanos);
		}
		if (this.step == Step.FETCHING && this.target != version && !worthFinishing(nowNanos)) {
			this.effects.add(new RolloutEffect.Abandon(this.target));
			idle(nowNanos);
		}
		decide(nowNanos);
	}

	private boolean worthFinishing(long nowNanos) {
		long gone = nowNanos - this.stepNanos;
		if (this.fetchedShare > MOSTLY_DONE) {
			return true;
		}
		if (gone < TELLING.toNanos()) {
			return false;
		}
		double another = gone / Math.max(LEAST_SHARE, this.fetchedShare);
		return nowNanos + another > this.turns.latest(this.namings.oldest(this.stepNanos));
	}

	/**
	 * Hears this engine's place among all that change over, from 0 to below 1.
	 */
	public void turn(double position) {
		this.turns.position(position);
	}

	/**
	 * Hears how much of the fetch is done, from 0 to 1.
	 */
	public void fetching(double share, long nowNanos) {
		this.fetchedShare = share;
		if (this.step != Step.FETCHING || share < FORESEEN) {
			return;
		}
		long left = (long) ((nowNanos - this.stepNanos) * (1 - share) / share);
		long turn = turnAfter(nowNanos + left);
		if (Math.abs(turn - this.turnNanos) > RETOLD_NANOS) {
			this.turnNanos = turn;
		}
	}

	/**
	 * Hears that the fetch ended.
	 * @param whole whether every piece is staged
	 */
	public void fetched(int version, boolean whole, long nowNanos) {
		if (this.step != Step.FETCHING || this.target != version) {
			return;
		}
		this.staged = whole ? OptionalInt.of(version) : OptionalInt.empty();
		if (whole && inForce(version)) {
			idle(nowNanos);
		}
		else if (whole && this.held.isEmpty() && !this.busy && this.taking.isEmpty()
				&& nowNanos - this.stepNanos < FRESH.toNanos()) {
			// Every piece was checked within this fetch, and nothing is answered
			// meanwhile.
			this.checkedNanos = this.stepNanos;
			go(Step.CHECKED, nowNanos);
		}
		else if (whole) {
			await(nowNanos);
		}
		else {
			go(Step.PAUSE, nowNanos);
		}
		decide(nowNanos);
	}

	/**
	 * Hears whether what is staged is whole and good.
	 */
	public void verified(int version, boolean good, long nowNanos) {
		if (this.step != Step.VERIFYING || this.target != version) {
			return;
		}
		if (!good) {
			this.staged = OptionalInt.empty();
			idle(nowNanos);
			decide(nowNanos);
			return;
		}
		this.checkedNanos = nowNanos;
		go(Step.CHECKED, nowNanos);
		decide(nowNanos);
	}

	/**
	 * Hears whether the engine has begun to take the weights.
	 */
	public void ordered(boolean begun, long nowNanos) {
		if (this.step != Step.ORDERING) {
			return;
		}
		if (begun) {
			// The engine has its own copy from here on, so the next fetch may begin.
			this.taking = OptionalInt.of(this.target);
			this.takingNanos = nowNanos;
			this.busy = true;
			idle(nowNanos);
		}
		else {
			go(Step.PAUSE, nowNanos);
		}
		read(nowNanos);
		decide(nowNanos);
	}

	/**
	 * Hears the engine's report.
	 *
	 * Load: an engine crashes while it takes weights. Harm prevented: its order is waited
	 * for until {@link #TAKE_NANOS} have passed, although it died with the engine. A
	 * later start is known by its time, else by fewer orders than were accepted before.
	 */
	public void reported(OptionalInt version, boolean underWay, long orders, RunnerStart from, long nowNanos) {
		this.reads.ended();
		if (from.before(this.start)) {
			return;
		}
		if (this.start.before(from) || orders < this.sequence) {
			this.taking = OptionalInt.empty();
		}
		this.start = from;
		this.engineSeen = true;
		this.held = version;
		this.namings.held(version);
		this.busy = underWay;
		this.sequence = orders;
		if (!underWay && this.taking.isPresent() && version.equals(this.taking)) {
			this.taking = OptionalInt.empty();
		}
		decide(nowNanos);
	}

	/**
	 * Hears that the engine did not report.
	 */
	public void silent(long nowNanos) {
		this.reads.ended();
		this.engineSeen = false;
		decide(nowNanos);
	}

	/**
	 * Looks at what time has brought.
	 */
	public void tick(long nowNanos) {
		long gone = nowNanos - this.stepNanos;
		if (this.step == Step.PAUSE && gone > AGAIN_NANOS) {
			idle(nowNanos);
		}
		if (this.taking.isPresent() && nowNanos - this.takingNanos > TAKE_NANOS) {
			this.taking = OptionalInt.empty();
		}
		decide(nowNanos);
		if (this.reads.due(calm(), nowNanos)) {
			read(nowNanos);
		}
	}

	/**
	 * Returns when to look at time next if nothing is heard until then.
	 */
	public long nextNanos(long nowNanos) {
		long next = this.reads.nextNanos(calm(), nowNanos);
		if (this.taking.isPresent()) {
			next = Math.min(next, this.takingNanos + TAKE_NANOS);
		}
		return Math.min(next, switch (this.step) {
			case PAUSE -> this.stepNanos + AGAIN_NANOS;
			case TURN, VERIFYING, CHECKED -> nextOfTurnNanos(nowNanos);
			case IDLE, FETCHING, ORDERING -> Long.MAX_VALUE;
		});
	}

	private boolean calm() {
		return this.step == Step.IDLE && this.taking.isEmpty() && this.held.equals(this.wanted);
	}

	private long nextOfTurnNanos(long nowNanos) {
		return LongStream.of(this.turnNanos - CHECK_AHEAD.toNanos(), this.turnNanos, this.turnNanos + QUIET_NANOS)
			.filter((moment) -> moment > nowNanos)
			.findFirst()
			.orElse(Long.MAX_VALUE);
	}

	/**
	 * Returns the latest word to the entries, for one that has just come.
	 */
	public Optional<RolloutEffect.Tell> latest() {
		return Optional.ofNullable(this.told);
	}

	private void decide(long nowNanos) {
		switch (this.step) {
			case IDLE -> begin(nowNanos);
			case TURN -> turn(nowNanos);
			case CHECKED -> checked(nowNanos);
			case FETCHING, VERIFYING, ORDERING, PAUSE -> {
				// Goes on when what is under way ends.
			}
		}
		tell(nowNanos);
	}

	// An engine that holds the named weights already is fetched for too: what is staged
	// there is read back, and peers that start without weights get it from here and not
	// from the origin.
	private void begin(long nowNanos) {
		if (this.wanted.isEmpty() || !this.engineSeen) {
			return;
		}
		boolean there = this.staged.equals(this.wanted);
		if (there && (inForce(this.wanted.getAsInt()) || this.busy)) {
			return;
		}
		this.target = this.wanted.getAsInt();
		if (there) {
			await(nowNanos);
			turn(nowNanos);
			return;
		}
		go(Step.FETCHING, nowNanos);
		this.fetchedShare = 0;
		this.staged = OptionalInt.empty();
		this.effects.add(new RolloutEffect.Fetch(this.target));
	}

	private boolean inForce(int version) {
		OptionalInt one = OptionalInt.of(version);
		return this.held.equals(one) || this.taking.equals(one);
	}

	private void await(long nowNanos) {
		go(Step.TURN, nowNanos);
		plan(nowNanos);
	}

	// An engine without weights answers nothing, so it waits for nobody. A turn that was
	// announced stays, unless it can't be kept.
	private void plan(long nowNanos) {
		long turn = turnAfter(nowNanos);
		boolean near = Math.abs(turn - this.turnNanos) <= RETOLD_NANOS;
		boolean kept = near && this.turnNanos >= nowNanos + Turns.LEAD.toNanos();
		this.turnNanos = kept ? this.turnNanos : turn;
		if (this.held.isEmpty()) {
			this.turnNanos = nowNanos;
		}
	}

	private long turnAfter(long fetchedNanos) {
		boolean newest = this.wanted.equals(OptionalInt.of(this.target));
		return this.turns.after(fetchedNanos, this.namings.oldest(this.stepNanos), newest);
	}

	private void turn(long nowNanos) {
		if (this.busy || this.taking.isPresent() || nowNanos < this.turnNanos - CHECK_AHEAD.toNanos()) {
			return;
		}
		go(Step.VERIFYING, nowNanos);
		this.effects.add(new RolloutEffect.Verify(this.target));
	}

	private void checked(long nowNanos) {
		if (this.held.isPresent() && nowNanos < this.turnNanos + QUIET_NANOS) {
			return;
		}
		if (nowNanos - this.checkedNanos > FRESH.toNanos()) {
			go(Step.VERIFYING, nowNanos);
			this.effects.add(new RolloutEffect.Verify(this.target));
			return;
		}
		go(Step.ORDERING, nowNanos);
		this.effects.add(new RolloutEffect.Take(this.target, this.sequence));
	}

	private void read(long nowNanos) {
		this.reads.begun(nowNanos);
		this.effects.add(new RolloutEffect.ReadReport());
	}

	private void tell(long nowNanos) {
		boolean planned = switch (this.step) {
			case FETCHING -> this.held.isPresent() && !inForce(this.target) && this.fetchedShare >= FORESEEN;
			case TURN, VERIFYING, CHECKED -> this.held.isPresent();
			case IDLE, ORDERING, PAUSE -> false;
		};
		boolean closed = planned && this.step != Step.FETCHING && nowNanos >= this.turnNanos;
		boolean switching = closed || this.step == Step.ORDERING || this.taking.isPresent();
		OptionalLong closes = (planned && !switching) ? OptionalLong.of(this.turnNanos) : OptionalLong.empty();
		RolloutEffect.Tell now = new RolloutEffect.Tell(new EngineWord(this.held, switching, closes, this.start));
		if (this.engineSeen && !now.equals(this.told)) {
			this.told = now;
			this.effects.add(now);
		}
	}

	private void idle(long nowNanos) {
		go(Step.IDLE, nowNanos);
	}

	private void go(Step next, long nowNanos) {
		this.step = next;
		this.stepNanos = nowNanos;
	}

	private enum Step {

		IDLE, FETCHING, TURN, VERIFYING, CHECKED, ORDERING, PAUSE

	}

}
