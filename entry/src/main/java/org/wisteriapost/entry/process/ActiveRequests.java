package org.wisteriapost.entry.process;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.wisteriapost.entry.caller.CallerCall;
import org.wisteriapost.entry.caller.Outcome;
import org.wisteriapost.entry.caller.Refusal;
import org.wisteriapost.entry.link.PeerLink;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.Invariants;
import org.wisteriapost.policy.quarantine.RequestQuarantine;
import org.wisteriapost.policy.request.RequestEffect;
import org.wisteriapost.policy.request.RequestEvent;
import org.wisteriapost.policy.request.RequestStateMachine;
import org.wisteriapost.protocol.wire.CallCancel;
import org.wisteriapost.protocol.wire.CallData;
import org.wisteriapost.protocol.wire.CallEnd;
import org.wisteriapost.protocol.wire.CallStarted;
import org.wisteriapost.protocol.wire.Frame;

/**
 * All requests in progress. Passes events to the {@link RequestStateMachine} and executes
 * the effects that it returns. Used only by the event loop's thread.
 */
final class ActiveRequests {

	static final Code LINK_LOST = Code.warning("link-lost", "The link to the runner's agent was lost during a call.");

	static final Code WEIGHTS_MISMATCH = Code.error("weights-mismatch",
			"An answer came from other weights than it was asked of and was withheld.");

	static final Code ANSWER_MALFORMED = Code.error("answer-malformed",
			"An agent's frames for a call came out of order.");

	static final Code DISPATCH_TOO_LATE = Code.refusal("dispatch-too-late",
			"The caller's deadline passed before the call was sent.");

	static final Code CALLER_GONE = Code.warning("caller-gone", "The caller hung up before its answer was whole.");

	private static final int BAD_GATEWAY = 502;

	private static final int GATEWAY_TIMEOUT = 504;

	private final RequestStateMachine machine;

	private final IdempotencyClaims claims;

	private final Map<Long, ActiveRequest> requests = new HashMap<>();

	private final Map<Long, ActiveRequest> requestsByCallId = new HashMap<>();

	private final Map<String, PeerLink> agents = new HashMap<>();

	private final Queue<RequestEvent> pendingEvents = new ArrayDeque<>();

	private final CallQuarantine quarantine;

	private final EntryMetrics metrics;

	private final Invariants invariants;

	private final LongSupplier clock;

	private final long maxBufferedBytes;

	private final LongSupplier generation;

	private long lastCallId;

	private boolean deciding;

	ActiveRequests(EntryWiring wiring, IdempotencyClaims claims, LongSupplier generation) {
		this.machine = wiring.machine();
		this.claims = claims;
		this.metrics = wiring.metrics();
		this.quarantine = new CallQuarantine(wiring.metrics(), wiring.clock());
		this.invariants = wiring.invariants();
		this.clock = wiring.clock();
		this.maxBufferedBytes = wiring.maxBufferedBytes();
		this.generation = generation;
	}

	int size() {
		return this.requests.size();
	}

	CallQuarantine quarantine() {
		return this.quarantine;
	}

	void arrived(CallerCall call) {
		ActiveRequest arrived = new ActiveRequest(call, this.clock.getAsLong());
		this.requests.put(call.id(), arrived);
		OptionalLong quarantined = this.quarantine.remainingNanos(call);
		if (quarantined.isPresent()) {
			refuse(arrived, new RequestEffect.Refuse(call.id(), RequestQuarantine.POISON_REQUEST.name(),
					Math.max(1, TimeUnit.NANOSECONDS.toMillis(quarantined.getAsLong()))));
			return;
		}
		decide(new RequestEvent.Arrived(call.request()));
	}

	void callerDisconnected(long id) {
		ActiveRequest request = this.requests.get(id);
		if (request == null) {
			return;
		}
		boolean sent = request.attempt().isPresent();
		// A call with an idempotency key runs to its end: its caller may repeat it with
		// the same key and then gets the stored answer.
		if (sent && request.call().key().isPresent()) {
			return;
		}
		decide(new RequestEvent.CallerDisconnected(id));
		finish(request, sent ? Outcome.UNKNOWN : Outcome.NOT_RUN, CALLER_GONE.name());
		this.claims.notRun(request.call());
	}

	void linkUp(PeerLink agent) {
		this.agents.put(agent.vm(), agent);
	}

	/**
	 * Fails all calls that were sent over a link; each of them may have run.
	 */
	void linkDown(PeerLink agent) {
		if (this.agents.remove(agent.vm(), agent)) {
			decide(new RequestEvent.RunnerDisconnected(agent.vm()));
		}
		List<ActiveRequest> interrupted = this.requestsByCallId.values()
			.stream()
			.filter((request) -> request.attempt().filter((attempt) -> attempt.peer() == agent).isPresent())
			.toList();
		interrupted.forEach((request) -> failed(request, agent.vm(), false, LINK_LOST.name(), 0));
	}

	void started(PeerLink peer, CallStarted started) {
		Optional<ActiveRequest> found = find(peer, started.getId());
		if (found.isEmpty()) {
			return;
		}
		ActiveRequest request = found.get();
		ActiveRequest.Attempt attempt = request.attempt().orElseThrow();
		this.quarantine.answered(peer.vm());
		// An engine that ignores fencing may have switched weights during the call. The
		// agent withholds such an answer; this check withholds it if the agent does not.
		if (!this.invariants.holds(started.getWeightsDigest().equals(attempt.weightsDigest()), "exact-weights",
				"request " + request.call().requestId() + " at " + peer.vm())) {
			cancel(attempt);
			failed(request, peer.vm(), false, WEIGHTS_MISMATCH.name(), 0);
			return;
		}
		attempt.head(new ActiveRequest.AnswerHead(started.getStatus(), CallFrames.headers(started)));
	}

	void data(PeerLink peer, CallData data) {
		Optional<ActiveRequest> found = find(peer, data.getId());
		if (found.isEmpty()) {
			return;
		}
		ActiveRequest request = found.get();
		ActiveRequest.Attempt attempt = request.attempt().orElseThrow();
		if (attempt.head().isEmpty()) {
			cancel(attempt);
			failed(request, peer.vm(), false, ANSWER_MALFORMED.name(), 0);
			return;
		}
		byte[] bytes = data.getData().toByteArray();
		if (!request.headSent()) {
			attempt.buffer().writeBytes(bytes);
			if (!request.call().streamed() && attempt.buffer().size() <= this.maxBufferedBytes) {
				return;
			}
			bytes = attempt.buffer().toByteArray();
			sendHead(request, attempt);
		}
		if (!request.call().answer().write(bytes)) {
			callerDisconnected(request.id());
		}
	}

	void ended(PeerLink peer, CallEnd end) {
		Optional<ActiveRequest> found = find(peer, end.getId());
		if (found.isEmpty()) {
			return;
		}
		ActiveRequest request = found.get();
		ActiveRequest.Attempt attempt = request.attempt().orElseThrow();
		boolean answerStarted = attempt.head().isPresent();
		switch (end.getOutcome()) {
			case RAN -> {
				if (answerStarted) {
					this.quarantine.completed(request.call(), peer.vm());
					complete(request, attempt);
				}
				else {
					failed(request, peer.vm(), false, ANSWER_MALFORMED.name(), 0);
				}
			}
			// A call whose answer has started did run, whatever the agent reports.
			case NOT_RUN -> failed(request, peer.vm(), !answerStarted, end.getCode(), end.getRetryAfterMillis());
			case UNKNOWN, OUTCOME_UNSPECIFIED, UNRECOGNIZED -> failed(request, peer.vm(), false,
					end.getCode().isEmpty() ? ANSWER_MALFORMED.name() : end.getCode(), end.getRetryAfterMillis());
		}
	}

	/**
	 * Applies an event and executes its effects. Events that are raised by an effect are
	 * queued and applied after it.
	 */
	void decide(RequestEvent event) {
		this.pendingEvents.add(event);
		if (this.deciding) {
			return;
		}
		this.deciding = true;
		try {
			RequestEvent next = this.pendingEvents.poll();
			while (next != null) {
				this.machine.apply(next, this.clock.getAsLong()).forEach(this::execute);
				next = this.pendingEvents.poll();
			}
		}
		finally {
			this.deciding = false;
		}
	}

	private void execute(RequestEffect effect) {
		ActiveRequest request = this.requests.get(effect.id());
		if (request == null) {
			return;
		}
		switch (effect) {
			case RequestEffect.Claim claim -> this.claims.claim(request.call());
			case RequestEffect.Dispatch dispatch -> dispatch(request, dispatch);
			case RequestEffect.Refuse refuse -> refuse(request, refuse);
			case RequestEffect.AnswerUnknown giveUp -> answerUnknown(request, giveUp);
			case RequestEffect.Cancel cancel -> request.attempt().ifPresent((attempt) -> {
				cancel(attempt);
				endAttempt(request);
			});
		}
	}

	private void dispatch(ActiveRequest request, RequestEffect.Dispatch dispatch) {
		long now = this.clock.getAsLong();
		endAttempt(request);
		// The process may have been paused since the decision. A call that is sent after
		// its deadline would occupy a runner for an answer that nobody waits for.
		if (request.call().request().deadlineNanos() - now <= 0) {
			decide(new RequestEvent.DispatchFailed(request.id(), dispatch.runner(), true, DISPATCH_TOO_LATE.name(), 0));
			return;
		}
		PeerLink agent = this.agents.get(dispatch.runner());
		ActiveRequest.Attempt attempt = new ActiveRequest.Attempt(++this.lastCallId, agent, dispatch.weightsDigest());
		Frame frame = Frame.newBuilder()
			.setGeneration(this.generation.getAsLong())
			.setCall(CallFrames.call(request.call(), attempt.callId(), dispatch.weightsDigest(), now))
			.build();
		if (agent == null || !agent.send(frame)) {
			decide(new RequestEvent.DispatchFailed(request.id(), dispatch.runner(), true, LINK_LOST.name(), 0));
			return;
		}
		this.metrics.dispatched(request.call().request().service());
		request.attempt(attempt);
		this.requestsByCallId.put(attempt.callId(), request);
	}

	private void refuse(ActiveRequest request, RequestEffect.Refuse refuse) {
		Refusal answer = Refusal.temporary(refuse.code(), "The request did not run; come back later.",
				refuse.retryAfterMillis());
		finish(request, Outcome.NOT_RUN, refuse.code());
		this.claims.notRun(request.call());
		request.call().answer().refuse(answer);
	}

	private void answerUnknown(ActiveRequest request, RequestEffect.AnswerUnknown giveUp) {
		int status = giveUp.code().contains("deadline") ? GATEWAY_TIMEOUT : BAD_GATEWAY;
		request.attempt().ifPresent(this::cancel);
		finish(request, Outcome.UNKNOWN, giveUp.code());
		this.claims.unknown(request.call());
		request.call().answer().refuse(Refusal.outcomeUnknown(status, giveUp.code(), "The request may have run."));
	}

	/**
	 * Ends a request that was answered from the claim record of its idempotency key.
	 */
	void answeredFromClaim(long id, Outcome outcome, String code) {
		ActiveRequest request = this.requests.get(id);
		if (request != null) {
			finish(request, outcome, code);
			decide(new RequestEvent.ClaimFailed(id));
		}
	}

	private void complete(ActiveRequest request, ActiveRequest.Attempt attempt) {
		ActiveRequest.AnswerHead head = attempt.head().orElseThrow();
		CallerCall call = request.call();
		if (request.headSent()) {
			call.answer().end();
			this.claims.ranAnswerNotStored(call);
		}
		else {
			this.metrics.started(call.request(), this.clock.getAsLong() - request.arrivedNanos());
			byte[] body = attempt.buffer().toByteArray();
			call.answer().complete(head.status(), head.headers(), attempt.weightsDigest(), body);
			this.claims.ran(call, head.status(), head.headers(), body);
		}
		finish(request, Outcome.RAN, "");
		decide(new RequestEvent.AnswerCompleted(request.id()));
	}

	private void sendHead(ActiveRequest request, ActiveRequest.Attempt attempt) {
		ActiveRequest.AnswerHead head = attempt.head().orElseThrow();
		request.markHeadSent();
		this.metrics.started(request.call().request(), this.clock.getAsLong() - request.arrivedNanos());
		request.call().answer().start(head.status(), head.headers(), attempt.weightsDigest());
		decide(new RequestEvent.AnswerStarted(request.id()));
	}

	private void failed(ActiveRequest request, String runner, boolean notRun, String code, long retryAfterMillis) {
		endAttempt(request);
		if (!notRun) {
			this.quarantine.failed(request.call(), runner, code);
		}
		decide(new RequestEvent.DispatchFailed(request.id(), runner, notRun, code, retryAfterMillis));
	}

	private void finish(ActiveRequest request, Outcome outcome, String code) {
		endAttempt(request);
		this.requests.remove(request.id());
		this.metrics.answered(request.call().request(), outcome, code, this.clock.getAsLong() - request.arrivedNanos());
	}

	private void cancel(ActiveRequest.Attempt attempt) {
		attempt.peer()
			.send(Frame.newBuilder()
				.setGeneration(this.generation.getAsLong())
				.setCallCancel(CallCancel.newBuilder().setId(attempt.callId()))
				.build());
	}

	private void endAttempt(ActiveRequest request) {
		request.attempt().ifPresent((attempt) -> this.requestsByCallId.remove(attempt.callId()));
		request.endAttempt();
	}

	// A frame is matched by call id and link. A frame for a call that was abandoned, or
	// one from another link, must not reach any caller.
	private Optional<ActiveRequest> find(PeerLink peer, long callId) {
		ActiveRequest request = this.requestsByCallId.get(callId);
		if (request == null) {
			this.metrics.dropped("late");
			return Optional.empty();
		}
		if (request.attempt().filter((attempt) -> attempt.peer() == peer).isEmpty()) {
			this.metrics.dropped("crossed");
			return Optional.empty();
		}
		return Optional.of(request);
	}

}
