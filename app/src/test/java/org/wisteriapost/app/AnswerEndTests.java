package org.wisteriapost.app;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.wisteriapost.platform.emulator.EmulatedAnswers.Framing;
import org.wisteriapost.platform.emulator.EmulatedRunner;
import org.wisteriapost.platform.emulator.EmulatedSite;
import org.wisteriapost.protocol.http.HttpCall;
import org.wisteriapost.protocol.http.HttpExchange;
import org.wisteriapost.protocol.http.HttpResponse;
import org.wisteriapost.protocol.http.HttpResponseListener;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * What an entry takes for the end of a runner's answer, and what reaches the caller then.
 */
class AnswerEndTests {

	private static final long TIMEOUT_SECONDS = 30;

	private static final int EVENTS = EmulatedRunner.DEFAULT_EVENTS_PER_STREAM;

	private static final String STREAM = "/draft/x";

	private static final String PLAIN = "/lookup/x";

	private static final String AT_MOST_ONCE = "/allocate/x";

	private InProcessSite localSite;

	private EmulatedSite site;

	private EmulatedRunner first;

	private EmulatedRunner plain;

	@TempDir
	private Path folder;

	@BeforeEach
	void start() throws Exception {
		this.localSite = InProcessSite.start(this.folder);
		this.site = this.localSite.emulatedSite();
		this.first = this.site.addEngine(1);
		this.plain = this.site.addPlainRunner();
		this.localSite.startEntry(this.localSite.writeEntrySettings(1));
		await("requests are served", () -> call(PLAIN).status() == 200 && call(STREAM).status() == 200);
	}

	@AfterEach
	void stop() throws Exception {
		this.localSite.close();
	}

	private static void await(String description, BooleanSupplier condition) throws InterruptedException {
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
		while (!condition.getAsBoolean()) {
			assertThat("timed out waiting until " + description, System.nanoTime() < deadlineNanos);
			TimeUnit.MILLISECONDS.sleep(20);
		}
	}

	private EmulatedRunner addSecondEngine() throws InterruptedException {
		EmulatedRunner second = this.site.addEngine(1);
		await("the second engine receives requests",
				() -> call(STREAM).status() == 200 && !second.executedRequests().isEmpty());
		return second;
	}

	private HttpResponse call(String path) {
		return this.localSite.caller().call(request(path, "a1:10")).join();
	}

	private HttpCall request(String path, String parts) {
		return this.localSite.request(1, "POST", path, EmulatedSite.KEY)
			.header("X-Wisteriapost-Token-Counts", "100,60")
			.header("X-Wisteriapost-Prefix-Hash", parts)
			.body("prompt".getBytes(StandardCharsets.UTF_8));
	}

	private static String text(HttpResponse response) {
		return new String(response.body(), StandardCharsets.UTF_8);
	}

	private static String events(int count, String lineEnd) {
		return IntStream.rangeClosed(1, count)
			.mapToObj((event) -> "id: " + event + "\ndata: token " + event + "\n\n")
			.collect(Collectors.joining())
			.replace("\n", lineEnd);
	}

	// Guards against an answer with neither a length nor chunks that counts as broken
	// off, and against a request on its connection, which the runner has closed.
	@ParameterizedTest
	@EnumSource(Framing.class)
	void answersAreCompleteWithAnyFraming(Framing framing) {
		this.first.answers().framing(framing);
		this.plain.answers().framing(framing);
		for (int i = 0; i < 5; i++) {
			assertThat(text(call(STREAM)), equalTo(events(EVENTS, "\n")));
			assertThat(text(call(PLAIN)).startsWith("answer to "), is(true));
			assertThat(call(AT_MOST_ONCE).status(), equalTo(200));
		}
	}

	// Guards against events that are not recognised by their CRLF line ends.
	@ParameterizedTest
	@EnumSource(Framing.class)
	void streamsWithCarriageReturnsAreComplete(Framing framing) {
		this.first.answers().framing(framing);
		this.first.answers().lineEnd("\r\n");
		assertThat(text(call(STREAM)), equalTo(events(EVENTS, "\r\n")));
	}

	// Guards against a stream that its runner ends within an event and that counts as
	// complete. It is resumed after its last whole event.
	@ParameterizedTest
	@CsvSource({ "LENGTH_OR_CHUNKS, 7, 'id: 8\ndata: tok'", "CONNECTION, 7, 'id: 8\ndata: tok'",
			"CONNECTION, 7, 'id: 8\ndata: token 8\n'", "CONNECTION_OF_VERSION_1_0, 7, 'id'", "CONNECTION, 0, 'id: 1'",
			"LENGTH_OR_CHUNKS, 0, 'id: 1\ndata: token 1\n'" })
	void streamThatEndsWithinAnEventIsResumedElsewhere(Framing framing, int events, String partial) throws Exception {
		EmulatedRunner second = addSecondEngine();
		second.answers().framing(framing);
		this.first.answers().framing(framing);
		this.first.answers().endStreamsWithinEvent(events, partial);
		int before = this.first.executedRequests().size();
		await("the first engine ends a stream", () -> {
			assertThat(text(call(STREAM)), equalTo(events(EVENTS, "\n")));
			return this.first.executedRequests().size() > before;
		});
	}

	// Guards against a stream that no runner can resume and that looks complete to the
	// caller, or of which a part of an event reaches the caller.
	@ParameterizedTest
	@CsvSource({ "LENGTH_OR_CHUNKS, 7, '\n', 'id: 8\ndata: tok'", "CONNECTION, 7, '\n', 'id: 8\ndata: tok'",
			"CONNECTION, 7, '\n', 'id: 8\ndata: token 8\n'", "CONNECTION_OF_VERSION_1_0, 7, '\n', 'id'",
			"CONNECTION, 7, '\r\n', 'id: 8\r\ndata: token 8\r\n'", "CONNECTION, 7, '\r\n', 'id: 8\r\n\r'",
			"CONNECTION, 0, '\n', 'id: 1'", "LENGTH_OR_CHUNKS, 0, '\n', 'id: 1\ndata: token 1\n'" })
	void streamThatEndsWithinAnEventNeverLooksComplete(Framing framing, int events, String lineEnd, String partial) {
		this.first.answers().framing(framing);
		this.first.answers().lineEnd(lineEnd);
		this.first.answers().endStreamsWithinEvent(events, partial);
		CutStream received = new CutStream();
		HttpExchange exchange = this.localSite.caller().stream(request(STREAM, "a1:10"), received);
		if (events == 0) {
			assertThat(received.ended.join(), greaterThan(500));
		}
		else {
			assertThrows(CompletionException.class, received.ended::join);
			assertThat(events(EVENTS, lineEnd).startsWith(received.text()), is(true));
			assertThat(received.text().endsWith(lineEnd + lineEnd), is(true));
		}
		exchange.cancel();
	}

	// Guards against a pause of a sound runner that ends its answer, without another
	// runner that could answer.
	@ParameterizedTest
	@CsvSource({ "/draft/x, 1", "/draft/x, 6", "/lookup/x, 1" })
	void answerOfTheOnlyRunnerContinuesAfterAPause(String path, int event) {
		this.first.answers().pauseBefore(event, 1100);
		this.plain.answers().pauseBefore(event, 1100);
		HttpResponse response = call(path);
		assertThat(response.status(), equalTo(200));
		if (path.equals(STREAM)) {
			assertThat(text(response), equalTo(events(EVENTS, "\n")));
		}
	}

	// Guards against a pause that ends an answer for which no other runner may be asked.
	@Test
	void answerThatMustNotRunTwiceContinuesAfterAPause() {
		this.plain.answers().pauseBefore(1, 1100);
		assertThat(call(AT_MOST_ONCE).status(), equalTo(200));
	}

	// Guards against a pause of all runners that ends an answer at each in turn.
	@ParameterizedTest
	@CsvSource({ "1", "6" })
	void streamContinuesAfterAPauseOfAllRunners(int event) throws Exception {
		EmulatedRunner second = addSecondEngine();
		this.first.answers().pauseBefore(event, 1100);
		second.answers().pauseBefore(event, 1100);
		HttpResponse response = call(STREAM);
		assertThat(response.status(), equalTo(200));
		assertThat(text(response), equalTo(events(EVENTS, "\n")));
	}

	// The emulated runner crashes when it begins to answer on such a part, and not while
	// the request waits there.
	@Test
	void aPartOfAPromptCrashesTheRunnerThatBeginsToAnswerOnIt() throws Exception {
		this.site.addCrashingPart("c0ffee");
		this.first.limitSlots(1);
		this.first.answers().pauseBefore(6, 400);
		String incarnation = this.first.id();
		int before = this.first.executedRequests().size();
		CompletableFuture<HttpResponse> sound = this.localSite.caller().call(request(STREAM, "a1:10,b2:20"));
		await("the sound request runs", () -> this.first.executedRequests().size() == before + 1);
		CompletableFuture<HttpResponse> bad = this.localSite.caller().call(request(STREAM, "a1:10,c0ffee:20,b2:20"));
		await("the other request waits", () -> this.first.executedRequests().size() == before + 2);
		assertThat(text(sound.join()), equalTo(events(EVENTS, "\n")));
		await("the runner has crashed", () -> !this.first.id().equals(incarnation));
		bad.handle((response, failure) -> null).join();
	}

	/**
	 * Collects the bytes of an answer and completes with its status.
	 */
	private static final class CutStream implements HttpResponseListener {

		private final CompletableFuture<Integer> ended = new CompletableFuture<>();

		private final StringBuffer body = new StringBuffer();

		private int status;

		private String text() {
			return this.body.toString();
		}

		@Override
		public void onHead(int code, Map<String, String> headers) {
			this.status = code;
		}

		@Override
		public void onData(byte[] data) {
			this.body.append(new String(data, StandardCharsets.UTF_8));
		}

		@Override
		public void onEnd() {
			this.ended.complete(this.status);
		}

		@Override
		public void onFailure(boolean sent, Throwable cause) {
			this.ended.completeExceptionally(cause);
		}

	}

}
