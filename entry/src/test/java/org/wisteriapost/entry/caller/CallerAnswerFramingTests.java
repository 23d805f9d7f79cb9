package org.wisteriapost.entry.caller;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests that a caller can tell the end of a streamed answer from a cut.
 */
class CallerAnswerFramingTests {

	private static final int TIMEOUT_MILLIS = 10_000;

	private static final String CHUNKED = "transfer-encoding: chunked";

	private Undertow server;

	@BeforeEach
	void start() {
		this.server = Undertow.builder()
			.addHttpListener(0, "127.0.0.1")
			.setIoThreads(1)
			.setHandler((exchange) -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> answer(exchange)))
			.build();
		this.server.start();
	}

	@AfterEach
	void stop() {
		this.server.stop();
	}

	// Guards against a stream that ends with its connection alone: if the process is
	// killed, the kernel closes the connection in the same way.
	@ParameterizedTest
	@CsvSource({ "/whole, Connection: close", "/whole, Connection: keep-alive", "/whole-leaving, Accept: */*",
			"/whole-leaving, Connection: keep-alive" })
	void streamEndsWithItsLastChunk(String path, String header) throws IOException {
		String answer = exchange(path, "HTTP/1.1", header);
		assertThat(answer.toLowerCase(Locale.ROOT), containsString(CHUNKED));
		assertThat(answer, endsWith("\r\nsecond\r\n0\r\n\r\n"));
	}

	// A caller of version 1.0 does not understand chunks.
	@ParameterizedTest
	@ValueSource(strings = { "Accept: */*", "Connection: close", "Connection: keep-alive" })
	void streamToAnOldCallerHasNoChunks(String header) throws IOException {
		String answer = exchange("/whole", "HTTP/1.0", header);
		assertThat(answer.toLowerCase(Locale.ROOT), not(containsString(CHUNKED)));
		assertThat(answer, endsWith("\r\n\r\nfirstsecond"));
	}

	// Guards against a stream that is broken off and ends as a whole one does.
	@ParameterizedTest
	@CsvSource({ "HTTP/1.1, Connection: close", "HTTP/1.1, Accept: */*", "HTTP/1.0, Accept: */*",
			"HTTP/1.0, Connection: keep-alive" })
	void cutStreamIsReset(String version, String header) {
		assertThrows(SocketException.class, () -> exchange("/cut", version, header));
	}

	private String exchange(String path, String version, String header) throws IOException {
		int port = ((InetSocketAddress) this.server.getListenerInfo().getFirst().getAddress()).getPort();
		try (Socket socket = new Socket("127.0.0.1", port)) {
			socket.setSoTimeout(TIMEOUT_MILLIS);
			String request = "GET " + path + " " + version + "\r\nHost: x\r\n" + header + "\r\n\r\n";
			socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
			StringBuilder answer = new StringBuilder();
			int next = socket.getInputStream().read();
			while (next >= 0) {
				answer.append((char) next);
				if (answer.toString().endsWith("\r\n0\r\n\r\n")) {
					return answer.toString();
				}
				next = socket.getInputStream().read();
			}
			return answer.toString();
		}
	}

	private static void answer(HttpServerExchange exchange) {
		String path = exchange.getRequestPath();
		if (path.endsWith("leaving")) {
			exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
		}
		CallerAnswer answer = new CallerAnswer(exchange, "r", 1 << 20);
		answer.start(200, List.of(), "");
		answer.write("first".getBytes(StandardCharsets.UTF_8));
		if (path.startsWith("/cut")) {
			exchange.getIoThread()
				.executeAfter(() -> answer.refuse(Refusal.outcomeUnknown(502, "cut", "cut")), 100,
						TimeUnit.MILLISECONDS);
			return;
		}
		answer.write("second".getBytes(StandardCharsets.UTF_8));
		answer.end();
	}

}
