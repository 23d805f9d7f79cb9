package org.wisteriapost.standin.soak;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import org.wisteriapost.entry.caller.CallerCall;
import org.wisteriapost.entry.caller.IdempotencyKey;
import org.wisteriapost.entry.caller.Outcome;
import org.wisteriapost.policy.request.Priority;
import org.wisteriapost.policy.request.Request;

/**
 * Callers that discover an entry, retry calls within a time window and check each answer
 * against its call.
 */
final class SoakCallers {

	private static final long DEADLINE_NANOS = 5 * VirtualTime.SECOND;

	private static final long RETRY_WINDOW_NANOS = 20 * VirtualTime.SECOND;

	// Time that I/O around an entry may add after the deadline of an answer.
	private static final long DEADLINE_TOLERANCE_NANOS = VirtualTime.SECOND;

	private final SoakFleet fleet;

	private final VirtualTime time;

	private long lastRequest;

	private boolean accepting = true;

	SoakCallers(SoakFleet fleet) {
		this.fleet = fleet;
		this.time = fleet.time();
	}

	void start() {
		startNextCall();
	}

	void stop() {
		this.accepting = false;
	}

	private void startNextCall() {
		if (!this.accepting) {
			return;
		}
		this.fleet.ledger().count("calls");
		double kind = this.time.random().nextDouble();
		String key = (kind < 0.25) ? "key-" + this.lastRequest + "-" + this.time.random().nextInt(1 << 20) : "";
		boolean plain = kind < 0.4;
		attempt(new PendingCall(plain, key, "org-" + this.time.random().nextInt(5),
				Priority.values()[this.time.random().nextInt(3)], this.time.nowNanos(), this.time.wallMillis(), false));
		this.time.after(this.time.randomBetween(5 * VirtualTime.MILLI, 55 * VirtualTime.MILLI), this::startNextCall);
	}

	/**
	 * Sends a request that crashes each runner that runs it, again and again.
	 */
	void startPoison() {
		if (this.accepting) {
			attempt(new PendingCall(false, "", "org-0", Priority.NORMAL, this.time.nowNanos(), this.time.wallMillis(),
					true));
			this.time.after(this.time.randomBetween(VirtualTime.SECOND / 2, 2 * VirtualTime.SECOND), this::startPoison);
		}
	}

	private void attempt(PendingCall call) {
		Optional<SoakEntry> chosen = this.fleet.chooseEntry();
		if (chosen.isEmpty()) {
			retry(call, VirtualTime.SECOND);
			return;
		}
		SoakEntry entry = chosen.get();
		if (entry.view().leaving()) {
			retry(call, VirtualTime.SECOND / 5);
			return;
		}
		long id = ++this.lastRequest;
		String requestId = "r" + id;
		SoakResponse answer = new SoakResponse(this.time, entry,
				(outcome, result) -> answered(call, requestId, outcome, result));
		Request request = new Request(id, call.organisation,
				call.plain ? SoakFleet.PLAIN_SERVICE : SoakFleet.MODEL_SERVICE, call.priority,
				this.time.nowNanos() + DEADLINE_NANOS, call.key.isEmpty(), 0, 1);
		byte[] body = (call.poison ? SoakRunner.POISON : call.key).getBytes(StandardCharsets.UTF_8);
		if (call.poison && !entry.wasPaused()) {
			this.fleet.ledger().recordUndisturbedPoison(requestId, entry.aliveNanos());
		}
		CallerCall attempt = new CallerCall(request, requestId, call.key.isEmpty() ? "GET" : "POST", "/x", List.of(),
				body, !call.plain && this.time.chance(0.5),
				call.key.isEmpty() ? Optional.empty() : Optional.of(new IdempotencyKey(call.key, call.issuedMillis)),
				answer);
		entry.call(attempt, answer);
		expectAnswer(entry, answer, requestId);
		if (call.key.isEmpty() && this.time.chance(0.02)) {
			this.time.after(this.time.randomBetween(VirtualTime.MILLI, VirtualTime.SECOND),
					() -> disconnect(entry, id, answer));
		}
	}

	private void disconnect(SoakEntry entry, long id, SoakResponse answer) {
		if (!answer.ended()) {
			this.fleet.ledger().count("hungUp");
			entry.answered(answer);
			entry.disconnectCaller(id);
		}
	}

	private void expectAnswer(SoakEntry entry, SoakResponse answer, String requestId) {
		long pauses = this.fleet.pauseCount();
		this.time.after(DEADLINE_NANOS + DEADLINE_TOLERANCE_NANOS, () -> {
			boolean undisturbed = entry.alive() && !entry.paused() && this.fleet.pauseCount() == pauses;
			boolean waiting = entry.pending(answer);
			this.fleet.invariants().holds(!undisturbed || !waiting, "final-answer-by-the-deadline", requestId);
		});
	}

	private void answered(PendingCall call, String requestId, Outcome outcome, SoakResponse answer) {
		this.fleet.ledger().count("attempts" + outcome);
		switch (outcome) {
			case RAN -> check(call, requestId, answer);
			case NOT_RUN -> {
				this.fleet.ledger().recordNotRun(requestId);
				retry(call, Math.max(1, answer.retryAfterMillis()) * VirtualTime.MILLI);
			}
			case UNKNOWN -> retry(call, VirtualTime.SECOND / 2);
		}
	}

	private void retry(PendingCall call, long delayNanos) {
		if (this.time.nowNanos() + delayNanos - call.firstAttemptNanos > RETRY_WINDOW_NANOS) {
			this.fleet.ledger().count("gaveUp");
			return;
		}
		this.time.after(delayNanos, () -> attempt(call));
	}

	private void check(PendingCall call, String requestId, SoakResponse answer) {
		this.fleet.ledger().count("answered");
		String body = answer.body();
		if (!call.key.isEmpty()) {
			this.fleet.invariants().holds(body.endsWith("|" + call.key), "own-answer", requestId + " got " + body);
			this.fleet.ledger().recordAnswer(call.key, body);
			return;
		}
		if (call.plain) {
			this.fleet.invariants().holds(body.equals("lookup|" + requestId), "own-answer", requestId + " got " + body);
			return;
		}
		StringBuilder expected = new StringBuilder();
		for (int i = 0; i < SoakRunner.TOKENS; i++) {
			expected.append(SoakRunner.event(answer.weightsDigest(), requestId, i));
		}
		this.fleet.invariants()
			.holds(body.equals(expected.toString()), "whole-own-answer-of-one-digest", requestId + " got " + body);
	}

	private record PendingCall(boolean plain, String key, String organisation, Priority priority,
			long firstAttemptNanos, long issuedMillis, boolean poison) {
	}

}
