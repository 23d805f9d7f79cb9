package org.wisteriapost.protocol.site;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.policy.fleet.RunnerIncarnation;

/**
 * Orders to the engine beside an agent.
 */
public interface EngineControl {

	/** The engine did not answer. */
	Code UNREACHABLE = Code.unavailable("engine-unreachable", "The engine beside this agent did not answer.");

	/**
	 * Returns how the engine is; read on its own VM it is as of now.
	 */
	CompletableFuture<Report> report();

	/**
	 * Orders the engine to take the staged weights after what is running.
	 * @param sequence the number of orders that the engine must have accepted so far
	 */
	CompletableFuture<Reply> take(String model, int version, long sequence);

	/**
	 * How an engine is.
	 *
	 * @param versions the version that it serves, by model; none while it holds no layer
	 * @param busy whether an order is in progress
	 * @param sequence orders accepted since it started
	 * @param waiting requests that wait
	 * @param active requests in work
	 * @param start tells this start of the engine from others
	 */
	record Report(Map<String, Integer> versions, boolean busy, long sequence, int waiting, int active,
			RunnerIncarnation start) {
	}

	/**
	 * What became of an order.
	 */
	enum Reply {

		/** It has begun. */
		BEGUN,
		/** What it asks for is already so. */
		IN_FORCE,
		/** It does not fit the engine's state; the state must be read again. */
		CONFLICT,
		/** The engine does not take it. */
		REJECTED

	}

}
