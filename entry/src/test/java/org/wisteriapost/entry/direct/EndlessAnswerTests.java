package org.wisteriapost.entry.direct;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.hamcrest.Matchers;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.protocol.http.HttpResponse;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Runners whose answers do not end, beside sound ones.
 */
class EndlessAnswerTests {

	private static final String HEAD = "HTTP/1.1 200 OK\r\nattempt: ID\r\n";

	private static final String STREAM_HEAD = HEAD + "content-type: text/event-stream\r\n\r\n";

	private final CountDownLatch closed = new CountDownLatch(1);

	/**
	 * Sends bytes until the entry closes the connection.
	 */
	private ScriptedRunner.Script endless(String start, String next) {
		return (runner, request, socket) -> {
			OutputStream out = socket.getOutputStream();
			out.write(start.replace("ID", request.attempt()).getBytes(StandardCharsets.US_ASCII));
			byte[] block = next.repeat(1 + 16384 / next.length()).getBytes(StandardCharsets.US_ASCII);
			try {
				while (true) {
					out.write(block);
				}
			}
			catch (IOException ex) {
				this.closed.countDown();
				throw ex;
			}
		};
	}

	private static ScriptedRunner.Script sound() {
		return (runner, request, socket) -> {
			runner.recordRun(request.attempt());
			socket.getOutputStream()
				.write(ScriptedRunner.response(200, request.attempt(), "content-type: text/event-stream\r\n",
						"id: 1\ndata: a\n\n"));
		};
	}

	private static HttpResponse call(EntryOnSockets entry, String path, String attempt) throws Exception {
		return entry.request(path, attempt).get(12, TimeUnit.SECONDS);
	}

	private static String start(String kind) {
		return switch (kind) {
			case "head" -> HEAD;
			case "event", "blank lines" -> STREAM_HEAD;
			case "rejection" -> HEAD.replace("200 OK", "503 Full") + "\r\n";
			default -> HEAD + "\r\n";
		};
	}

	private static String next(String kind) {
		return switch (kind) {
			case "head" -> "x-header: y\r\n";
			case "blank lines" -> "\n";
			default -> "data: x";
		};
	}

	// Guards against a request that waits for an answer without an end until its time is
	// over, and against a runner's connection that is read on after that.
	@ParameterizedTest
	@CsvSource({ "head, /plain/x", "body, /plain/x", "rejection, /plain/x", "head, /feed/x", "event, /feed/x",
			"blank lines, /feed/x", "rejection, /feed/x", "rejection, /once/x" })
	void requestIsAnsweredByAnotherRunner(String kind, String path) throws Exception {
		try (ScriptedRunner bad = ScriptedRunner.start(endless(start(kind), next(kind)));
				ScriptedRunner good = ScriptedRunner.start(sound());
				EntryOnSockets entry = new EntryOnSockets(List.of(bad.address(), good.address()))) {
			for (int i = 0; bad.connections() == 0; i++) {
				assertThat(call(entry, path, "a" + i).status(), Matchers.equalTo(200));
			}
			assertThat("the entry closes the connection", this.closed.await(12, TimeUnit.SECONDS), Matchers.is(true));
			assertThat(call(entry, path, "last").status(), Matchers.equalTo(200));
		}
	}

	// Guards against an answer without an end that looks complete, or that is told to
	// have not run.
	@ParameterizedTest
	@CsvSource({ "head", "body" })
	void requestThatMayRunOnceFails(String kind) throws Exception {
		try (ScriptedRunner bad = ScriptedRunner.start(endless(start(kind), next(kind)));
				EntryOnSockets entry = new EntryOnSockets(List.of(bad.address()))) {
			assertThat(call(entry, "/once/x", "a").status(), Matchers.equalTo(502));
			assertThat("the entry closes the connection", this.closed.await(12, TimeUnit.SECONDS), Matchers.is(true));
		}
	}

}
