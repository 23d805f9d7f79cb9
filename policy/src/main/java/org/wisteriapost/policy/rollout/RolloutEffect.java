package org.wisteriapost.policy.rollout;

import java.util.OptionalInt;
import java.util.OptionalLong;

import org.wisteriapost.policy.fleet.RunnerStart;

/**
 * What an agent is to do.
 */
public sealed interface RolloutEffect {

	/** Read the engine's report. */
	record ReadReport() implements RolloutEffect {
	}

	/**
	 * Bring a version's pieces into the engine's memory for staged weights.
	 *
	 * @param version which
	 */
	record Fetch(int version) implements RolloutEffect {
	}

	/**
	 * Give up the fetch under way.
	 *
	 * @param version which
	 */
	record Abandon(int version) implements RolloutEffect {
	}

	/**
	 * Read every staged piece back and check it.
	 *
	 * @param version which
	 */
	record Verify(int version) implements RolloutEffect {
	}

	/**
	 * Order the engine to take what is staged.
	 *
	 * @param version which
	 * @param sequence orders that the engine must have accepted so far
	 */
	record Take(int version, long sequence) implements RolloutEffect {
	}

	/**
	 * Tell the entries how the engine is.
	 *
	 * @param version that it holds
	 * @param switching whether it takes no requests now
	 * @param closesNanos when it will take none, when that is planned
	 * @param start the start of the engine that this is said of
	 */
	record Tell(OptionalInt version, boolean switching, OptionalLong closesNanos,
			RunnerStart start) implements RolloutEffect {
	}

}
