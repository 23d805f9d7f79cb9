package org.wisteriapost.entry.direct;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

import org.hamcrest.Matchers;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.protocol.http.HttpResponse;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Streams whose runner sends nothing for longer than a second, with sockets and clocks.
 */
class SilentRunnerAnswerTests {

	private static final long SILENCE_MILLIS = 1600;

	private static final int CONCURRENT_REQUESTS = 16;

	private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (\\d+)\n\n");

	private static final List<Integer> ALL_EVENTS = IntStream.rangeClosed(1, PausableRunners.EVENTS).boxed().toList();

	private static HttpResponse answer(CompletableFuture<HttpResponse> future) throws Exception {
		HttpResponse response = future.get(12, TimeUnit.SECONDS);
		assertThat(response.status(), Matchers.equalTo(200));
		return response;
	}

	private static List<Integer> group(HttpResponse response, int group) {
		return EVENT.matcher(text(response))
			.results()
			.map((MatchResult event) -> Integer.parseInt(event.group(group)))
			.toList();
	}

	private static void assertComplete(HttpResponse response) {
		assertThat(text(response), group(response, 1), Matchers.equalTo(ALL_EVENTS));
		assertThat(text(response).replaceAll(EVENT.pattern(), ""), Matchers.emptyString());
	}

	private static String text(HttpResponse response) {
		return new String(response.body(), StandardCharsets.US_ASCII);
	}

	private static void awaitDispatch(PausableRunners runners, String attempt, int dispatch)
			throws InterruptedException {
		long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(8);
		while (runners.arrivals(attempt) < dispatch && System.nanoTime() < untilNanos) {
			Thread.sleep(5);
		}
		assertThat(runners.arrivals(attempt), Matchers.equalTo(dispatch));
	}

	// Guards against streams that the entry cuts because their only runner is silent, or
	// because the other one turns them away.
	@ParameterizedTest
	@CsvSource({ "1, 1", "1, 4", "1, 7", "2, 1", "2, 4", "2, 7" })
	void answerOfRunnerThatGoesOnIsComplete(int runnerCount, int pauseBefore) throws Exception {
		PausableRunners.Script first = PausableRunners.Script.pausingBefore(pauseBefore);
		try (PausableRunners runners = new PausableRunners(runnerCount, first, PausableRunners.Script.answering(503));
				EntryOnSockets entry = new EntryOnSockets(runners.addresses())) {
			CompletableFuture<HttpResponse> future = entry.request("a");
			Thread.sleep(SILENCE_MILLIS);
			first.resume();
			assertComplete(answer(future));
		}
	}

	// Guards against a request that waits for a runner that is lost for good.
	@ParameterizedTest
	@ValueSource(ints = { 1, 4, 7 })
	void streamIsContinuedByAnotherRunner(int pauseBefore) throws Exception {
		PausableRunners.Script first = PausableRunners.Script.pausingBefore(pauseBefore);
		try (PausableRunners runners = new PausableRunners(2, first, PausableRunners.Script.answering());
				EntryOnSockets entry = new EntryOnSockets(runners.addresses())) {
			CompletableFuture<HttpResponse> future = entry.request("a");
			HttpResponse response = answer(future);
			first.resume();
			assertComplete(response);
			List<Integer> expected = IntStream.rangeClosed(1, PausableRunners.EVENTS)
				.map((event) -> (event < pauseBefore) ? 1 : 2)
				.boxed()
				.toList();
			assertThat(group(response, 2), Matchers.equalTo(expected));
		}
	}

	// Guards against answers that the runner that was silent can no longer give, as
	// another one was asked that is silent too.
	@ParameterizedTest
	@ValueSource(ints = { 1, 4, 7 })
	void firstRunnerGoesOnWhileTheSecondIsSilent(int pauseBefore) throws Exception {
		PausableRunners.Script first = PausableRunners.Script.pausingBefore(pauseBefore);
		PausableRunners.Script second = PausableRunners.Script.pausingBefore(1);
		try (PausableRunners runners = new PausableRunners(2, first, second);
				EntryOnSockets entry = new EntryOnSockets(runners.addresses())) {
			CompletableFuture<HttpResponse> future = entry.request("a");
			awaitDispatch(runners, "a", 2);
			first.resume();
			HttpResponse response = answer(future);
			second.resume();
			assertComplete(response);
			assertThat(group(response, 2), Matchers.everyItem(Matchers.equalTo(1)));
		}
	}

	// Guards against answers with events of two dispatches that overlap or leave a gap,
	// when both runners go on at the same moment.
	@ParameterizedTest
	@ValueSource(ints = { 1, 3, 6, 7 })
	void eventsOfTwoDispatchesDoNotMix(int pauseBefore) throws Exception {
		PausableRunners.Script first = PausableRunners.Script.pausingBefore(pauseBefore);
		PausableRunners.Script second = PausableRunners.Script.pausingBefore(pauseBefore);
		try (PausableRunners runners = new PausableRunners(2, first, second);
				EntryOnSockets entry = new EntryOnSockets(runners.addresses().subList(0, 1))) {
			List<CompletableFuture<HttpResponse>> futures = IntStream.range(0, CONCURRENT_REQUESTS)
				.mapToObj((i) -> entry.request("a" + i))
				.toList();
			awaitDispatch(runners, "a" + (CONCURRENT_REQUESTS - 1), 1);
			entry.replaceRunners(runners.addresses());
			for (int i = 0; i < CONCURRENT_REQUESTS; i++) {
				awaitDispatch(runners, "a" + i, 2);
			}
			first.resume();
			second.resume();
			for (CompletableFuture<HttpResponse> future : futures) {
				assertComplete(answer(future));
			}
		}
	}

}
