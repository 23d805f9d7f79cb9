package org.wisteriapost.entry.direct;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
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
 * A runner that stops at any byte of its answer and closes the connection.
 */
class CutAnswerTests {

	private static final String ATTEMPT = "a1";

	private static final String HEAD = "HTTP/1.1 200 OK\r\nattempt: a1\r\n";

	private static final String STREAM_HEAD = HEAD + "Content-Type: text/event-stream\r\n";

	private static final String EVENTS = "id: 1\ndata: a\n\n";

	private static final String SOUND = "id: 1\ndata: sound\n\n";

	private static final int MAX_REQUESTS = 200;

	private static final long TIMEOUT_SECONDS = 12;

	/** How the runner ends the connection. */
	enum End {

		CLOSED, RESET

	}

	static Stream<Arguments> answers() {
		List<String> interim = List.of("", "HTTP/1.1 100 Continue\r\n\r\n",
				"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
		return Stream
			.of(Arguments.of("/plain/x", HEAD + "Content-Length: 4\r\nServer: x\r\n\r\n", "body", "body"),
					Arguments.of("/plain/x", HEAD + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n0\r\n\r\n",
							"body"),
					Arguments.of("/plain/x", HEAD + "Connection: close\r\n\r\n", "", ""),
					Arguments.of("/once/x", HEAD + "Content-Length: 0\r\nX-Last: y\r\n\r\n", "", ""),
					Arguments.of("/once/x", "HTTP/1.0 200 OK\r\nattempt: a1\r\n\r\n", "", ""),
					Arguments.of("/feed/x", STREAM_HEAD + "Transfer-Encoding: chunked\r\n\r\n",
							"e\r\n" + EVENTS + "\r\n0\r\n\r\n", EVENTS),
					Arguments.of("/stream/x", STREAM_HEAD + "\r\n", "", ""))
			.flatMap((answer) -> interim.stream()
				.flatMap((first) -> Arrays.stream(End.values())
					.map((end) -> Arguments.of(answer.get()[0], first + answer.get()[1], answer.get()[2],
							answer.get()[3], end))));
	}

	// Guards against an answer that ends within its head, or within a body whose end it
	// states, and reaches the caller as a whole one.
	@ParameterizedTest
	@MethodSource("answers")
	void answerThatIsCutNeverLooksWhole(String path, String head, String body, String content, End end)
			throws Exception {
		byte[] whole = (head + body).getBytes(StandardCharsets.US_ASCII);
		try (ScriptedRunner sound = ScriptedRunner.start(CutAnswerTests::answerSoundly);
				EntryOnSockets entry = new EntryOnSockets(List.of(sound.address()))) {
			for (int cut = 0; cut < whole.length; cut++) {
				byte[] sent = Arrays.copyOf(whole, cut);
				try (ScriptedRunner runner = ScriptedRunner
					.start((one, request, socket) -> cut(one, sent, socket, end))) {
					entry.replaceRunners(List.of(runner.address(), sound.address()));
					for (int i = 0; i < MAX_REQUESTS && runner.runs().isEmpty(); i++) {
						assertWholeOrFailed(entry, path, List.of(SOUND, content), cut);
					}
					assertThat("runs at cut " + cut, runner.runs(), Matchers.not(Matchers.empty()));
				}
			}
		}
	}

	private static void assertWholeOrFailed(EntryOnSockets entry, String path, List<String> contents, int cut)
			throws Exception {
		try {
			HttpResponse response = entry.request(path + cut, ATTEMPT).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			String body = new String(response.body(), StandardCharsets.US_ASCII);
			boolean complete = response.status() == 200 && contents.contains(body) && !body.isEmpty();
			boolean failed = response.status() == 502;
			assertThat("cut at " + cut + ": " + response.status() + " " + body, complete || failed);
		}
		catch (ExecutionException ex) {
			assertThat("cut at " + cut, path, Matchers.equalTo("/feed/x"));
		}
	}

	private static void answerSoundly(ScriptedRunner runner, ScriptedRunner.Request request, Socket socket)
			throws IOException {
		boolean stream = request.target().startsWith("/feed") || request.target().startsWith("/stream");
		write(socket,
				ScriptedRunner.response(200, ATTEMPT, stream ? "Content-Type: text/event-stream\r\n" : "", SOUND));
	}

	private static void cut(ScriptedRunner runner, byte[] sent, Socket socket, End end)
			throws IOException, InterruptedException {
		runner.recordRun(ATTEMPT);
		write(socket, sent);
		if (end == End.RESET) {
			// What was sent is read before the reset discards it.
			TimeUnit.MILLISECONDS.sleep(5);
			socket.setSoLinger(true, 0);
		}
		socket.close();
	}

	private static void write(Socket socket, byte[] bytes) throws IOException {
		OutputStream out = socket.getOutputStream();
		out.write(bytes);
		out.flush();
	}

}
