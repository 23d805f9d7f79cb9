package org.wisteriapost.entry.direct;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.wisteriapost.entry.caller.CallerAnswer;
import org.wisteriapost.policy.dispatch.Job;

/**
 * A request in progress and the {@link ResponseForwarder} that may write its answer.
 *
 * A request has at most one current forwarder. One that was replaced is cancelled and
 * writes nothing more, so an answer never mixes the output of two dispatches.
 */
final class DirectCall {

	private final IncomingRequest request;

	private final Job job;

	// The fields below are confined to the I/O thread.

	private Optional<ResponseForwarder> forwarder = Optional.empty();

	private Optional<RunnerResponse> heldResponse = Optional.empty();

	private boolean headSent;

	private boolean complete;

	DirectCall(IncomingRequest request, Job job) {
		this.request = request;
		this.job = job;
	}

	IncomingRequest request() {
		return this.request;
	}

	Job job() {
		return this.job;
	}

	CallerAnswer answer() {
		return this.request.answer();
	}

	/**
	 * Replaces the forwarder and cancels the one before.
	 */
	void forwarder(Optional<ResponseForwarder> next) {
		Optional<ResponseForwarder> previous = this.forwarder;
		this.forwarder = next;
		previous.ifPresent(ResponseForwarder::cancel);
	}

	boolean isForwardedBy(ResponseForwarder candidate) {
		return this.forwarder.isPresent() && this.forwarder.get() == candidate;
	}

	/**
	 * Records that the response head was sent to the caller.
	 */
	void markHeadSent() {
		this.headSent = true;
	}

	boolean headSent() {
		return this.headSent;
	}

	/**
	 * Records that the complete answer was sent to the caller.
	 */
	void markComplete() {
		this.complete = true;
	}

	boolean complete() {
		return this.complete;
	}

	/**
	 * Keeps a runner's error response until the state thread decides whether to retry on
	 * another runner or to forward it.
	 */
	void holdResponse(RunnerResponse response) {
		this.heldResponse = Optional.of(response);
	}

	Optional<RunnerResponse> heldResponse() {
		return this.heldResponse;
	}

	/**
	 * A complete response of a runner.
	 *
	 * @param status the HTTP status
	 * @param headers the headers to forward
	 * @param body the complete body
	 */
	record RunnerResponse(int status, List<Map.Entry<String, String>> headers, byte[] body) {
	}

}
