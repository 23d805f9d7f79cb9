package org.wisteriapost.policy.rollout;

import org.wisteriapost.policy.dispatch.EngineWord;

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
	 * @param word what is said of it
	 */
	record Tell(EngineWord word) implements RolloutEffect {
	}

}
