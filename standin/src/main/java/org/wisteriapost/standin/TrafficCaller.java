package org.wisteriapost.standin;

import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.function.BooleanSupplier;

import org.wisteriapost.protocol.CallerHeaders;
import org.wisteriapost.protocol.http.HttpCall;
import org.wisteriapost.protocol.http.HttpCaller;
import org.wisteriapost.standin.TrafficLedger.Count;

/**
 * One caller, which sends one request after another and repeats each until it has an
 * answer: at another entry, after the time that a refusal names.
 */
final class TrafficCaller {

	private static final Duration PATIENCE = Duration.ofSeconds(20);

	private static final Duration ATTEMPT = Duration.ofSeconds(10);

	private static final long PAUSE_MILLIS = 50;

	private static final int SHOWN_CHARS = 300;

	// An allocation whose outcome is unknown is asked for a few more times with its key:
	// the first answer may be there by then, and a second run must not be.
	private static final int UNKNOWN_TRIES = 4;

	private final String name;

	private final HttpCaller http;

	private final EntryAddresses entries;

	private final String token;

	private final TrafficLedger ledger;

	private final Random random;

	private long attempts;

	private String last = "nothing";

	TrafficCaller(String name, HttpCaller http, EntryAddresses entries, String token, TrafficLedger ledger, long seed) {
		this.name = name;
		this.http = http;
		this.entries = entries;
		this.token = token;
		this.ledger = ledger;
		this.random = new Random(seed);
	}

	void run(java.util.function.LongFunction<TrafficCall> calls, BooleanSupplier stopped, long thinkMillis) {
		try {
			for (long i = 0; !stopped.getAsBoolean(); i++) {
				send(calls.apply(i));
				Thread.sleep(this.random.nextLong(2 * thinkMillis + 1));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	void send(TrafficCall call) throws InterruptedException {
		this.ledger.count(Count.REQUESTS);
		long until = System.nanoTime() + PATIENCE.toNanos();
		int unknown = 0;
		while (System.nanoTime() - until < 0) {
			Optional<Next> next = attempt(call);
			if (next.isEmpty()) {
				return;
			}
			unknown += next.get().unknown ? 1 : 0;
			if (call instanceof TrafficCall.Allocation && unknown == UNKNOWN_TRIES) {
				this.ledger.count(Count.UNKNOWN);
				return;
			}
			this.ledger.count(Count.RETRIED);
			Thread.sleep(next.get().waitMillis);
		}
		this.ledger.problem(Count.LOST, call + " had no answer in " + PATIENCE + ", last " + this.last);
	}

	// Empty when the request has ended.
	private Optional<Next> attempt(TrafficCall call) throws InterruptedException {
		URI entry = this.entries.choose();
		String id = this.name + "-" + this.attempts++;
		HttpCall sent = call.at(entry, ATTEMPT)
			.header("Authorization", "Bearer " + this.token)
			.header(CallerHeaders.DEADLINE, String.valueOf(ATTEMPT.toMillis()))
			.header(CallerHeaders.REQUEST_ID, id);
		CollectedAnswer answer = CollectedAnswer.of(this.http, sent);
		this.last = id + " by " + entry + ": status " + answer.status() + " " + shortened(answer.text());
		if (answer.failed() && !answer.sent()) {
			this.entries.avoid(entry);
			this.ledger.toldNotRun(id);
			return Optional.of(new Next(0, false));
		}
		if (answer.status() != 200) {
			return Optional.of(refused(answer, id));
		}
		return judged(call, answer);
	}

	private static String shortened(String text) {
		int from = Math.max(0, text.length() - SHOWN_CHARS);
		return text.substring(from).replace("\n", " ");
	}

	private Next refused(CollectedAnswer answer, String id) {
		boolean notRun = answer.header(CallerHeaders.OUTCOME).filter("not-run"::equals).isPresent();
		if (notRun) {
			this.ledger.toldNotRun(id);
		}
		long millis = answer.header(CallerHeaders.RETRY_AFTER_MILLIS)
			.or(() -> answer.header("Retry-After").map((seconds) -> seconds + "000"))
			.map(Long::parseLong)
			.orElse(PAUSE_MILLIS);
		return new Next(millis + this.random.nextLong(PAUSE_MILLIS), !notRun);
	}

	private Optional<Next> judged(TrafficCall call, CollectedAnswer answer) {
		answer.header(CallerHeaders.WEIGHTS).ifPresent(this.ledger::labelled);
		switch (verdict(call, answer)) {
			case RIGHT -> this.ledger.count(Count.ANSWERED);
			case MIXED -> this.ledger.problem(Count.MIXED, this.last);
			case WRONG -> this.ledger.problem(Count.WRONG, this.last);
			case CUT -> {
				this.ledger.count(Count.CUT);
				return Optional.of(new Next(PAUSE_MILLIS, true));
			}
		}
		return Optional.empty();
	}

	private static TrafficCall.Verdict verdict(TrafficCall call, CollectedAnswer answer) {
		try {
			return call.judge(answer);
		}
		catch (IllegalArgumentException ex) {
			return answer.failed() ? TrafficCall.Verdict.CUT : TrafficCall.Verdict.WRONG;
		}
	}

	private record Next(long waitMillis, boolean unknown) {
	}

}
