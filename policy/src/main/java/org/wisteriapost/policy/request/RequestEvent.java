package org.wisteriapost.policy.request;

import java.util.Map;
import java.util.Set;

/**
 * Everything that the request decisions learn.
 */
public sealed interface RequestEvent {

	/**
	 * A caller's request, authenticated and within its limits.
	 *
	 * @param request the request
	 */
	record Arrived(Request request) implements RequestEvent {
	}

	/**
	 * The idempotency key of a request is claimed in the platform: it may now run, once.
	 *
	 * @param id the request
	 */
	record Claimed(long id) implements RequestEvent {
	}

	/**
	 * The key could not be claimed or was claimed before; the I/O layer has answered.
	 *
	 * @param id the request
	 */
	record ClaimLost(long id) implements RequestEvent {
	}

	/**
	 * The answer's head is on its way to the caller: from here on no other runner can
	 * take over unnoticed.
	 *
	 * @param id the request
	 */
	record Started(long id) implements RequestEvent {
	}

	/**
	 * The whole answer has come.
	 *
	 * @param id the request
	 */
	record Ended(long id) implements RequestEvent {
	}

	/**
	 * A runner did not answer whole.
	 *
	 * @param id the request
	 * @param runner who had it
	 * @param notRun whether it is certain that not one byte reached the runner
	 * @param code why
	 * @param retryAfterMillis when the gate wants it back, 0 for no word
	 */
	record Failed(long id, String runner, boolean notRun, String code, long retryAfterMillis) implements RequestEvent {
	}

	/**
	 * The caller has hung up.
	 *
	 * @param id the request
	 */
	record CallerGone(long id) implements RequestEvent {
	}

	/**
	 * An agent's report.
	 *
	 * @param view what it says
	 */
	record RunnerSeen(RunnerView view) implements RequestEvent {
	}

	/**
	 * The link to an agent is gone. Its calls end by {@link Failed} of their own.
	 *
	 * @param runner the endpoint VM
	 */
	record RunnerLost(String runner) implements RequestEvent {
	}

	/**
	 * A new head is known.
	 *
	 * @param generation its generation
	 * @param digests for each service the weights digests an answer may come from: the
	 * accepted bundle's and, while runners still switch, its predecessor's
	 */
	record HeadSeen(long generation, Map<String, Set<String>> digests) implements RequestEvent {

		public HeadSeen {
			digests = Map.copyOf(digests);
		}

	}

	/**
	 * The VM list or the platform's mark says these VMs are leaving.
	 *
	 * @param vms all VMs known to be leaving
	 */
	record LeavingSeen(Set<String> vms) implements RequestEvent {

		public LeavingSeen {
			vms = Set.copyOf(vms);
		}

	}

	/** This entry takes no new work from now on; running requests end whole. */
	record Drain() implements RequestEvent {
	}

	/** Time has passed. */
	record Tick() implements RequestEvent {
	}

}
