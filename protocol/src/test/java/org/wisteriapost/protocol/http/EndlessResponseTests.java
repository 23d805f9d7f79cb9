package org.wisteriapost.protocol.http;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.undertow.Undertow;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Servers that send bytes without an end, until the client closes the connection.
 */
class EndlessResponseTests {

	private static final Duration LONG = Duration.ofSeconds(30);

	private static final Duration SHORT = Duration.ofMillis(1500);

	// What the sockets of both sides may hold beside what the client has read.
	private static final long SOCKET_BUFFERS = 12 << 20;

	private final PooledHttpClient caller = PooledHttpClient.create(1);

	private final AtomicLong sent = new AtomicLong();

	private final List<CountDownLatch> closed = new ArrayList<>();

	private ServerSocket endless;

	private Undertow sound;

	@BeforeEach
	void start() throws IOException {
		this.endless = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
		this.sound = Undertow.builder()
			.addHttpListener(0, "127.0.0.1")
			.setIoThreads(1)
			.setHandler((exchange) -> exchange.getResponseSender().send("sound"))
			.build();
		this.sound.start();
	}

	@AfterEach
	void stop() throws IOException {
		this.caller.close();
		this.endless.close();
		this.sound.stop();
	}

	private void serve(Endless kind, long pauseMillis) {
		CountDownLatch end = new CountDownLatch(1);
		this.closed.add(end);
		Thread.ofVirtual().start(() -> {
			try (Socket socket = this.endless.accept()) {
				socket.getInputStream().read(new byte[8192]);
				write(socket.getOutputStream(), kind, pauseMillis);
			}
			catch (IOException | InterruptedException ex) {
				// The client has closed the connection.
			}
			end.countDown();
		});
	}

	private void write(OutputStream out, Endless kind, long pauseMillis) throws IOException, InterruptedException {
		out.write(kind.start.getBytes(StandardCharsets.US_ASCII));
		byte[] next = kind.next.getBytes(StandardCharsets.US_ASCII);
		byte[] block = (pauseMillis > 0) ? next
				: kind.next.repeat(1 + 65536 / kind.next.length()).getBytes(StandardCharsets.US_ASCII);
		while (true) {
			out.write(block);
			this.sent.addAndGet(block.length);
			TimeUnit.MILLISECONDS.sleep(pauseMillis);
		}
	}

	private CompletableFuture<HttpResponse> callEndless(Duration timeout) {
		return this.caller
			.call(HttpCall.of("GET", URI.create("http://127.0.0.1:" + this.endless.getLocalPort() + "/"), timeout));
	}

	private void assertOthersAreAnswered() {
		int port = ((InetSocketAddress) this.sound.getListenerInfo().getFirst().getAddress()).getPort();
		URI target = URI.create("http://127.0.0.1:" + port + "/");
		for (int i = 0; i < 5; i++) {
			assertThat(new String(this.caller.call(HttpCall.of("GET", target, LONG)).join().body()), equalTo("sound"));
		}
	}

	private void assertClosed() throws InterruptedException {
		for (CountDownLatch end : this.closed) {
			assertThat("the client closes the connection", end.await(LONG.toSeconds(), TimeUnit.SECONDS), is(true));
		}
	}

	// Guards against a server that takes the memory of the process, or its I/O thread, so
	// that other calls get no answer and no timer runs.
	@ParameterizedTest
	@EnumSource(Endless.class)
	void responseWithoutEndFailsAndHarmsNoOtherCall(Endless kind) throws Exception {
		serve(kind, 0);
		CompletableFuture<HttpResponse> bad = callEndless(LONG);
		assertOthersAreAnswered();
		assertThrows(CompletionException.class, bad::join);
		assertClosed();
		assertThat(this.sent.get(), lessThan((kind.body ? 16L << 20 : 1L << 20) + SOCKET_BUFFERS));
		assertOthersAreAnswered();
	}

	// Guards against a trickle that keeps a call beyond its time.
	@ParameterizedTest
	@EnumSource(Endless.class)
	void trickleWithoutEndFailsInItsTime(Endless kind) throws Exception {
		serve(kind, 20);
		CompletableFuture<HttpResponse> bad = callEndless(SHORT);
		assertOthersAreAnswered();
		assertThrows(CompletionException.class, bad::join);
		assertClosed();
	}

	// Guards against several such servers that take the memory together.
	@ParameterizedTest
	@EnumSource(Endless.class)
	void severalServersAtOnceHarmNoOtherCall(Endless kind) throws Exception {
		List<CompletableFuture<HttpResponse>> bad = new ArrayList<>();
		for (int i = 0; i < 8; i++) {
			serve(kind, 0);
			bad.add(callEndless(LONG));
		}
		assertOthersAreAnswered();
		bad.forEach((one) -> assertThrows(CompletionException.class, one::join));
		assertClosed();
	}

	// Guards against a connection that is read on, at full speed or as a trickle, after
	// nobody needs the rest of the response.
	@ParameterizedTest
	@CsvSource({ "BODY, 0", "BODY, 20", "CHUNKED_BODY, 0", "LONG_BODY, 20" })
	void restOfAResponseThatIsNotNeededIsNotRead(Endless kind, long pauseMillis) throws Exception {
		serve(kind, pauseMillis);
		HeadOnly listener = new HeadOnly();
		URI target = URI.create("http://127.0.0.1:" + this.endless.getLocalPort() + "/");
		HttpExchange exchange = this.caller.stream(HttpCall.of("GET", target, Duration.ofMinutes(10)), listener);
		listener.head.get(LONG.toSeconds(), TimeUnit.SECONDS);
		exchange.discardRest();
		assertClosed();
		assertThat(this.sent.get(), lessThan((1 << 20) + SOCKET_BUFFERS));
	}

	/** Bytes that never become a whole response. */
	private enum Endless {

		NOISE("", "noise", false),

		STATUS_LINE("HTTP/1.1 200 ", "OK", false),

		BLANK_LINES("", "\r\n", false),

		HEADER_NAME("HTTP/1.1 200 OK\r\n", "X", false),

		HEADER_VALUE("HTTP/1.1 200 OK\r\nX: ", "y", false),

		HEADERS("HTTP/1.1 200 OK\r\n", "X-Header: y\r\n", false),

		INTERIM_HEADS("", "HTTP/1.1 100 Continue\r\n\r\n", false),

		OTHER_INTERIM_HEADS("", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", false),

		LENGTH_DIGITS("HTTP/1.1 200 OK\r\nContent-Length: 1", "1", false),

		CHUNK_SIZE("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0", false),

		CHUNK_EXTENSION("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=", "y", false),

		TRAILERS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "X-Trailer: y\r\n", false),

		SMALL_CHUNKS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", true),

		CHUNKED_BODY("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "100\r\n" + "x".repeat(256) + "\r\n",
				true),

		ONE_CHUNK("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffffffff\r\n", "x", true),

		BODY("HTTP/1.1 200 OK\r\n\r\n", "x", true),

		BODY_OF_VERSION_1_0("HTTP/1.0 200 OK\r\n\r\n", "x", true),

		LONG_BODY("HTTP/1.1 200 OK\r\nContent-Length: 900000000000000\r\n\r\n", "x", true),

		TOO_LONG_BODY("HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n", "x", false);

		private final String start;

		private final String next;

		private final boolean body;

		Endless(String start, String next, boolean body) {
			this.start = start;
			this.next = next;
			this.body = body;
		}

	}

	/**
	 * Completes with the head.
	 */
	private static final class HeadOnly implements HttpResponseListener {

		private final CompletableFuture<Integer> head = new CompletableFuture<>();

		@Override
		public void onHead(int status, Map<String, String> headers) {
			this.head.complete(status);
		}

		@Override
		public void onData(byte[] data) {
		}

		@Override
		public void onEnd() {
		}

		@Override
		public void onFailure(boolean sent, Throwable cause) {
		}

	}

}
