package org.wisteriapost.policy.agent;

import java.util.List;

import org.wisteriapost.policy.bundle.WeightFile;

/**
 * Everything that an agent's decisions ask the I/O layer to do.
 */
public sealed interface AgentEffect {

	/**
	 * Come back with a {@link AgentEvent.Tick}.
	 *
	 * @param delayNanos after this time
	 */
	record Wake(long delayNanos) implements AgentEffect {
	}

	/**
	 * Read a platform object.
	 *
	 * @param key its key
	 */
	record ReadObject(String key) implements AgentEffect {
	}

	/**
	 * Write a platform object.
	 *
	 * @param key its key
	 * @param value its new bytes
	 * @param version the version it must have, {@link #ABSENT} or {@link #ANYTHING}
	 */
	record WriteObject(String key, byte[] value, long version) implements AgentEffect {

		/** As the version: the object does not exist. */
		public static final long ABSENT = 0;

		/** As the version: whatever is there. */
		public static final long ANYTHING = -1;

	}

	/**
	 * Get a bundle with its approvals from an entry, or else from the platform.
	 *
	 * @param digest of its content
	 */
	record FetchBundle(String digest) implements AgentEffect {
	}

	/**
	 * Bring files into the weight store; ends any other fetch.
	 *
	 * @param weightsDigest of the files together
	 * @param files what to fetch
	 */
	record FetchWeights(String weightsDigest, List<WeightFile> files) implements AgentEffect {
	}

	/**
	 * Drop files from the weight store that the bundle in force does not name.
	 *
	 * @param files digests
	 */
	record DropWeights(List<String> files) implements AgentEffect {
	}

	/** Ask the engine what it serves. */
	record ReadEngine() implements AgentEffect {
	}

	/**
	 * Order the engine to load weights, unless the clock has passed a time directly
	 * before the order goes out.
	 *
	 * @param weightsDigest of the files together
	 * @param files digests of the files
	 * @param generation of the head
	 * @param epoch of this agent
	 * @param notAfterNanos end of the lease
	 */
	record SendOrder(String weightsDigest, List<String> files, long generation, long epoch,
			long notAfterNanos) implements AgentEffect {
	}

	/**
	 * Send a call to the runner.
	 *
	 * @param call the call
	 */
	record StartCall(long call) implements AgentEffect {
	}

	/**
	 * Tell the entry that a call was not run.
	 *
	 * @param call the call
	 * @param code why
	 * @param retryAfterMillis when to come back, 0 for no word
	 */
	record RefuseCall(long call, String code, long retryAfterMillis) implements AgentEffect {
	}

	/**
	 * Cancel a call at the runner, or forget one that has not started.
	 *
	 * @param call the call
	 */
	record CancelCall(long call) implements AgentEffect {
	}

	/** Send a report to every entry now. */
	record ReportNow() implements AgentEffect {
	}

	/** Tell every entry that this VM takes no new calls. */
	record SayLeaving() implements AgentEffect {
	}

	/**
	 * Tell the transfer of weights how late live traffic is.
	 *
	 * @param share 0 when calm, 1 when every answer is late
	 */
	record SlowTransfer(double share) implements AgentEffect {
	}

	/**
	 * End the process.
	 *
	 * @param code why, empty when it drained as asked
	 */
	record Stop(String code) implements AgentEffect {
	}

}
