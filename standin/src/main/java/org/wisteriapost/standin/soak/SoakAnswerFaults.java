package org.wisteriapost.standin.soak;

import java.util.OptionalLong;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Chooses how runners answer. Its random generator is its own, so that a run without
 * these faults does not depend on it.
 */
final class SoakAnswerFaults {

	private static final int NEVER = -1;

	private static final AnswerPlan NONE = new AnswerPlan(NEVER, 0, NEVER, false);

	private static final double REPEAT_SHARE = 0.1;

	private static final double ENDLESS_SHARE = 0.03;

	private static final long MAX_REPEAT_DELAY_NANOS = 300 * VirtualTime.MILLI;

	private static final double PAUSE_SHARE = 0.1;

	private static final double CUT_SHARE = 0.05;

	private static final double UNFRAMED_SHARE = 0.3;

	private static final long MIN_PAUSE_NANOS = 800 * VirtualTime.MILLI;

	private static final long MAX_PAUSE_NANOS = 2000 * VirtualTime.MILLI;

	private final UniformRandomProvider random;

	// So that the other faults of a run do not depend on these.
	private final UniformRandomProvider strayRandom;

	private final SoakOptions options;

	private final SoakLedger ledger;

	SoakAnswerFaults(long seed, SoakOptions options, SoakLedger ledger) {
		this.random = RandomSource.SPLIT_MIX_64.create(~seed);
		this.strayRandom = RandomSource.SPLIT_MIX_64.create(Long.reverse(seed));
		this.options = options;
		this.ledger = ledger;
	}

	/**
	 * Chooses how the next answer is written. Faults may coincide in an answer.
	 * @param parts the number of parts that it is written in
	 * @param stream whether the parts are events
	 */
	AnswerPlan next(int parts, boolean stream) {
		if (!this.options.disturbedAnswers()) {
			return NONE;
		}
		int pauseBefore = choose(PAUSE_SHARE, parts, "runnerPauses");
		long pauseNanos = MIN_PAUSE_NANOS + this.random.nextLong(MAX_PAUSE_NANOS - MIN_PAUSE_NANOS);
		int endWithin = stream ? choose(CUT_SHARE, parts, "streamsToCut") : NEVER;
		return new AnswerPlan(pauseBefore, pauseNanos, endWithin, this.random.nextDouble() < UNFRAMED_SHARE);
	}

	/**
	 * Returns after how long the end of an answer is sent once more, if it is.
	 */
	OptionalLong repeatDelayNanos() {
		if (!this.options.strayAnswers() || this.strayRandom.nextDouble() >= REPEAT_SHARE) {
			return OptionalLong.empty();
		}
		this.ledger.count("answersRepeated");
		return OptionalLong.of(this.strayRandom.nextLong(MAX_REPEAT_DELAY_NANOS));
	}

	/**
	 * Chooses whether an event of a stream does not end.
	 */
	boolean eventWithoutEnd() {
		boolean endless = this.options.strayAnswers() && this.strayRandom.nextDouble() < ENDLESS_SHARE;
		if (endless) {
			this.ledger.count("eventsWithoutEnd");
		}
		return endless;
	}

	private int choose(double share, int parts, String counter) {
		if (this.random.nextDouble() >= share) {
			return NEVER;
		}
		this.ledger.count(counter);
		return this.random.nextInt(parts);
	}

	/**
	 * How an answer is written.
	 *
	 * @param pauseBefore the part before which the runner falls silent
	 * @param pauseNanos for how long
	 * @param endWithin the event within which the stream ends in an orderly way
	 * @param unframed whether the answer ends with its connection, also when the runner
	 * crashes
	 */
	record AnswerPlan(int pauseBefore, long pauseNanos, int endWithin, boolean unframed) {

		long pauseNanos(int part) {
			return (part == this.pauseBefore) ? this.pauseNanos : 0;
		}

	}

}
