package org.wisteriapost.policy.ratelimit;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * The limit that one incarnation of a runner names for its rate, and the permits for this
 * entry's share of it. It holds until an answer to a later request does not name it any
 * more.
 */
public final class RunnerRateLimit {

	// Below it answers would be too rare to tell that the limit has ended.
	private static final double MIN_PER_SECOND = 0.25;

	// An entry without demand learns from its rare answers as well.
	private static final double MIN_SHARE_PER_SECOND = 0.001;

	/** How long an entry reports what a runner has told it. */
	static final Duration REPORT_TTL = Duration.ofSeconds(10);

	// A report of another entry may wait on a slow link. What it states is dated by its
	// arrival.
	private static final Duration MAX_REPORT_DELAY = Duration.ofSeconds(1);

	private RateStatement known = RateStatement.NONE;

	private Optional<RatePermits> permits = Optional.empty();

	private boolean toldByRunner;

	private boolean everLimited;

	/**
	 * Records what an answer of the runner states, and returns whether that changes what
	 * is known.
	 */
	public boolean answered(RateStatement statement) {
		return apply(statement, true);
	}

	/**
	 * Records what the runner has told another entry, and returns whether that changes
	 * what is known.
	 */
	public boolean reported(RateStatement statement) {
		return apply(statement.maybeEarlierBy(MAX_REPORT_DELAY), false);
	}

	// Where the order of two statements is not known the stricter one holds: the next
	// answer tells that the limit has ended, while requests that were sent can't be
	// taken back.
	private boolean apply(RateStatement statement, boolean byRunner) {
		if (statement.perSecond().equals(this.known.perSecond())) {
			this.toldByRunner = (statement.latestNanos() - this.known.latestNanos() > 0) ? byRunner : this.toldByRunner;
			this.known = this.known.repeatedBy(statement);
			return false;
		}
		boolean holds = statement.stricterThan(this.known) ? !this.known.certainlyAfter(statement)
				: statement.certainlyAfter(this.known);
		if (!holds) {
			return false;
		}
		this.known = statement;
		this.toldByRunner = byRunner;
		this.everLimited |= statement.perSecond().isPresent();
		if (statement.perSecond().isEmpty()) {
			this.permits = Optional.empty();
		}
		return true;
	}

	public OptionalDouble perSecond() {
		return this.known.perSecond();
	}

	/**
	 * Returns whether this entry may send a request to the runner now.
	 * @param share the share of the limit that this entry may use
	 */
	public boolean permits(double share, UniformRandomProvider random, long nowNanos) {
		if (perSecond().isEmpty()) {
			return true;
		}
		double rate = Math.max(MIN_SHARE_PER_SECOND, Math.max(MIN_PER_SECOND, perSecond().getAsDouble()) * share);
		if (this.permits.isEmpty()) {
			this.permits = Optional.of(new RatePermits(rate, random.nextDouble(), nowNanos));
		}
		this.permits.get().setRate(rate, nowNanos);
		return this.permits.get().available(nowNanos);
	}

	/**
	 * Records that a request is sent.
	 */
	public void sent(long nowNanos) {
		this.permits.ifPresent((bucket) -> bucket.take(nowNanos));
	}

	/**
	 * Returns what the runner has told this entry of its limit, or that it has none any
	 * more, if that was lately.
	 */
	public Optional<RateStatement> lastTold(long nowNanos) {
		boolean lately = nowNanos - this.known.latestNanos() < REPORT_TTL.toNanos();
		return (this.everLimited && this.toldByRunner && lately) ? Optional.of(this.known) : Optional.empty();
	}

}
