package org.wisteriapost.entry.direct;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.hamcrest.Matchers;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.wisteriapost.protocol.http.HttpResponse;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * A runner whose answers are malformed, and a sound one.
 */
class MalformedAnswerTests {

	private static final String OK = "HTTP/1.1 200 OK\r\n";

	private static final String EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

	private static final String SOUND_EVENTS = "id: 1\ndata: sound\n\nid: 2\ndata: sound\n\n";

	private static final String FIRST_EVENT = "f\r\nid: 1\ndata: a\n\n\r\n";

	private static final int MAX_REQUESTS = 200;

	private static final long TIMEOUT_SECONDS = 12;

	static Stream<Arguments> answers() {
		return Stream.concat(heads(), bodies())
			.flatMap((answer) -> Stream.of("/plain/x", "/once/x", "/feed/x").map((path) -> Arguments.of(path, answer)));
	}

	/** Answers whose head is damaged. */
	private static Stream<String> heads() {
		return Stream.of(head("Content-Length: 30x"), head("Content-Length: +30"), head("Content-Length: -30"),
				head("Content-Length: 30\r\nContent-Length: 15"), head("Content-Length: 15\r\nContent-Length: 30"),
				head("Content-Length:\r\n 30"), head("Content-Length: 99999999999999999999"),
				head("Content-Length: 30\r\nTransfer-Encoding: x"), head("Transfer-Encoding: x"),
				head("Transfer-Encoding: x, chunked"), head("Content-Length 30"), head("Content-Length: 30\r\nnoise"),
				head("noise\r\nContent-Length: 30"), head(": x\r\nContent-Length: 30"),
				head("Content-Length: 30\r\nA B: c"), head("A B: c\r\nContent-Length: 30"), head("Content-Length : 30"),
				head("A\tB: c"), head("A : c"), head("A\u0001B: c\r\nContent-Length: 30"), head("A\u0000B: c"),
				head("A\u007fB: c"), head("A: b\r\n C: d\r\nContent-Length: 30"),
				head("A: b\u0000c\r\nContent-Length: 30"), status("HTTP/1.1 000 OK"), status("HTTP/1.1 600 OK"),
				status("HTTP/2.0 200 OK"), status("HTTP/1.1 2x0 OK"));
	}

	/** Answers whose end is not that of the runner's body. */
	private static Stream<String> bodies() {
		return Stream.of(head("Content-Length: 15"), head("Content-Length: 0"),
				chunks("1e\r\n" + EVENTS + "\r\n0\r\nnoise\r\n\r\n"), chunks("f\r\n" + EVENTS + "\r\n0\r\n\r\n"),
				chunks("1ex\r\n" + EVENTS + "\r\n0\r\n\r\n"), chunks("1e\r\n" + EVENTS + "\r\n0x\r\n\r\n"),
				chunks(FIRST_EVENT + "0\r\n\r\n" + FIRST_EVENT),
				chunks(FIRST_EVENT + "f" + EVENTS.substring(15) + "\r\n0\r\n\r\n"));
	}

	static Stream<String> rejections() {
		return heads().map((answer) -> answer.replace(" 200 OK", " 503 Full"));
	}

	private static String head(String fields) {
		return OK + "attempt: ID\r\n" + fields + "\r\n\r\n" + EVENTS;
	}

	private static String status(String line) {
		return line + "\r\nattempt: ID\r\nContent-Length: 30\r\n\r\n" + EVENTS;
	}

	private static String chunks(String body) {
		return OK + "attempt: ID\r\nTransfer-Encoding: chunked\r\n\r\n" + body;
	}

	// Guards against a malformed answer that a caller gets as a whole one, with another
	// body than the runner's or with fields that are none.
	@ParameterizedTest
	@MethodSource("answers")
	void malformedAnswerIsNotPassedOn(String path, String answer) throws Exception {
		try (ScriptedRunner bad = ScriptedRunner
			.start((runner, request, socket) -> answer(runner, request, socket, answer));
				ScriptedRunner good = ScriptedRunner.start(MalformedAnswerTests::answerSoundly);
				EntryOnSockets entry = new EntryOnSockets(List.of(bad.address(), good.address()))) {
			for (int i = 0; bad.runs().isEmpty() && i < MAX_REQUESTS; i++) {
				assertSoundOrFailed(entry, path, "a" + i, bad);
			}
			assertThat(bad.runs(), Matchers.not(Matchers.empty()));
			assertThat(call(entry, path, "last").status(),
					Matchers.anyOf(Matchers.equalTo(200), Matchers.equalTo(502)));
		}
	}

	// Guards against a damaged answer that says that its request has not run.
	@ParameterizedTest
	@MethodSource("rejections")
	void malformedRejectionIsNotBelieved(String rejection) throws Exception {
		try (ScriptedRunner bad = ScriptedRunner
			.start((runner, request, socket) -> answer(runner, request, socket, rejection));
				EntryOnSockets entry = new EntryOnSockets(List.of(bad.address()))) {
			assertThat(call(entry, "/once/x", "a").status(), Matchers.equalTo(502));
			assertThat(bad.runs(), Matchers.equalTo(List.of("a")));
		}
	}

	private static void assertSoundOrFailed(EntryOnSockets entry, String path, String attempt, ScriptedRunner bad)
			throws Exception {
		try {
			HttpResponse response = call(entry, path, attempt);
			String body = new String(response.body(), StandardCharsets.US_ASCII);
			boolean mayFail = path.equals("/once/x") && bad.runs().contains(attempt);
			boolean failed = mayFail && response.status() == 502;
			assertThat(response.status() + " " + body, failed || (response.status() == 200 && isWhole(body)));
		}
		catch (ExecutionException ex) {
			assertThat("only a stream may be cut", path, Matchers.equalTo("/feed/x"));
		}
	}

	// The events of a stream may be of both runners.
	private static boolean isWhole(String body) {
		return List.of(SOUND_EVENTS, "id: 1\ndata: a\n\nid: 2\ndata: sound\n\n").contains(body);
	}

	private static HttpResponse call(EntryOnSockets entry, String path, String attempt) throws Exception {
		return entry.request(path, attempt).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	private static String type(ScriptedRunner.Request request) {
		return request.target().startsWith("/feed") ? "content-type: text/event-stream\r\n" : "";
	}

	private static void answer(ScriptedRunner runner, ScriptedRunner.Request request, Socket socket, String answer)
			throws IOException {
		runner.recordRun(request.attempt());
		String named = answer.replace("attempt: ID\r\n", "attempt: " + request.attempt() + "\r\n" + type(request));
		socket.getOutputStream().write(named.getBytes(StandardCharsets.ISO_8859_1));
		socket.shutdownOutput();
	}

	private static void answerSoundly(ScriptedRunner runner, ScriptedRunner.Request request, Socket socket)
			throws IOException {
		boolean resumed = request.headers().containsKey("last-event-id");
		String events = resumed ? SOUND_EVENTS.substring(SOUND_EVENTS.indexOf("id: 2")) : SOUND_EVENTS;
		socket.getOutputStream().write(ScriptedRunner.response(200, request.attempt(), type(request), events));
	}

}
