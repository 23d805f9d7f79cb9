package org.wisteriapost.policy.dispatch;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

import org.wisteriapost.policy.routing.Organisation;
import org.wisteriapost.policy.routing.Route;
import org.wisteriapost.policy.routing.RouteKind;

/**
 * One request in progress. The dispatcher's thread owns it, but for what
 * {@link #progressed} and {@link #begunOn} note, which belongs to the thread that reads
 * the runner's answer.
 */
public final class Job {

	private final long id;

	private final Attempt attempt;

	private final Route route;

	private final String service;

	private final Optional<Organisation> organisation;

	private final Size size;

	private final long arrivedNanos;

	private final long deadlineNanos;

	// Written by the thread that reads the answer: what went out to the caller, when the
	// last of it came, and on which weights it began.
	private volatile int events;

	private volatile long progressNanos;

	private volatile Optional<String> lastEvent;

	private volatile OptionalInt weightsVersion = OptionalInt.empty();

	Optional<RunnerState> runner = Optional.empty();

	final Set<String> tried = new HashSet<>();

	int dispatches;

	int runs;

	long sentNanos;

	double predictedMillis;

	double baseMillis;

	// When the caller first asked, if an earlier attempt is known.
	long wantedNanos;

	// Whether it was sent to go last at its runner.
	boolean sentLate;

	boolean headed;

	boolean firstSeen;

	boolean over;

	private Job(long id, Attempt attempt, Route route, String service, Optional<Organisation> organisation, Size size,
			long arrivedNanos, long deadlineNanos) {
		this.id = id;
		this.attempt = attempt;
		this.route = route;
		this.service = service;
		this.organisation = organisation;
		this.size = size;
		this.lastEvent = attempt.lastEvent();
		this.arrivedNanos = arrivedNanos;
		this.deadlineNanos = deadlineNanos;
		this.wantedNanos = arrivedNanos;
	}

	/**
	 * Returns a request that has just arrived.
	 * @param attempt what its caller names it by
	 * @param service the service that its route chose
	 * @param deadlineNanos when it must have its final answer
	 */
	public static Job arrived(long id, Attempt attempt, Route route, String service,
			Optional<Organisation> organisation, Size size, long arrivedNanos, long deadlineNanos) {
		return new Job(id, attempt, route, service, organisation, size, arrivedNanos, deadlineNanos);
	}

	public long id() {
		return this.id;
	}

	public String attempt() {
		return this.attempt.id();
	}

	/**
	 * Returns what is equal for all attempts of the request, when it is known.
	 */
	public OptionalLong request() {
		return this.attempt.request();
	}

	public Route route() {
		return this.route;
	}

	public String service() {
		return this.service;
	}

	public Optional<Organisation> organisation() {
		return this.organisation;
	}

	public Size size() {
		return this.size;
	}

	public long arrivedNanos() {
		return this.arrivedNanos;
	}

	public long deadlineNanos() {
		return this.deadlineNanos;
	}

	/**
	 * Returns the predicted time to the first event after the latest dispatch.
	 */
	public double predictedMillis() {
		return this.predictedMillis;
	}

	/**
	 * Returns when the latest dispatch went out.
	 */
	public long sentNanos() {
		return this.sentNanos;
	}

	/**
	 * Returns the number of the latest dispatch, from 1; what is heard of an earlier one
	 * no longer counts.
	 */
	public int dispatch() {
		return this.dispatches;
	}

	/**
	 * Returns the last event that the caller has.
	 */
	public Optional<String> lastEvent() {
		return this.lastEvent;
	}

	/**
	 * Returns what is to be remembered of the request when it is refused.
	 */
	public Optional<RefusedRequest> refused() {
		return request().isPresent()
				? Optional.of(new RefusedRequest(request().getAsLong(), this.wantedNanos, this.deadlineNanos))
				: Optional.empty();
	}

	/**
	 * Returns how many events went out to the caller; for any thread.
	 */
	public int events() {
		return this.events;
	}

	/**
	 * Returns the weights that the answer has begun on; for any thread.
	 */
	public OptionalInt weightsVersion() {
		return this.weightsVersion;
	}

	/**
	 * Notes events that went out to the caller; called by the one thread that reads the
	 * answer.
	 * @param last the id of the last one, when it has one
	 */
	public void progressed(int count, Optional<String> last, long nowNanos) {
		this.events += count;
		this.progressNanos = nowNanos;
		if (last.isPresent()) {
			this.lastEvent = last;
		}
	}

	/**
	 * Notes the weights that the answer begins on; called by the thread that reads it.
	 */
	public void begunOn(OptionalInt version) {
		this.weightsVersion = version;
	}

	/**
	 * Notes that it is sent to a runner.
	 * @param late whether it goes last there
	 */
	void sentTo(RunnerState to, Placement.Choice choice, boolean late, long nowNanos) {
		this.dispatches++;
		this.runs++;
		this.tried.add(to.info.id());
		this.runner = Optional.of(to);
		this.sentNanos = nowNanos;
		this.sentLate = late;
		this.firstSeen = false;
		this.predictedMillis = choice.predictedMillis();
		this.baseMillis = choice.engine() ? choice.baseMillis() : 0;
	}

	/**
	 * Returns when the answer last moved: its last event, or when it was sent.
	 */
	long movedNanos() {
		return (this.events > 0) ? Math.max(this.progressNanos, this.sentNanos) : this.sentNanos;
	}

	boolean stream() {
		return this.route.kind() == RouteKind.STREAM;
	}

	/**
	 * What a caller names its request by.
	 *
	 * @param id new with each attempt
	 * @param request equal for all attempts of one request
	 * @param lastEvent the event after which the caller resumes a stream
	 */
	public record Attempt(String id, OptionalLong request, Optional<String> lastEvent) {
	}

	/**
	 * How much work a request is.
	 *
	 * @param promptTokens to read; 0 when unknown
	 * @param answerTokens to write at most; 0 when unknown
	 * @param likelyAnswerTokens the caller's estimate of the tokens to write
	 */
	public record Size(int promptTokens, int answerTokens, OptionalInt likelyAnswerTokens) {
	}

}
