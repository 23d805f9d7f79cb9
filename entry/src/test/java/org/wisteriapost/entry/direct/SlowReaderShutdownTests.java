package org.wisteriapost.entry.direct;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.wisteriapost.protocol.http.HttpResponse;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * An entry that shuts down while a caller reads its answer slowly.
 */
class SlowReaderShutdownTests {

	// More than the sockets hold.
	private static final int ANSWER_BYTES = 12 << 20;

	// Longer than an entry without requests stays, shorter than it may stay.
	private static final long PAUSE_MILLIS = 4500;

	private static Socket connect(EntryOnSockets entry) throws IOException {
		Socket socket = new Socket();
		socket.setReceiveBufferSize(16 * 1024);
		socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), entry.port()));
		socket.getOutputStream()
			.write("GET /plain/x HTTP/1.1\r\nHost: 127.0.0.1\r\nattempt: a\r\n\r\n"
				.getBytes(StandardCharsets.US_ASCII));
		return socket;
	}

	private static ScriptedRunner.Script largeAnswer() {
		String body = "x".repeat(ANSWER_BYTES);
		return (runner, request, socket) -> socket.getOutputStream()
			.write(ScriptedRunner.response(200, request.attempt(), "", body));
	}

	// Guards against an answer that is cut because its entry exits when it is known and
	// not when it is sent.
	@Test
	void answerReachesASlowReaderWhole() throws Exception {
		try (ScriptedRunner runner = ScriptedRunner.start(largeAnswer());
				EntryOnSockets entry = new EntryOnSockets(List.of(runner.address()));
				Socket caller = connect(entry)) {
			InputStream in = caller.getInputStream();
			int first = in.read();
			CompletableFuture<Void> mayExit = entry.leave();
			TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
			assertThat("the process stays until the answer is sent", mayExit.isDone(), Matchers.is(false));
			assertThat(first, Matchers.equalTo((int) 'H'));
			assertThat(in.readNBytes(ANSWER_BYTES).length, Matchers.equalTo(ANSWER_BYTES));
			mayExit.get(12, TimeUnit.SECONDS);
		}
	}

	// Guards against a request that is cut without an answer at the end of the grace
	// period, while its runner still works on it.
	@Test
	void requestThatOutlastsTheGracePeriodIsAnswered() throws Exception {
		try (ScriptedRunner runner = ScriptedRunner.start((one, request, socket) -> one.recordRun(request.attempt()));
				EntryOnSockets entry = new EntryOnSockets(List.of(runner.address()))) {
			CompletableFuture<HttpResponse> response = entry.request("/once/x", "a");
			while (runner.runs().isEmpty()) {
				TimeUnit.MILLISECONDS.sleep(10);
			}
			entry.leave().get(12, TimeUnit.SECONDS);
			entry.closeConnections();
			assertThat(response.get(12, TimeUnit.SECONDS).status(), Matchers.equalTo(502));
		}
	}

	// Guards against an entry that waits for a caller that has left.
	@Test
	void callerThatLeavesDoesNotHoldTheProcess() throws Exception {
		try (ScriptedRunner runner = ScriptedRunner.start(largeAnswer());
				EntryOnSockets entry = new EntryOnSockets(List.of(runner.address()))) {
			try (Socket caller = connect(entry)) {
				caller.getInputStream().read();
			}
			entry.awaitNoOpenAnswers();
		}
	}

}
