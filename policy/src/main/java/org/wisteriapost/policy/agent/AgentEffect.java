package org.wisteriapost.policy.agent;

import java.util.List;

import org.wisteriapost.policy.bundle.WeightFile;

/**
 * An action that {@link AgentStateMachine} requests from the I/O layer.
 */
public sealed interface AgentEffect {

	/**
	 * Schedules a {@link AgentEvent.Tick}.
	 *
	 * @param delayNanos delay until the tick
	 */
	record ScheduleTick(long delayNanos) implements AgentEffect {
	}

	/**
	 * Reads a platform object.
	 *
	 * @param key key of the object
	 */
	record ReadObject(String key) implements AgentEffect {
	}

	/**
	 * Writes a platform object by conditional update.
	 *
	 * @param key key of the object
	 * @param value new value
	 * @param expectedVersion expected current version, {@link #ABSENT} or
	 * {@link #ANY_VERSION}
	 */
	record WriteObject(String key, byte[] value, long expectedVersion) implements AgentEffect {

		/** Expected version of an object that does not exist. */
		public static final long ABSENT = 0;

		/** Writes unconditionally. */
		public static final long ANY_VERSION = -1;

	}

	/**
	 * Fetches a bundle with its approvals from an entry, falling back to the platform.
	 *
	 * @param digest digest of its content
	 */
	record FetchBundle(String digest) implements AgentEffect {
	}

	/**
	 * Fetches files into the weight store and cancels any other fetch.
	 *
	 * @param weightsDigest combined digest of the files
	 * @param files files to fetch
	 */
	record FetchWeights(String weightsDigest, List<WeightFile> files) implements AgentEffect {
	}

	/**
	 * Deletes files from the weight store that the active bundle does not reference.
	 *
	 * @param files digests of the files
	 */
	record DeleteWeights(List<String> files) implements AgentEffect {
	}

	/** Reads the engine's status. */
	record ReadEngine() implements AgentEffect {
	}

	/**
	 * Orders the engine to load weights. The I/O layer checks the clock directly before
	 * sending and does not send the order after the lease has expired.
	 *
	 * @param weightsDigest combined digest of the files
	 * @param files digests of the files
	 * @param generation generation of the head
	 * @param epoch epoch of this agent
	 * @param notAfterNanos expiry of the lease
	 */
	record SendOrder(String weightsDigest, List<String> files, long generation, long epoch,
			long notAfterNanos) implements AgentEffect {
	}

	/**
	 * Sends a call to the runner.
	 *
	 * @param call identifier of the call
	 */
	record StartCall(long call) implements AgentEffect {
	}

	/**
	 * Reports to the entry that a call was not run.
	 *
	 * @param call identifier of the call
	 * @param code reason
	 * @param retryAfterMillis suggested delay before a retry, 0 for none
	 */
	record RefuseCall(long call, String code, long retryAfterMillis) implements AgentEffect {
	}

	/**
	 * Cancels a call at the runner, or discards one that has not started.
	 *
	 * @param call identifier of the call
	 */
	record CancelCall(long call) implements AgentEffect {
	}

	/** Sends a status report to every entry immediately. */
	record SendReport() implements AgentEffect {
	}

	/** Announces to every entry that this VM accepts no new calls. */
	record AnnounceLeaving() implements AgentEffect {
	}

	/**
	 * Throttles the transfer of weights according to the latency of live traffic.
	 *
	 * @param lateShare share of late responses, from 0 to 1
	 */
	record ThrottleTransfer(double lateShare) implements AgentEffect {
	}

	/**
	 * Stops the process.
	 *
	 * @param code reason, empty after a complete drain
	 */
	record Stop(String code) implements AgentEffect {
	}

}
