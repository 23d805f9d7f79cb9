package org.wisteriapost.policy.request;

import java.util.Map;
import java.util.Set;

/**
 * Inputs of {@link RequestStateMachine}.
 */
public sealed interface RequestEvent {

	/**
	 * A caller's request, authenticated and within the limits of a single request.
	 *
	 * @param request the request
	 */
	record Arrived(Request request) implements RequestEvent {
	}

	/**
	 * The request's idempotency key is claimed in the platform, so that the request may
	 * run once.
	 *
	 * @param id the request
	 */
	record Claimed(long id) implements RequestEvent {
	}

	/**
	 * The key could not be claimed or was claimed before; the I/O layer has answered the
	 * caller.
	 *
	 * @param id the request
	 */
	record ClaimFailed(long id) implements RequestEvent {
	}

	/**
	 * The start of the answer has been forwarded to the caller, so that the request can
	 * no longer be retried on another runner.
	 *
	 * @param id the request
	 */
	record AnswerStarted(long id) implements RequestEvent {
	}

	/**
	 * The answer is complete.
	 *
	 * @param id the request
	 */
	record AnswerCompleted(long id) implements RequestEvent {
	}

	/**
	 * A runner did not return a complete answer.
	 *
	 * @param id the request
	 * @param runner the runner that it was sent to
	 * @param notRun whether it is certain that the request did not run
	 * @param code the reason
	 * @param retryAfterMillis retry interval given by the gate, 0 for none
	 */
	record DispatchFailed(long id, String runner, boolean notRun, String code,
			long retryAfterMillis) implements RequestEvent {
	}

	/**
	 * The caller has disconnected.
	 *
	 * @param id the request
	 */
	record CallerDisconnected(long id) implements RequestEvent {
	}

	/**
	 * A status report of an agent.
	 *
	 * @param status the reported status
	 */
	record RunnerReported(RunnerStatus status) implements RequestEvent {
	}

	/**
	 * The connection to an agent is closed. A {@link DispatchFailed} event follows for
	 * each of its calls.
	 *
	 * @param runner the endpoint VM
	 */
	record RunnerDisconnected(String runner) implements RequestEvent {
	}

	/**
	 * A head was read.
	 *
	 * @param generation its generation
	 * @param digests for each service, the weights digests that may serve it: those of
	 * the accepted bundle and, while runners are still switching, of its predecessor
	 */
	record HeadRead(long generation, Map<String, Set<String>> digests) implements RequestEvent {

		public HeadRead {
			digests = Map.copyOf(digests);
		}

	}

	/**
	 * The VMs that are leaving according to the VM list or a mark in the platform.
	 *
	 * @param vms all VMs known to be leaving
	 */
	record LeavingVmsRead(Set<String> vms) implements RequestEvent {

		public LeavingVmsRead {
			vms = Set.copyOf(vms);
		}

	}

	/** This entry accepts no new requests; pending ones are completed. */
	record Drain() implements RequestEvent {
	}

	/** Periodic tick. */
	record Tick() implements RequestEvent {
	}

}
