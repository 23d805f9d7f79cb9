package org.wisteriapost.protocol.site;

import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.policy.fleet.RunnerIncarnation;

/**
 * Controls the engine on an agent's VM.
 */
public interface EngineControl {

	/** The engine did not answer. */
	Code UNREACHABLE = Code.unavailable("engine-unreachable", "The engine beside this agent did not answer.");

	/**
	 * Returns the engine's current state. The engine runs on the same VM, so the report
	 * is not stale.
	 */
	CompletableFuture<Report> report();

	/**
	 * Orders the engine to switch to the staged weights after the requests in progress.
	 * @param sequence the number of orders that the engine must have accepted before this
	 * one
	 */
	CompletableFuture<Reply> switchTo(String model, int version, long sequence);

	/**
	 * The state of an engine.
	 *
	 * @param versions the version that it serves, by model; absent while no layer is
	 * loaded
	 * @param busy whether an order is in progress
	 * @param sequence number of orders accepted since the engine started
	 * @param queued number of queued requests
	 * @param active number of requests in progress
	 * @param incarnation the incarnation of the engine
	 * @param pace above 1, the factor by which the engine is slower than declared; empty
	 * if the engine does not report it
	 */
	record Report(Map<String, Integer> versions, boolean busy, long sequence, int queued, int active,
			RunnerIncarnation incarnation, OptionalDouble pace) {
	}

	/**
	 * The result of an order.
	 */
	enum Reply {

		/** The engine has started to carry it out. */
		BEGUN,
		/** The engine already serves the requested version. */
		IN_FORCE,
		/** It conflicts with the engine's state, which must be read again. */
		CONFLICT,
		/** The engine rejected it. */
		REJECTED

	}

}
