package org.wisteriapost.policy.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.wisteriapost.policy.fleet.RunnerInfo;

/**
 * What an entry believes of one start of a runner: its registration, what is in flight
 * there from here and from other entries, and how its answers ended.
 */
final class RunnerState {

	// Another entry that is killed is known to be gone from its link. This is for one
	// whose messages are lost: all that it has is said again each second.
	private static final long PEER_TTL_NANOS = Duration.ofMillis(2500).toNanos();

	// A runner that has just said that it is full is not asked again for the time in
	// which a running answer may end.
	private static final long LEFT_OUT_NANOS = Duration.ofMillis(40).toNanos();

	// 1.3 s: until then a registration or an agent's word has come.
	private static final int MOST_DOUBLINGS = 5;

	// What goes last at its runner is overtaken by others.
	private static final double LATE_FACTOR = 2;

	private static final double PACE_SMOOTHING = 0.15;

	private static final double LEAST_PACE = 0.5;

	private static final double MOST_PACE = 6;

	// What single entries have there, by their names, and what all entries of another
	// place have there together, by the place.
	private final Map<String, Heard> peers = new HashMap<>();

	private final Map<String, Heard> places = new HashMap<>();

	private PeerLoad others = PeerLoad.NONE;

	// From when on what was summed up last no longer holds: at once after news.
	private long othersUntilNanos = Long.MIN_VALUE;

	final RunnerHealth health = new RunnerHealth();

	final RunnerWay way = new RunnerWay();

	final FreshShare share = new FreshShare();

	final SlowestStart waits = new SlowestStart();

	RunnerInfo info;

	PeerLoad own = PeerLoad.NONE;

	double pace = 1;

	boolean gone;

	private long leftOutUntilNanos = Long.MIN_VALUE;

	private int misdirectedInRow;

	private Optional<EngineWord> word = Optional.empty();

	RunnerState(RunnerInfo info) {
		this.info = info;
	}

	/**
	 * Returns the version of a model's weights that the runner holds, as its agent says,
	 * else as it registered. An agent that says that there are none is believed: a
	 * registration is up to some seconds old.
	 */
	OptionalInt version(String model) {
		if (this.word.isPresent()) {
			return this.word.get().version();
		}
		Integer registered = this.info.models().get(model);
		return (registered != null) ? OptionalInt.of(registered) : OptionalInt.empty();
	}

	/**
	 * Takes a registration of the same start.
	 */
	void registered(RunnerInfo newer) {
		this.info = newer;
		this.gone = false;
		forgive();
	}

	/**
	 * Takes what the agent beside the runner says.
	 */
	void told(EngineWord newer) {
		this.word = Optional.of(newer);
		forgive();
	}

	boolean switching() {
		return this.word.map(EngineWord::switching).orElse(false);
	}

	OptionalLong closesNanos() {
		return this.word.map(EngineWord::closesNanos).orElse(OptionalLong.empty());
	}

	/**
	 * Notes that a request is sent.
	 * @param tries whether it leaves only once a new connection is there
	 */
	void sent(Job job, boolean tries, long nowNanos) {
		this.share.took();
		this.own = this.own.plus(new PeerLoad(1, 1, job.size().promptTokens()));
		this.health.sent(nowNanos);
		// A plain runner may take long for one request and be quick for the next.
		if (job.baseMillis > 0) {
			this.way.sent(job.predictedMillis * (job.sentLate ? LATE_FACTOR : 1), tries, nowNanos);
		}
	}

	void firstEvent(Job job) {
		this.own = this.own.plus(new PeerLoad(0, -1, -job.size().promptTokens()));
		this.health.began(job.sentNanos);
		this.way.answered(job.sentNanos);
	}

	/**
	 * Notes that a request was given up for no fault of the runner.
	 */
	void stopped(Job job) {
		left(job);
		this.health.stopped(job.sentNanos);
		this.way.over(job.sentNanos);
	}

	/**
	 * Notes how a request ended.
	 */
	void ended(Job job, Outcome outcome, long nowNanos) {
		left(job);
		this.health.ended(outcome, job.sentNanos, nowNanos);
		switch (outcome) {
			case NOT_SENT, BROKEN -> this.way.over(job.sentNanos);
			case DONE, ERROR -> this.way.answered(job.sentNanos);
			case FULL -> {
				this.way.answered(job.sentNanos);
				full(nowNanos);
			}
			case MISDIRECTED -> {
				this.way.answered(job.sentNanos);
				misdirected(nowNanos);
			}
		}
	}

	private void left(Job job) {
		boolean begun = job.firstSeen;
		this.own = this.own.plus(new PeerLoad(-1, begun ? 0 : -1, begun ? 0 : -job.size().promptTokens()));
	}

	void heard(String peer, PeerLoad load, long nowNanos) {
		this.peers.put(peer, new Heard(load, nowNanos));
		this.othersUntilNanos = Long.MIN_VALUE;
	}

	void heardOfPlace(String place, PeerLoad load, long nowNanos) {
		this.places.put(place, new Heard(load, nowNanos));
		this.othersUntilNanos = Long.MIN_VALUE;
	}

	void forget(String peer) {
		this.peers.remove(peer);
		this.othersUntilNanos = Long.MIN_VALUE;
	}

	/**
	 * Returns what all entries together have there. It is asked for at every runner for
	 * every request, so the others' part is summed up when something was heard, not each
	 * time.
	 */
	PeerLoad total(long nowNanos) {
		if (nowNanos >= this.othersUntilNanos) {
			this.othersUntilNanos = Long.MAX_VALUE;
			this.others = sum(this.peers, nowNanos).plus(sum(this.places, nowNanos));
		}
		return this.own.plus(this.others);
	}

	/**
	 * Returns what this entry and those have there that tell it their own part: the
	 * entries of its place, where places keep to themselves.
	 */
	PeerLoad nearTotal(long nowNanos) {
		return this.own.plus(sum(this.peers, nowNanos));
	}

	private PeerLoad sum(Map<String, Heard> heard, long nowNanos) {
		PeerLoad sum = PeerLoad.NONE;
		for (Heard one : heard.values()) {
			long until = one.atNanos + PEER_TTL_NANOS;
			if (nowNanos < until) {
				sum = sum.plus(one.load);
				this.othersUntilNanos = Math.min(this.othersUntilNanos, until);
			}
		}
		return sum;
	}

	private void full(long nowNanos) {
		this.leftOutUntilNanos = nowNanos + LEFT_OUT_NANOS;
	}

	/**
	 * Notes that the runner is not what it is taken for: another start, or on other
	 * weights. It is left out for twice as long each time, until something new is heard
	 * of it: what is believed of it is wrong for as long as the news takes, a second and
	 * more after a crash.
	 */
	void misdirected(long nowNanos) {
		this.leftOutUntilNanos = nowNanos + (LEFT_OUT_NANOS << Math.min(MOST_DOUBLINGS, this.misdirectedInRow));
		this.misdirectedInRow++;
	}

	boolean leftOut(long nowNanos) {
		return nowNanos < this.leftOutUntilNanos;
	}

	/**
	 * Notes how long a first event took against its prediction.
	 */
	void measured(double ratio) {
		this.pace += PACE_SMOOTHING * (Math.clamp(ratio, LEAST_PACE, MOST_PACE) - this.pace);
	}

	private void forgive() {
		if (this.misdirectedInRow > 0) {
			this.misdirectedInRow = 0;
			this.leftOutUntilNanos = Long.MIN_VALUE;
		}
	}

	private record Heard(PeerLoad load, long atNanos) {
	}

}
