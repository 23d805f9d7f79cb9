package org.wisteriapost.protocol.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests what the client takes for a complete response.
 */
class ResponseFramingTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	private final PooledHttpClient caller = PooledHttpClient.create(1);

	private final AtomicInteger connections = new AtomicInteger();

	private ServerSocket server;

	@BeforeEach
	void start() throws IOException {
		this.server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
	}

	@AfterEach
	void stop() throws IOException {
		this.caller.close();
		this.server.close();
	}

	// Guards against a response without a length that counts as empty or as cut, and
	// against a call on its connection, which the server has closed.
	@ParameterizedTest
	@CsvSource({ "HTTP/1.1 200 OK, '', body", "HTTP/1.1 200 OK, 'Connection: keep-alive\r\n', body",
			"HTTP/1.1 200 OK, 'Connection: close\r\n', body",
			"HTTP/1.1 200 OK, 'Content-Type: text/event-stream\r\n', 'data: 1\n\n'",
			"HTTP/1.1 200 OK, 'Keep-Alive: timeout=60\r\n', body", "HTTP/1.0 200 OK, '', body",
			"HTTP/1.0 200 OK, 'Connection: keep-alive\r\n', body", "HTTP/1.1 404 Not Found, '', none",
			"HTTP/1.1 200 OK, '', ''", "HTTP/1.1 200 OK, 'Connection: keep-alive\r\n', ''", "HTTP/1.0 200 OK, '', ''" })
	void responseWithoutLengthEndsWithItsConnection(String statusLine, String header, String body) {
		serve(statusLine + "\r\n" + header + "\r\n" + body, 0, false);
		for (int i = 1; i <= 3; i++) {
			assertThat(text(call()), equalTo(body));
			assertThat(this.connections.get(), equalTo(i));
		}
	}

	// Guards against a response that ends at the first pause of its server.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1", "HTTP/1.0" })
	void responseWithoutLengthMayArriveInParts(String version) {
		serve(version + " 200 OK\r\n\r\nfirst,second", 300, false);
		assertThat(text(call()), equalTo("first,second"));
	}

	// Guards against a response that counts as complete although its server broke it off.
	@ParameterizedTest
	@CsvSource({ "'Content-Length: 10\r\n\r\nshort'", "'Content-Length: 10\r\n\r\n'",
			"'Content-Length: 10\r\nConnection: close\r\n\r\nshort'", "'Transfer-Encoding: chunked\r\n\r\n'",
			"'Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n'", "'Transfer-Encoding: chunked\r\n\r\n5\r\nsho'",
			"'Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\nshort\r\n'",
			"'Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\n'" })
	void framedResponseThatIsCutFails(String headAndBody) {
		serve("HTTP/1.1 200 OK\r\n" + headAndBody, 0, false);
		assertThat(failure().sent(), equalTo(true));
	}

	// Guards against a crashed server whose response without a length counts as complete.
	@ParameterizedTest
	@ValueSource(strings = { "\r\nbody", "\r\n", "Content-Length: 10\r\n\r\nshort",
			"Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n" })
	void responseThatIsResetFails(String headAndBody) {
		serve("HTTP/1.1 200 OK\r\n" + headAndBody, 0, true);
		assertThat(failure().sent(), equalTo(true));
	}

	// Guards against a head that is cut and counts as a response without a body.
	@ParameterizedTest
	@ValueSource(strings = { "", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Type: text/plain" })
	void responseThatEndsWithinItsHeadFails(String head) {
		serve(head, 0, false);
		assertThat(failure().sent(), equalTo(true));
	}

	private HttpResponse call() {
		return this.caller.call(HttpCall.of("GET", target(), TIMEOUT)).join();
	}

	private HttpCallException failure() {
		long startNanos = System.nanoTime();
		CompletionException ex = assertThrows(CompletionException.class, this::call);
		assertThat("the end is noticed before the timeout", System.nanoTime() - startNanos < TIMEOUT.toNanos());
		assertThat(ex.getCause().getCause(), instanceOf(HttpCallException.class));
		return (HttpCallException) ex.getCause().getCause();
	}

	private URI target() {
		return URI.create("http://127.0.0.1:" + this.server.getLocalPort() + "/");
	}

	private static String text(HttpResponse response) {
		return new String(response.body(), StandardCharsets.UTF_8);
	}

	/**
	 * Answers one request on each connection and closes it.
	 * @param response the whole response; a comma in it is followed by the pause
	 * @param reset whether the connection is reset instead of closed
	 */
	private void serve(String response, long pauseMillis, boolean reset) {
		Thread.ofVirtual().start(() -> {
			while (!this.server.isClosed()) {
				try (Socket socket = this.server.accept()) {
					this.connections.incrementAndGet();
					answer(socket, response, pauseMillis);
					if (reset) {
						// The client has read what was sent before the reset discards it.
						TimeUnit.MILLISECONDS.sleep(100);
						socket.setSoLinger(true, 0);
					}
				}
				catch (IOException ex) {
					// The test is over or the client has closed the connection.
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}
		});
	}

	private static void answer(Socket socket, String response, long pauseMillis)
			throws IOException, InterruptedException {
		BufferedReader request = new BufferedReader(
				new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
		String line = request.readLine();
		while (line != null && !line.isEmpty()) {
			line = request.readLine();
		}
		int pauseAt = (pauseMillis > 0) ? response.indexOf(',') + 1 : 0;
		socket.getOutputStream().write(response.substring(0, pauseAt).getBytes(StandardCharsets.UTF_8));
		TimeUnit.MILLISECONDS.sleep(pauseMillis);
		socket.getOutputStream().write(response.substring(pauseAt).getBytes(StandardCharsets.UTF_8));
	}

}
