package org.wisteriapost.policy.rollout;

import org.wisteriapost.policy.dispatch.EngineStatus;

/**
 * The actions that a {@link Rollout} requests from the agent.
 */
public sealed interface RolloutEffect {

	/** Read the engine's report. */
	record ReadReport() implements RolloutEffect {
	}

	/**
	 * Fetch the chunks of a version into the staging memory of the engine.
	 *
	 * @param version the version
	 */
	record Fetch(int version) implements RolloutEffect {
	}

	/**
	 * Abandon the fetch in progress.
	 *
	 * @param version the version
	 */
	record Abandon(int version) implements RolloutEffect {
	}

	/**
	 * Read back and verify every staged chunk.
	 *
	 * @param version the version
	 */
	record Verify(int version) implements RolloutEffect {
	}

	/**
	 * Order the engine to switch to the staged weights.
	 *
	 * @param version the version
	 * @param sequence number of orders that the engine must have accepted before
	 */
	record Take(int version, long sequence) implements RolloutEffect {
	}

	/**
	 * Publish the status of the engine to the entries.
	 *
	 * @param status the status
	 */
	record PublishStatus(EngineStatus status) implements RolloutEffect {
	}

}
