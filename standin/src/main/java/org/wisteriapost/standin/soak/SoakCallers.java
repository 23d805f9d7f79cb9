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
 * Callers who ask which entry to use, repeat what may be repeated, and compare every
 * answer with the question.
 */
final class SoakCallers {

	private static final long DEADLINE_NANOS = 5 * VirtualTime.SECOND;

	private static final long PATIENCE_NANOS = 20 * VirtualTime.SECOND;

	// Past an answer's deadline, the I/O around an entry may take this long.
	private static final long LATE_NANOS = VirtualTime.SECOND;

	private final SoakWorld world;

	private final VirtualTime time;

	private long lastRequest;

	private boolean open = true;

	SoakCallers(SoakWorld world) {
		this.world = world;
		this.time = world.time();
	}

	void start() {
		arrive();
	}

	void stop() {
		this.open = false;
	}

	private void arrive() {
		if (!this.open) {
			return;
		}
		this.world.ledger().count("calls");
		double kind = this.time.random().nextDouble();
		String key = (kind < 0.25) ? "key-" + this.lastRequest + "-" + this.time.random().nextInt(1 << 20) : "";
		boolean plain = kind < 0.4;
		attempt(new Question(plain, key, "org-" + this.time.random().nextInt(5),
				Priority.values()[this.time.random().nextInt(3)], this.time.now(), this.time.wallMillis()));
		this.time.after(this.time.between(5 * VirtualTime.MILLI, 55 * VirtualTime.MILLI), this::arrive);
	}

	private void attempt(Question question) {
		Optional<SoakEntry> entry = this.world.anyEntry();
		if (entry.isEmpty()) {
			again(question, VirtualTime.SECOND);
			return;
		}
		SoakEntry to = entry.get();
		if (to.view().leaving()) {
			again(question, VirtualTime.SECOND / 5);
			return;
		}
		long id = ++this.lastRequest;
		String requestId = "r" + id;
		SoakAnswer answer = new SoakAnswer(this.time, to,
				(outcome, result) -> answered(question, requestId, outcome, result));
		Request request = new Request(id, question.organisation,
				question.plain ? SoakWorld.PLAIN_SERVICE : SoakWorld.MODEL_SERVICE, question.priority,
				this.time.now() + DEADLINE_NANOS, question.key.isEmpty(), 0, 1);
		byte[] body = question.key.getBytes(StandardCharsets.UTF_8);
		CallerCall call = new CallerCall(request, requestId, question.key.isEmpty() ? "GET" : "POST", "/x", List.of(),
				body, !question.plain && this.time.chance(0.5), question.key.isEmpty() ? Optional.empty()
						: Optional.of(new IdempotencyKey(question.key, question.issuedMillis)),
				answer);
		to.call(call, answer);
		expectAnswer(to, answer, requestId);
		if (question.key.isEmpty() && this.time.chance(0.02)) {
			this.time.after(this.time.between(VirtualTime.MILLI, VirtualTime.SECOND), () -> hangUp(to, id, answer));
		}
	}

	private void hangUp(SoakEntry to, long id, SoakAnswer answer) {
		if (!answer.ended()) {
			this.world.ledger().count("hungUp");
			to.answered(answer);
			to.hangUp(id);
		}
	}

	private void expectAnswer(SoakEntry to, SoakAnswer answer, String requestId) {
		long pauses = this.world.pauses();
		this.time.after(DEADLINE_NANOS + LATE_NANOS, () -> {
			boolean undisturbed = to.alive() && !to.paused() && this.world.pauses() == pauses;
			boolean waiting = to.waitsFor(answer);
			this.world.invariants().holds(!undisturbed || !waiting, "final-answer-by-the-deadline", requestId);
		});
	}

	private void answered(Question question, String requestId, Outcome outcome, SoakAnswer answer) {
		this.world.ledger().count("attempts" + outcome);
		switch (outcome) {
			case RAN -> check(question, requestId, answer);
			case NOT_RUN -> {
				this.world.ledger().toldNotRun(requestId);
				again(question, Math.max(1, answer.retryAfterMillis()) * VirtualTime.MILLI);
			}
			case UNKNOWN -> again(question, VirtualTime.SECOND / 2);
		}
	}

	private void again(Question question, long pauseNanos) {
		if (this.time.now() + pauseNanos - question.sinceNanos > PATIENCE_NANOS) {
			this.world.ledger().count("gaveUp");
			return;
		}
		this.time.after(pauseNanos, () -> attempt(question));
	}

	private void check(Question question, String requestId, SoakAnswer answer) {
		this.world.ledger().count("answered");
		String body = answer.body();
		if (!question.key.isEmpty()) {
			this.world.invariants().holds(body.endsWith("|" + question.key), "own-answer", requestId + " got " + body);
			this.world.ledger().answered(question.key, body);
			return;
		}
		if (question.plain) {
			this.world.invariants().holds(body.equals("lookup|" + requestId), "own-answer", requestId + " got " + body);
			return;
		}
		StringBuilder expected = new StringBuilder();
		for (int i = 0; i < SoakRunner.TOKENS; i++) {
			expected.append(answer.weights()).append('|').append(requestId).append('|').append(i).append('\n');
		}
		this.world.invariants()
			.holds(body.equals(expected.toString()), "whole-own-answer-of-one-digest", requestId + " got " + body);
	}

	private record Question(boolean plain, String key, String organisation, Priority priority, long sinceNanos,
			long issuedMillis) {
	}

}
