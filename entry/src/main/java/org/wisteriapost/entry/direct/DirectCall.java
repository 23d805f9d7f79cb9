package org.wisteriapost.entry.direct;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.wisteriapost.entry.caller.CallerAnswer;
import org.wisteriapost.policy.dispatch.Job;
import org.wisteriapost.protocol.http.CallSeries;

/**
 * A request in progress and the {@link ResponseForwarder}s that may write its answer.
 *
 * A request has two forwarders while one runner is silent and another one is tried. The
 * first that has output cancels the other before it writes, and one that was cancelled
 * writes nothing more, so an answer never mixes the output of two dispatches.
 */
final class DirectCall {

	private final IncomingRequest request;

	private final Job job;

	// The runners' responses to all of them bear the id of the attempt.
	private final CallSeries dispatches = CallSeries.create();

	// Confined to the state thread.
	private final DispatchHistory history = new DispatchHistory();

	// The fields below are confined to the I/O thread.

	// By the number of the dispatch.
	private final Map<Integer, ResponseForwarder> forwarders = new TreeMap<>();

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

	DispatchHistory history() {
		return this.history;
	}

	CallerAnswer answer() {
		return this.request.answer();
	}

	/**
	 * Returns the calls to runners that its dispatches make.
	 */
	CallSeries dispatches() {
		return this.dispatches;
	}

	void addForwarder(int dispatch, ResponseForwarder forwarder) {
		this.forwarders.put(dispatch, forwarder);
	}

	/**
	 * Removes the forwarder of a dispatch that has ended.
	 */
	void removeForwarder(int dispatch) {
		this.forwarders.remove(dispatch);
	}

	/**
	 * Cancels a dispatch, unless it has ended.
	 */
	void cancel(int dispatch) {
		Optional.ofNullable(this.forwarders.remove(dispatch)).ifPresent(ResponseForwarder::cancel);
	}

	/**
	 * Cancels all dispatches but one and returns their numbers.
	 */
	List<Integer> cancelOthers(int dispatch) {
		List<Integer> others = others(dispatch);
		others.forEach(this::cancel);
		return others;
	}

	/**
	 * Returns the dispatches that may write the answer, apart from one.
	 */
	List<Integer> others(int dispatch) {
		if (this.forwarders.size() == 1 && this.forwarders.containsKey(dispatch)) {
			return List.of();
		}
		return this.forwarders.keySet().stream().filter((other) -> other != dispatch).toList();
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
