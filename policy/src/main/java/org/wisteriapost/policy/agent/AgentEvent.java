package org.wisteriapost.policy.agent;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.wisteriapost.policy.request.Priority;

/**
 * Everything that an agent's decisions learn.
 */
public sealed interface AgentEvent {

	/** Time has passed: once a second, and when a {@link AgentEffect.Wake} is due. */
	record Tick() implements AgentEvent {
	}

	/**
	 * Somebody said what the head is.
	 *
	 * @param generation of the head
	 * @param digest of its bundle
	 * @param confirmed whether the speaker read it from the platform itself
	 * @param ageMillis how long ago it did
	 */
	record HeadHeard(long generation, String digest, boolean confirmed, long ageMillis) implements AgentEvent {
	}

	/**
	 * How many entries are connected.
	 *
	 * @param count links with an entry at the other end
	 */
	record EntriesConnected(int count) implements AgentEvent {
	}

	/**
	 * The bytes that someone says are a bundle.
	 *
	 * @param digest the digest that was asked for
	 * @param content unchecked
	 * @param signatures of operators by name, unchecked
	 */
	record BundleArrived(String digest, byte[] content, Map<String, byte[]> signatures) implements AgentEvent {
	}

	/**
	 * Nobody could give a bundle now.
	 *
	 * @param digest the digest that was asked for
	 */
	record BundleMissing(String digest) implements AgentEvent {
	}

	/**
	 * All chunks are verified and in the weight store.
	 *
	 * @param weightsDigest of the files together
	 */
	record WeightsFetched(String weightsDigest) implements AgentEvent {
	}

	/**
	 * The weights cannot be had.
	 *
	 * @param weightsDigest of the files together
	 * @param code why
	 */
	record WeightsFailed(String weightsDigest, String code) implements AgentEvent {
	}

	/**
	 * How far the fetch has come.
	 *
	 * @param verified chunks
	 * @param total chunks
	 */
	record FetchProgress(long verified, long total) implements AgentEvent {
	}

	/**
	 * A platform object as it stood at some time after the read was sent.
	 *
	 * @param key its key
	 * @param value empty when it does not exist
	 * @param sentNanos when the read was sent
	 */
	record ObjectRead(String key, Optional<StoredObject> value, long sentNanos) implements AgentEvent {
	}

	/**
	 * A read failed.
	 *
	 * @param key what was read
	 */
	record ObjectUnread(String key) implements AgentEvent {
	}

	/**
	 * A write took effect.
	 *
	 * @param key what was written
	 * @param version its new version
	 */
	record ObjectWritten(String key, long version) implements AgentEvent {
	}

	/**
	 * A write had no effect: the object was not as expected.
	 *
	 * @param key what was to be written
	 */
	record ObjectConflict(String key) implements AgentEvent {
	}

	/**
	 * A write failed, and may have taken effect all the same.
	 *
	 * @param key what was to be written
	 */
	record ObjectUnconfirmed(String key) implements AgentEvent {
	}

	/**
	 * What the engine says of itself.
	 *
	 * @param view its state
	 */
	record EngineRead(EngineView view) implements AgentEvent {
	}

	/** The engine did not say what it serves. */
	record EngineUnread() implements AgentEvent {
	}

	/** The engine answered that it took the order. */
	record OrderTaken() implements AgentEvent {
	}

	/** The engine refused the order: it has seen a higher fencing number. */
	record OrderFenced() implements AgentEvent {
	}

	/** The order's answer was lost; it may have been taken. */
	record OrderUnconfirmed() implements AgentEvent {
	}

	/** The order was not sent: the lease had run out when it was its turn. */
	record OrderLapsed() implements AgentEvent {
	}

	/**
	 * The live agents of this service and place in the VM list, this one included.
	 *
	 * @param vms their names
	 * @param selfLeaving whether the list says that this VM is to go
	 */
	record PeersRead(List<String> vms, boolean selfLeaving) implements AgentEvent {
	}

	/**
	 * A call from an entry.
	 *
	 * @param call unique in this process
	 * @param priority the caller's urgency
	 * @param weightsDigest what it must be answered with; empty for a plain service
	 * @param arrivedNanos when it came in
	 * @param deadlineNanos when the caller stops waiting
	 */
	record CallArrived(long call, Priority priority, String weightsDigest, long arrivedNanos,
			long deadlineNanos) implements AgentEvent {
	}

	/**
	 * The runner's answer has begun.
	 *
	 * @param call the call
	 */
	record CallAnswered(long call) implements AgentEvent {
	}

	/**
	 * A started call is over, whatever became of it.
	 *
	 * @param call the call
	 */
	record CallEnded(long call) implements AgentEvent {
	}

	/**
	 * The entry does not want a call any more, or its link is gone.
	 *
	 * @param call the call
	 */
	record CallCancelled(long call) implements AgentEvent {
	}

	/** An answer came from other weights than the call asked for; it was withheld. */
	record WrongWeightsAnswered() implements AgentEvent {
	}

	/** No connection to the runner could be made. */
	record RunnerUnreachable() implements AgentEvent {
	}

	/** A signal or the platform's mark says that this VM is to go. */
	record LeaveAsked() implements AgentEvent {
	}

}
