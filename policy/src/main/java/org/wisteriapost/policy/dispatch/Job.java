package org.wisteriapost.policy.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

import org.wisteriapost.policy.admission.AdmissionStanding;
import org.wisteriapost.policy.quarantine.PromptParts;
import org.wisteriapost.policy.region.AllowedRegions;
import org.wisteriapost.policy.routing.Organisation;
import org.wisteriapost.policy.routing.Route;
import org.wisteriapost.policy.routing.RouteKind;

/**
 * A request that is being dispatched. It is owned by the dispatcher's thread, except for
 * the state set by {@link #recordEvents} and {@link #recordWeightsVersion}, which is
 * written by the thread that reads the runner's response.
 */
public final class Job {

	private final long id;

	private final Attempt identity;

	private final Route route;

	private final String service;

	private final Optional<Organisation> organisation;

	// By the declarations that the request arrived with, which newer ones don't change.
	private final AllowedRegions allowedRegions;

	private final Size size;

	private final long arrivedNanos;

	private final long deadlineNanos;

	// Written by the thread that reads the response.
	private volatile int events;

	private volatile long lastEventNanos;

	private volatile Optional<String> lastEvent;

	private volatile OptionalInt weightsVersion = OptionalInt.empty();

	// In the order in which they were sent; two while a runner is silent.
	private final List<Dispatch> open = new ArrayList<>(2);

	private Optional<Dispatch> latest = Optional.empty();

	private Optional<DispatchOutcome> lastOutcome = Optional.empty();

	final Set<String> triedRunners = new HashSet<>();

	int dispatchCount;

	// Dispatches that may have been executed.
	int possibleRuns;

	// Arrival time of the first known attempt of the request.
	long firstAttemptNanos;

	// Whether any dispatch of the request has sent an event to the caller.
	boolean responseStarted;

	boolean finished;

	// As of the latest attempt to place the request.
	AdmissionStanding standing = AdmissionStanding.NONE;

	// Slots of a runner that the request leaves free, rounded at random.
	int reservedSlots;

	private Job(long id, Attempt attempt, Route route, String service, Optional<Organisation> organisation, Size size,
			long arrivedNanos, long deadlineNanos) {
		this.id = id;
		this.identity = attempt;
		this.route = route;
		this.service = service;
		this.organisation = organisation;
		this.allowedRegions = route.allowedRegions()
			.and(organisation.map(Organisation::allowedRegions).orElse(AllowedRegions.ANY));
		this.size = size;
		this.lastEvent = attempt.lastEvent();
		this.arrivedNanos = arrivedNanos;
		this.deadlineNanos = deadlineNanos;
		this.firstAttemptNanos = arrivedNanos;
	}

	/**
	 * Returns a request that has just arrived.
	 * @param attempt the identity of the attempt
	 * @param service the service selected by the route
	 * @param deadlineNanos the time by which the request must have a final response
	 */
	public static Job create(long id, Attempt attempt, Route route, String service, Optional<Organisation> organisation,
			Size size, long arrivedNanos, long deadlineNanos) {
		return new Job(id, attempt, route, service, organisation, size, arrivedNanos, deadlineNanos);
	}

	public long id() {
		return this.id;
	}

	public String attemptId() {
		return this.identity.id();
	}

	/**
	 * Returns the hash of the content, which is equal for all attempts of the request.
	 */
	public long contentHash() {
		return this.identity.contentHash();
	}

	/**
	 * Returns the parts of the prompt that may crash runners.
	 */
	PromptParts parts() {
		return this.identity.parts();
	}

	/**
	 * Returns a key that is equal for all attempts of the request, if known.
	 */
	public OptionalLong requestKey() {
		return this.identity.requestKey();
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

	/**
	 * Returns the regions that both the route and the organisation allow.
	 */
	public AllowedRegions allowedRegions() {
		return this.allowedRegions;
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
	 * Returns the predicted time from the latest dispatch to the first event.
	 */
	public double predictedMillis() {
		return this.latest.map((dispatch) -> dispatch.predictedMillis).orElse(0.0);
	}

	/**
	 * Returns the pace that the runner had stated at the latest dispatch.
	 */
	public double statedPace() {
		return this.latest.map((dispatch) -> dispatch.statedPace).orElse(1.0);
	}

	/**
	 * Returns the time of the latest dispatch.
	 */
	public long sentNanos() {
		return this.latest.map((dispatch) -> dispatch.sentNanos).orElse(0L);
	}

	/**
	 * Returns the time since an open dispatch sent its first event; -1 if it has sent
	 * none.
	 */
	public long sinceFirstEventMillis(int dispatch, long nowNanos) {
		OptionalLong first = openDispatch(dispatch).map((open) -> open.firstEventNanos).orElse(OptionalLong.empty());
		return first.isPresent() ? (nowNanos - first.getAsLong()) / Placement.NANOS_PER_MILLI : -1;
	}

	/**
	 * Returns its standing at the latest attempt to place it.
	 */
	public AdmissionStanding standing() {
		return this.standing;
	}

	/**
	 * Returns the number of the latest dispatch, starting at 1.
	 */
	public int dispatchNumber() {
		return this.dispatchCount;
	}

	/**
	 * Returns whether a dispatch has been sent and has neither ended nor been cancelled.
	 * Events of others are ignored.
	 * @param dispatch its number
	 */
	public boolean isOpen(int dispatch) {
		return openDispatch(dispatch).isPresent();
	}

	/**
	 * Returns how the dispatch that was the last to end has ended, if any has.
	 */
	public Optional<DispatchOutcome> lastOutcome() {
		return this.lastOutcome;
	}

	/**
	 * Returns the id of the last event that the caller has received.
	 */
	public Optional<String> lastEvent() {
		return this.lastEvent;
	}

	/**
	 * Returns the record that identifies a retry of this request after it has been
	 * refused, if the request has a key.
	 */
	public Optional<RefusedRequest> refusedRequest() {
		return requestKey().isPresent()
				? Optional.of(new RefusedRequest(requestKey().getAsLong(), this.firstAttemptNanos, this.deadlineNanos))
				: Optional.empty();
	}

	/**
	 * Returns the number of events sent to the caller. Can be called from any thread.
	 */
	public int events() {
		return this.events;
	}

	/**
	 * Returns the weights version of the response, if it has started. Can be called from
	 * any thread.
	 */
	public OptionalInt weightsVersion() {
		return this.weightsVersion;
	}

	/**
	 * Records events that were sent to the caller. Must be called only by the thread that
	 * reads the response.
	 * @param last the id of the last event, if it has one
	 */
	public void recordEvents(int count, Optional<String> last, long nowNanos) {
		this.events += count;
		this.lastEventNanos = nowNanos;
		if (last.isPresent()) {
			this.lastEvent = last;
		}
	}

	/**
	 * Records the weights version of the response. Must be called only by the thread that
	 * reads the response.
	 */
	public void recordWeightsVersion(OptionalInt version) {
		this.weightsVersion = version;
	}

	/**
	 * Opens a dispatch to the chosen runner.
	 * @param late whether the request has the rank of late requests
	 */
	Dispatch open(Placement.Choice choice, boolean late, long nowNanos) {
		this.dispatchCount++;
		this.possibleRuns++;
		Dispatch dispatch = Dispatch.create(this, this.dispatchCount, choice, late, nowNanos);
		this.triedRunners.add(dispatch.runner.info.id());
		this.open.add(dispatch);
		this.latest = Optional.of(dispatch);
		return dispatch;
	}

	/**
	 * Closes a dispatch that has ended.
	 */
	void closed(Dispatch dispatch, DispatchOutcome outcome) {
		this.lastOutcome = Optional.of(outcome);
		this.possibleRuns -= outcome.certainlyNotRun() ? 1 : 0;
		closed(dispatch);
	}

	/**
	 * Closes a dispatch that was cancelled.
	 */
	void closed(Dispatch dispatch) {
		this.open.remove(dispatch);
	}

	/**
	 * Returns the open dispatches in the order in which they were sent.
	 */
	List<Dispatch> openDispatches() {
		return this.open;
	}

	Optional<Dispatch> openDispatch(int number) {
		return this.open.stream().filter((dispatch) -> dispatch.number == number).findFirst();
	}

	/**
	 * Returns whether a dispatch to the runner is open.
	 */
	boolean isAt(RunnerState runner) {
		return this.open.stream().anyMatch((dispatch) -> dispatch.runner == runner);
	}

	/**
	 * Returns the time of the last event that was sent to the caller.
	 */
	OptionalLong lastEventNanos() {
		return (this.events > 0) ? OptionalLong.of(this.lastEventNanos) : OptionalLong.empty();
	}

	boolean isStream() {
		return this.route.kind() == RouteKind.STREAM;
	}

	/**
	 * Identity of one attempt of a request.
	 *
	 * @param id unique to the attempt
	 * @param contentHash hash of the path, the organisation and the body
	 * @param requestKey equal for all attempts of the same request; requests with the
	 * same content may have different keys
	 * @param lastEvent the event after which the caller resumes a stream
	 * @param parts the parts of the prompt that may crash runners
	 */
	public record Attempt(String id, long contentHash, OptionalLong requestKey, Optional<String> lastEvent,
			PromptParts parts) {

		/**
		 * Creates the identity of an attempt whose prompt is not known.
		 */
		public Attempt(String id, long contentHash, OptionalLong requestKey, Optional<String> lastEvent) {
			this(id, contentHash, requestKey, lastEvent, PromptParts.NONE);
		}

	}

	/**
	 * Amount of work of a request.
	 *
	 * @param promptTokens the number of prompt tokens; 0 if unknown
	 * @param maxAnswerTokens the maximum number of output tokens; 0 if unknown
	 * @param expectedAnswerTokens the caller's estimate of the number of output tokens
	 */
	public record Size(int promptTokens, int maxAnswerTokens, OptionalInt expectedAnswerTokens) {
	}

}
