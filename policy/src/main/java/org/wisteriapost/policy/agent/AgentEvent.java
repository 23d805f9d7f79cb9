package org.wisteriapost.policy.agent;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.wisteriapost.policy.request.Priority;

/**
 * An input of {@link AgentStateMachine}.
 */
public sealed interface AgentEvent {

	/** Sent once a second and when a {@link AgentEffect.ScheduleTick} is due. */
	record Tick() implements AgentEvent {
	}

	/**
	 * A peer or the platform reported a head.
	 *
	 * @param generation generation of the head
	 * @param digest digest of its bundle
	 * @param confirmed whether the sender read it from the platform itself
	 * @param stalenessMillis time since the sender read it
	 */
	record HeadReceived(long generation, String digest, boolean confirmed, long stalenessMillis) implements AgentEvent {
	}

	/**
	 * The number of connected entries has changed.
	 *
	 * @param count number of links to entries
	 */
	record EntriesConnected(int count) implements AgentEvent {
	}

	/**
	 * A bundle was received and is not verified yet.
	 *
	 * @param digest requested digest
	 * @param content unverified content
	 * @param signatures unverified signatures by operator
	 */
	record BundleReceived(String digest, byte[] content, Map<String, byte[]> signatures) implements AgentEvent {
	}

	/**
	 * No source could provide a bundle.
	 *
	 * @param digest requested digest
	 */
	record BundleUnavailable(String digest) implements AgentEvent {
	}

	/**
	 * All chunks are verified and stored in the weight store.
	 *
	 * @param weightsDigest combined digest of the files
	 */
	record WeightsFetched(String weightsDigest) implements AgentEvent {
	}

	/**
	 * A fetch of weights failed.
	 *
	 * @param weightsDigest combined digest of the files
	 * @param code reason
	 */
	record WeightsFetchFailed(String weightsDigest, String code) implements AgentEvent {
	}

	/**
	 * Progress of the current fetch.
	 *
	 * @param verifiedChunks number of chunks fetched and verified
	 * @param totalChunks number of chunks needed
	 */
	record FetchProgress(long verifiedChunks, long totalChunks) implements AgentEvent {
	}

	/**
	 * A platform object was read; its value was current at some time after the read was
	 * sent.
	 *
	 * @param key key of the object
	 * @param value empty when the object does not exist
	 * @param sentNanos time at which the read was sent
	 */
	record ObjectRead(String key, Optional<StoredObject> value, long sentNanos) implements AgentEvent {
	}

	/**
	 * A read failed.
	 *
	 * @param key key of the object
	 */
	record ObjectReadFailed(String key) implements AgentEvent {
	}

	/**
	 * A write took effect.
	 *
	 * @param key key of the object
	 * @param version its new version
	 */
	record ObjectWritten(String key, long version) implements AgentEvent {
	}

	/**
	 * A write had no effect because the object did not have the expected version.
	 *
	 * @param key key of the object
	 */
	record ObjectWriteConflict(String key) implements AgentEvent {
	}

	/**
	 * A write was not confirmed and may or may not have taken effect.
	 *
	 * @param key key of the object
	 */
	record ObjectWriteUnconfirmed(String key) implements AgentEvent {
	}

	/**
	 * The engine's status was read.
	 *
	 * @param status the status
	 */
	record EngineStatusRead(LocalEngineStatus status) implements AgentEvent {
	}

	/** Reading the engine's status failed. */
	record EngineStatusReadFailed() implements AgentEvent {
	}

	/** The engine accepted the order. */
	record OrderAccepted() implements AgentEvent {
	}

	/** The engine refused the order: it has seen a higher fencing number. */
	record OrderFenced() implements AgentEvent {
	}

	/** The engine's response was lost; the order may have been accepted. */
	record OrderUnconfirmed() implements AgentEvent {
	}

	/** The order was not sent because the lease had expired. */
	record OrderLeaseExpired() implements AgentEvent {
	}

	/**
	 * The live agents of this service and failure domain according to the VM list,
	 * including this one.
	 *
	 * @param vms names of their VMs
	 * @param selfLeaving whether the list marks this VM for removal
	 */
	record PeersRead(List<String> vms, boolean selfLeaving) implements AgentEvent {
	}

	/**
	 * An entry sent a call.
	 *
	 * @param call identifier, unique in this process
	 * @param priority priority given by the caller
	 * @param weightsDigest weights that must answer it; empty for a plain service
	 * @param arrivedNanos arrival time
	 * @param deadlineNanos time at which the caller stops waiting
	 */
	record CallArrived(long call, Priority priority, String weightsDigest, long arrivedNanos,
			long deadlineNanos) implements AgentEvent {
	}

	/**
	 * The runner sent the first byte of its response.
	 *
	 * @param call identifier of the call
	 */
	record ResponseStarted(long call) implements AgentEvent {
	}

	/**
	 * A started call has ended, successfully or not.
	 *
	 * @param call identifier of the call
	 */
	record CallEnded(long call) implements AgentEvent {
	}

	/**
	 * The entry cancelled a call, or its link was disconnected.
	 *
	 * @param call identifier of the call
	 */
	record CallCancelled(long call) implements AgentEvent {
	}

	/** A response came from other weights than requested and was withheld. */
	record WrongWeightsDetected() implements AgentEvent {
	}

	/** A connection to the runner could not be established. */
	record RunnerUnreachable() implements AgentEvent {
	}

	/** A signal, or a mark in the platform, requests that this VM drain and stop. */
	record LeaveRequested() implements AgentEvent {
	}

}
