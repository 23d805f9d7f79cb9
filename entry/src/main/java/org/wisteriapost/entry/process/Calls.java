package org.wisteriapost.entry.process;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.function.LongSupplier;

import org.wisteriapost.entry.caller.CallerCall;
import org.wisteriapost.entry.caller.Outcome;
import org.wisteriapost.entry.caller.Refusal;
import org.wisteriapost.entry.link.PeerLink;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.Invariants;
import org.wisteriapost.policy.request.RequestEffect;
import org.wisteriapost.policy.request.RequestEvent;
import org.wisteriapost.policy.request.RequestStateMachine;
import org.wisteriapost.protocol.wire.CallCancel;
import org.wisteriapost.protocol.wire.CallData;
import org.wisteriapost.protocol.wire.CallEnd;
import org.wisteriapost.protocol.wire.CallStarted;
import org.wisteriapost.protocol.wire.Frame;

/**
 * All requests in progress: tells the decisions what happens to them and carries out what
 * is decided. Used by the event loop's thread alone.
 */
final class Calls {

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

	private final ClaimDesk claims;

	private final Map<Long, Flight> flights = new HashMap<>();

	private final Map<Long, Flight> attempts = new HashMap<>();

	private final Map<String, PeerLink> agents = new HashMap<>();

	private final Queue<RequestEvent> events = new ArrayDeque<>();

	private final EntryMetrics metrics;

	private final Invariants invariants;

	private final LongSupplier clock;

	private final long maxHeldBytes;

	private final LongSupplier generation;

	private long lastCallId;

	private boolean deciding;

	Calls(EntryWiring wiring, ClaimDesk claims, LongSupplier generation) {
		this.machine = wiring.machine();
		this.claims = claims;
		this.metrics = wiring.metrics();
		this.invariants = wiring.invariants();
		this.clock = wiring.clock();
		this.maxHeldBytes = wiring.maxHeldBytes();
		this.generation = generation;
	}

	/**
	 * Returns how many are in progress.
	 */
	int size() {
		return this.flights.size();
	}

	void arrive(CallerCall call) {
		this.flights.put(call.id(), new Flight(call, this.clock.getAsLong()));
		decide(new RequestEvent.Arrived(call.request()));
	}

	void callerLeft(long id) {
		Flight flight = this.flights.get(id);
		if (flight == null) {
			return;
		}
		boolean sent = flight.attempt().isPresent();
		// A call that may run only once is worth more whole than cancelled: its caller
		// will ask again with the same key and is then given the kept answer.
		if (sent && flight.call().key().isPresent()) {
			return;
		}
		decide(new RequestEvent.CallerDisconnected(id));
		finish(flight, sent ? Outcome.UNKNOWN : Outcome.NOT_RUN, CALLER_GONE.name());
		this.claims.notRun(flight.call());
	}

	void linkUp(PeerLink agent) {
		this.agents.put(agent.vm(), agent);
	}

	/**
	 * Takes the loss of a link: each of its calls may or may not have run.
	 */
	void linkDown(PeerLink agent) {
		if (this.agents.remove(agent.vm(), agent)) {
			decide(new RequestEvent.RunnerDisconnected(agent.vm()));
		}
		List<Flight> lost = this.attempts.values()
			.stream()
			.filter((flight) -> flight.attempt().filter((attempt) -> attempt.peer() == agent).isPresent())
			.toList();
		lost.forEach((flight) -> failed(flight, agent.vm(), false, LINK_LOST.name(), 0));
	}

	void started(PeerLink peer, CallStarted started) {
		Optional<Flight> found = flight(peer, started.getId());
		if (found.isEmpty()) {
			return;
		}
		Flight flight = found.get();
		Flight.Attempt attempt = flight.attempt().orElseThrow();
		// An engine that ignores fencing may have switched under the call. The agent
		// withholds such an answer; should it not, no byte of it passes here.
		if (!this.invariants.holds(started.getWeightsDigest().equals(attempt.weightsDigest()), "exact-weights",
				"request " + flight.call().requestId() + " at " + peer.vm())) {
			cancel(attempt);
			failed(flight, peer.vm(), false, WEIGHTS_MISMATCH.name(), 0);
			return;
		}
		attempt.started(new Flight.Started(started.getStatus(), CallFrames.headers(started)));
	}

	void data(PeerLink peer, CallData data) {
		Optional<Flight> found = flight(peer, data.getId());
		if (found.isEmpty()) {
			return;
		}
		Flight flight = found.get();
		Flight.Attempt attempt = flight.attempt().orElseThrow();
		if (attempt.started().isEmpty()) {
			cancel(attempt);
			failed(flight, peer.vm(), false, ANSWER_MALFORMED.name(), 0);
			return;
		}
		byte[] bytes = data.getData().toByteArray();
		if (!flight.headOut()) {
			attempt.held().writeBytes(bytes);
			if (!flight.call().streamed() && attempt.held().size() <= this.maxHeldBytes) {
				return;
			}
			bytes = attempt.held().toByteArray();
			headOut(flight, attempt);
		}
		if (!flight.call().answer().data(bytes)) {
			callerLeft(flight.id());
		}
	}

	void ended(PeerLink peer, CallEnd end) {
		Optional<Flight> found = flight(peer, end.getId());
		if (found.isEmpty()) {
			return;
		}
		Flight flight = found.get();
		Flight.Attempt attempt = flight.attempt().orElseThrow();
		boolean begun = attempt.started().isPresent();
		switch (end.getOutcome()) {
			case RAN -> {
				if (begun) {
					whole(flight, attempt);
				}
				else {
					failed(flight, peer.vm(), false, ANSWER_MALFORMED.name(), 0);
				}
			}
			// An answer that has begun did run, whatever its end says.
			case NOT_RUN -> failed(flight, peer.vm(), !begun, end.getCode(), end.getRetryAfterMillis());
			case UNKNOWN, OUTCOME_UNSPECIFIED, UNRECOGNIZED -> failed(flight, peer.vm(), false,
					end.getCode().isEmpty() ? ANSWER_MALFORMED.name() : end.getCode(), end.getRetryAfterMillis());
		}
	}

	/**
	 * Applies an event to the decisions and carries out what follows, the events that
	 * this causes included.
	 */
	void decide(RequestEvent event) {
		this.events.add(event);
		if (this.deciding) {
			return;
		}
		this.deciding = true;
		try {
			RequestEvent next = this.events.poll();
			while (next != null) {
				this.machine.apply(next, this.clock.getAsLong()).forEach(this::carryOut);
				next = this.events.poll();
			}
		}
		finally {
			this.deciding = false;
		}
	}

	private void carryOut(RequestEffect effect) {
		Flight flight = this.flights.get(effect.id());
		if (flight == null) {
			return;
		}
		switch (effect) {
			case RequestEffect.Claim claim -> this.claims.claim(flight.call());
			case RequestEffect.Dispatch dispatch -> dispatch(flight, dispatch);
			case RequestEffect.Refuse refuse -> refuse(flight, refuse);
			case RequestEffect.AnswerUnknown giveUp -> giveUp(flight, giveUp);
			case RequestEffect.Cancel cancel -> flight.attempt().ifPresent((attempt) -> {
				cancel(attempt);
				forget(flight);
			});
		}
	}

	private void dispatch(Flight flight, RequestEffect.Dispatch dispatch) {
		long now = this.clock.getAsLong();
		forget(flight);
		// This process may have been paused since the decision; a call sent after its
		// deadline works for no one.
		if (flight.call().request().deadlineNanos() - now <= 0) {
			decide(new RequestEvent.DispatchFailed(flight.id(), dispatch.runner(), true, DISPATCH_TOO_LATE.name(), 0));
			return;
		}
		PeerLink agent = this.agents.get(dispatch.runner());
		Flight.Attempt attempt = new Flight.Attempt(++this.lastCallId, agent, dispatch.weightsDigest());
		Frame frame = Frame.newBuilder()
			.setGeneration(this.generation.getAsLong())
			.setCall(CallFrames.call(flight.call(), attempt.callId(), dispatch.weightsDigest(), now))
			.build();
		if (agent == null || !agent.send(frame)) {
			decide(new RequestEvent.DispatchFailed(flight.id(), dispatch.runner(), true, LINK_LOST.name(), 0));
			return;
		}
		this.metrics.dispatched(flight.call().request().service());
		flight.attempt(attempt);
		this.attempts.put(attempt.callId(), flight);
	}

	private void refuse(Flight flight, RequestEffect.Refuse refuse) {
		Refusal answer = Refusal.later(refuse.code(), "The request did not run; come back later.",
				refuse.retryAfterMillis());
		finish(flight, Outcome.NOT_RUN, refuse.code());
		this.claims.notRun(flight.call());
		flight.call().answer().refuse(answer);
	}

	private void giveUp(Flight flight, RequestEffect.AnswerUnknown giveUp) {
		int status = giveUp.code().contains("deadline") ? GATEWAY_TIMEOUT : BAD_GATEWAY;
		flight.attempt().ifPresent(this::cancel);
		finish(flight, Outcome.UNKNOWN, giveUp.code());
		this.claims.unknown(flight.call());
		flight.call().answer().refuse(Refusal.unknown(status, giveUp.code(), "The request may have run."));
	}

	/**
	 * Ends a request that was answered from its key's record.
	 */
	void answeredByClaim(long id, Outcome outcome, String code) {
		Flight flight = this.flights.get(id);
		if (flight != null) {
			finish(flight, outcome, code);
			decide(new RequestEvent.ClaimFailed(id));
		}
	}

	private void whole(Flight flight, Flight.Attempt attempt) {
		Flight.Started head = attempt.started().orElseThrow();
		CallerCall call = flight.call();
		if (flight.headOut()) {
			call.answer().end();
			this.claims.ranUnstored(call);
		}
		else {
			this.metrics.started(call.request(), this.clock.getAsLong() - flight.arrivedNanos());
			byte[] body = attempt.held().toByteArray();
			call.answer().whole(head.status(), head.headers(), attempt.weightsDigest(), body);
			this.claims.ran(call, head.status(), head.headers(), body);
		}
		finish(flight, Outcome.RAN, "");
		decide(new RequestEvent.AnswerCompleted(flight.id()));
	}

	private void headOut(Flight flight, Flight.Attempt attempt) {
		Flight.Started head = attempt.started().orElseThrow();
		flight.markHeadOut();
		this.metrics.started(flight.call().request(), this.clock.getAsLong() - flight.arrivedNanos());
		flight.call().answer().start(head.status(), head.headers(), attempt.weightsDigest());
		decide(new RequestEvent.AnswerStarted(flight.id()));
	}

	private void failed(Flight flight, String runner, boolean notRun, String code, long retryAfterMillis) {
		forget(flight);
		decide(new RequestEvent.DispatchFailed(flight.id(), runner, notRun, code, retryAfterMillis));
	}

	private void finish(Flight flight, Outcome outcome, String code) {
		forget(flight);
		this.flights.remove(flight.id());
		this.metrics.answered(flight.call().request(), outcome, code, this.clock.getAsLong() - flight.arrivedNanos());
	}

	private void cancel(Flight.Attempt attempt) {
		attempt.peer()
			.send(Frame.newBuilder()
				.setGeneration(this.generation.getAsLong())
				.setCallCancel(CallCancel.newBuilder().setId(attempt.callId()))
				.build());
	}

	private void forget(Flight flight) {
		flight.attempt().ifPresent((attempt) -> this.attempts.remove(attempt.callId()));
		flight.endAttempt();
	}

	// An answer is matched by the link it came over and the number of its call. One that
	// comes after its call was given up, or over another link, must reach no caller.
	private Optional<Flight> flight(PeerLink peer, long callId) {
		Flight flight = this.attempts.get(callId);
		if (flight == null) {
			this.metrics.dropped("late");
			return Optional.empty();
		}
		if (flight.attempt().filter((attempt) -> attempt.peer() == peer).isEmpty()) {
			this.metrics.dropped("crossed");
			return Optional.empty();
		}
		return Optional.of(flight);
	}

}
