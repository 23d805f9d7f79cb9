package org.wisteriapost.entry.direct;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Callers of a {@link FleetHarness} that name the parts of their prompts. No two requests
 * are alike: they share a first part, some share further ones, and the last part is the
 * request's own.
 */
final class PromptTraffic {

	private static final String FIRST_PART = "f1";

	private static final int SHARED_PARTS = 12;

	private static final int MAX_RETRIES = 3;

	private static final long MAX_RETRY_DELAY_MILLIS = 2000;

	private final FleetHarness fleet;

	private final FleetResults sound = new FleetResults();

	private final List<FirstAttempt> firstAttempts = new ArrayList<>();

	private final List<String> leadingParts = new ArrayList<>();

	private int ownParts;

	private long lastRequest;

	/**
	 * Starts sound requests.
	 * @param perSecond their rate
	 */
	PromptTraffic(FleetHarness fleet, int perSecond) {
		this.fleet = fleet;
		next(FleetHarness.SECOND / perSecond);
	}

	/** Returns the parts that a prompt names, in order. */
	static List<String> parts(String prompt) {
		return Arrays.stream(prompt.split(",")).map((part) -> part.substring(0, part.indexOf(':'))).toList();
	}

	/**
	 * Makes prompts longer: those of all requests by the same parts at their start, and
	 * those with bad parts by further ones, before these, that no other request has.
	 */
	void lengthen(int shared, int own) {
		IntStream.range(0, shared).forEach((i) -> this.leadingParts.add("a" + i));
		this.ownParts = own;
	}

	/** Returns the answers to all attempts of sound requests. */
	FleetResults sound() {
		return this.sound;
	}

	/** Returns the share of sound requests that were answered at the first attempt. */
	double servedAtOnce(long fromNanos, long toNanos) {
		List<FirstAttempt> within = this.firstAttempts.stream()
			.filter((attempt) -> attempt.sentNanos >= fromNanos && attempt.sentNanos < toNanos)
			.toList();
		return within.isEmpty() ? 1 : (double) within.stream().filter(FirstAttempt::done).count() / within.size();
	}

	/**
	 * Sends requests with parts that crash runners, together or in turn.
	 */
	void startBad(long meanIntervalMillis, List<List<String>> variants) {
		this.fleet.after(this.fleet.between(1, 2 * meanIntervalMillis), () -> {
			bad(variants.get(this.fleet.random.nextInt(variants.size())));
			startBad(meanIntervalMillis, variants);
		});
	}

	private void bad(List<String> badParts) {
		List<String> parts = new ArrayList<>(sharedParts());
		IntStream.range(0, this.ownParts).forEach((i) -> parts.add("b" + this.lastRequest + "0" + i));
		int first = this.leadingParts.size() + this.ownParts;
		badParts.forEach((part) -> parts.add(first + this.fleet.random.nextInt(parts.size() - first + 1), part));
		attempt(prompt(parts), 1, (answer) -> {
		});
	}

	private void next(long meanIntervalNanos) {
		this.fleet.after(this.fleet.random.nextLong(2 * meanIntervalNanos), () -> {
			long sent = this.fleet.now();
			boolean[] first = { true };
			attempt(prompt(sharedParts()), MAX_RETRIES, (answer) -> {
				this.sound.add(answer);
				if (first[0]) {
					this.firstAttempts.add(new FirstAttempt(sent, answer.done()));
				}
				first[0] = false;
			});
			next(meanIntervalNanos);
		});
	}

	private List<String> sharedParts() {
		List<String> shared = new ArrayList<>(this.leadingParts);
		shared.add(FIRST_PART);
		Stream.generate(() -> "5" + this.fleet.random.nextInt(SHARED_PARTS))
			.limit(this.fleet.random.nextInt(1, 3))
			.forEach(shared::add);
		return shared;
	}

	private String prompt(List<String> shared) {
		StringBuilder prompt = new StringBuilder();
		shared.forEach((part) -> prompt.append(part).append(":100,"));
		return prompt.append(Long.toHexString(0x10_0000 + ++this.lastRequest)).append(":20").toString();
	}

	private void attempt(String prompt, int retries, Consumer<FleetHarness.Answer> answered) {
		this.fleet.randomEntry().request("body of " + prompt, Optional.of(prompt), (answer) -> {
			answered.accept(answer);
			if (!answer.done() && retries > 0) {
				long delay = Math.min(MAX_RETRY_DELAY_MILLIS, Math.max(10, answer.retryAfterMillis()));
				this.fleet.after(delay * FleetHarness.MILLI, () -> attempt(prompt, retries - 1, answered));
			}
		});
	}

	private record FirstAttempt(long sentNanos, boolean done) {
	}

}
