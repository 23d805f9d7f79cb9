package org.wisteriapost.standin;

import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.function.BooleanSupplier;

import org.wisteriapost.protocol.CallerHeaders;
import org.wisteriapost.protocol.http.HttpCall;
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.standin.TrafficRecorder.Count;

/**
 * A client that sends requests one after another. It retries each at another entry, after
 * the delay that a rejection states, until it has a response.
 */
final class TrafficClient {

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(20);

	private static final Duration ATTEMPT_TIMEOUT = Duration.ofSeconds(10);

	private static final long RETRY_DELAY_MILLIS = 50;

	private static final int MAX_LOGGED_CHARS = 300;

	// An allocation with an unknown outcome is retried with its key a limited number of
	// times: the first response may be available by then, and the allocation must not
	// run twice.
	private static final int MAX_UNKNOWN_OUTCOMES = 4;

	private final String name;

	private final PooledHttpClient http;

	private final EntryAddressCache entries;

	private final String token;

	private final TrafficRecorder recorder;

	private final Random random;

	private long attempts;

	private String lastAttempt = "none";

	TrafficClient(String name, PooledHttpClient http, EntryAddressCache entries, String token, TrafficRecorder recorder,
			long seed) {
		this.name = name;
		this.http = http;
		this.entries = entries;
		this.token = token;
		this.recorder = recorder;
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
		this.recorder.count(Count.REQUESTS);
		long deadlineNanos = System.nanoTime() + REQUEST_TIMEOUT.toNanos();
		int unknown = 0;
		while (System.nanoTime() - deadlineNanos < 0) {
			Optional<Retry> retry = attempt(call);
			if (retry.isEmpty()) {
				return;
			}
			unknown += retry.get().unknown ? 1 : 0;
			if (call instanceof TrafficCall.Allocation && unknown == MAX_UNKNOWN_OUTCOMES) {
				this.recorder.count(Count.UNKNOWN);
				return;
			}
			this.recorder.count(Count.RETRIED);
			Thread.sleep(retry.get().waitMillis);
		}
		this.recorder.recordProblem(Count.LOST,
				call + " received no response within " + REQUEST_TIMEOUT + ", last attempt: " + this.lastAttempt);
	}

	// Returns empty once the request has ended.
	private Optional<Retry> attempt(TrafficCall call) throws InterruptedException {
		URI entry = this.entries.choose();
		String id = this.name + "-" + this.attempts++;
		HttpCall sent = call.httpCall(entry, ATTEMPT_TIMEOUT)
			.header("Authorization", "Bearer " + this.token)
			.header(CallerHeaders.DEADLINE, String.valueOf(ATTEMPT_TIMEOUT.toMillis()))
			.header(CallerHeaders.REQUEST_ID, id);
		BufferedResponse response = BufferedResponse.of(this.http, sent);
		this.lastAttempt = id + " at " + entry + ": status " + response.status() + " " + abbreviate(response.text());
		if (response.failed() && !response.possiblySent()) {
			this.entries.exclude(entry);
			this.recorder.recordNotRun(id);
			return Optional.of(new Retry(0, false));
		}
		if (response.status() != 200) {
			return Optional.of(retryAfterRefusal(response, id));
		}
		return recordVerdict(call, response);
	}

	private static String abbreviate(String text) {
		int from = Math.max(0, text.length() - MAX_LOGGED_CHARS);
		return text.substring(from).replace("\n", " ");
	}

	private Retry retryAfterRefusal(BufferedResponse response, String id) {
		boolean notExecuted = response.header(CallerHeaders.OUTCOME).filter("not-run"::equals).isPresent();
		if (notExecuted) {
			this.recorder.recordNotRun(id);
		}
		long millis = response.header(CallerHeaders.RETRY_AFTER_MILLIS)
			.or(() -> response.header("Retry-After").map((seconds) -> seconds + "000"))
			.map(Long::parseLong)
			.orElse(RETRY_DELAY_MILLIS);
		return new Retry(millis + this.random.nextLong(RETRY_DELAY_MILLIS), !notExecuted);
	}

	private Optional<Retry> recordVerdict(TrafficCall call, BufferedResponse response) {
		response.header(CallerHeaders.WEIGHTS).ifPresent(this.recorder::recordWeightsLabel);
		switch (verdict(call, response)) {
			case CORRECT -> this.recorder.count(Count.ANSWERED);
			case MIXED -> this.recorder.recordProblem(Count.MIXED, this.lastAttempt);
			case WRONG -> this.recorder.recordProblem(Count.WRONG, this.lastAttempt);
			case TRUNCATED -> {
				this.recorder.count(Count.CUT);
				return Optional.of(new Retry(RETRY_DELAY_MILLIS, true));
			}
		}
		return Optional.empty();
	}

	private static TrafficCall.Verdict verdict(TrafficCall call, BufferedResponse response) {
		try {
			return call.evaluate(response);
		}
		catch (IllegalArgumentException ex) {
			return response.failed() ? TrafficCall.Verdict.TRUNCATED : TrafficCall.Verdict.WRONG;
		}
	}

	private record Retry(long waitMillis, boolean unknown) {
	}

}
