package org.wisteriapost.protocol.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.URI;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

class PooledHttpClientTests {

	private static final Duration SHORT = Duration.ofMillis(300);

	private static final Duration LONG = Duration.ofSeconds(20);

	private final PooledHttpClient caller = PooledHttpClient.create(1);

	private final List<SocketChannel> queued = new ArrayList<>();

	private Undertow server;

	@BeforeEach
	void start() {
		this.server = Undertow.builder()
			.addHttpListener(0, "127.0.0.1")
			.setIoThreads(1)
			.setHandler(PooledHttpClientTests::answer)
			.build();
		this.server.start();
	}

	@AfterEach
	void stop() {
		this.caller.close();
		this.server.stop();
		this.queued.forEach(IoUtils::safeClose);
	}

	@Test
	void connectionIsReusedAfterCompleteResponse() {
		for (int i = 0; i < 20; i++) {
			byte[] body = "b".repeat(i * 5000).getBytes(StandardCharsets.UTF_8);
			HttpResponse reply = this.caller.call(HttpCall.of("PUT", at("/echo"), LONG).body(body)).join();
			assertThat(reply.status(), is(200));
			assertThat(reply.body(), is(body));
		}
	}

	@Test
	void refusedConnectionIsReportedAsNotSent() {
		URI closed = URI.create("http://127.0.0.1:1/");
		assertThat(failure(HttpCall.of("GET", closed, LONG)).sent(), is(false));
	}

	@Test
	void truncatedResponseFailsAndMayHaveRun() {
		assertThat(failure(HttpCall.of("GET", at("/cut"), LONG)).sent(), is(true));
	}

	// A response that arrives after its call has timed out must not be read by the next
	// call.
	@Test
	void lateResponseIsNotReadByNextCall() {
		failure(HttpCall.of("GET", at("/slow"), SHORT));
		HttpResponse reply = this.caller.call(HttpCall.of("GET", at("/name"), LONG)).join();
		assertThat(new String(reply.body(), StandardCharsets.UTF_8), equalTo("name"));
	}

	// An unused idle connection to a server with a low connection limit blocks other
	// clients. The next call to any server closes it.
	@Test
	void expiredIdleConnectionIsClosedByNextCall() throws Exception {
		try (ServerSocket limited = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			URI target = URI.create("http://127.0.0.1:" + limited.getLocalPort() + "/");
			CompletableFuture<HttpResponse> reply = this.caller
				.call(HttpCall.of("GET", target, LONG).maxKeepIdle(Duration.ofMillis(50)));
			try (Socket open = limited.accept()) {
				open.setSoTimeout((int) LONG.toMillis());
				open.getOutputStream().write("HTTP/1.1 204 No Content\r\n\r\n".getBytes(StandardCharsets.UTF_8));
				reply.join();
				TimeUnit.MILLISECONDS.sleep(300);
				this.caller.call(HttpCall.of("GET", at("/name"), LONG)).join();
				assertThat(open.getInputStream().readAllBytes().length, not(0));
			}
		}
	}

	// A request is queued for a saturated link when its call times out. After an
	// orderly close it would still be sent, and a runner would run the abandoned
	// request, possibly on weights that are no longer allowed. A reset discards the
	// queued data.
	@Test
	void timedOutRequestIsReset() throws Exception {
		try (ServerSocket unresponsive = new ServerSocket()) {
			unresponsive.setReceiveBufferSize(8 << 10);
			unresponsive.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
			URI target = URI.create("http://127.0.0.1:" + unresponsive.getLocalPort() + "/");
			CompletableFuture<HttpResponse> reply = this.caller
				.call(HttpCall.of("PUT", target, SHORT).body(new byte[8 << 20]));
			try (Socket open = unresponsive.accept()) {
				open.setSoTimeout((int) LONG.toMillis());
				assertThrows(CompletionException.class, reply::join);
				assertThrows(SocketException.class, () -> readLater(open));
			}
		}
	}

	// A large response over a slow link must not be aborted while it is still arriving.
	@Test
	void slowResponseThatMakesProgressCompletes() throws Exception {
		try (ServerSocket slow = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			HttpTimeouts times = HttpTimeouts.total(LONG).withProgress(Duration.ofSeconds(2), Duration.ofSeconds(2));
			CompletableFuture<HttpResponse> reply = this.caller.call(HttpCall.of("GET", address(slow), times));
			try (Socket open = slow.accept()) {
				write(open, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
				for (int i = 0; i < 10; i++) {
					TimeUnit.MILLISECONDS.sleep(300);
					write(open, "b");
				}
				assertThat(reply.join().body().length, equalTo(10));
			}
		}
	}

	// The server or its link fails before or during a response. This must be detected
	// long before the timeout for a large response.
	@ParameterizedTest
	@CsvSource({ "'', no response in PT0.3S",
			"'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nb', no further data in PT0.2S" })
	void stalledResponseTimesOut(String response, String message) throws Exception {
		try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			HttpTimeouts times = HttpTimeouts.total(LONG).withProgress(SHORT, Duration.ofMillis(200));
			CompletableFuture<HttpResponse> reply = this.caller.call(HttpCall.of("GET", address(silent), times));
			try (Socket open = silent.accept()) {
				write(open, response);
				CompletionException ex = assertThrows(CompletionException.class, reply::join);
				assertThat(ex.getMessage(), endsWith(message));
			}
		}
	}

	// A TCP handshake over a saturated link takes longer than the default timeout,
	// which is meant for runners. A call to a server without alternatives can wait
	// longer. Here the full accept queue of the server delays the handshake.
	@Test
	void connectTimeoutIsConfigurablePerCall() throws Exception {
		try (ServerSocket busy = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			for (int i = 0; i < 4; i++) {
				SocketChannel pending = SocketChannel.open();
				pending.configureBlocking(false);
				pending.connect(busy.getLocalSocketAddress());
				this.queued.add(pending);
			}
			HttpTimeouts times = HttpTimeouts.total(LONG).connect(LONG);
			CompletableFuture<HttpResponse> reply = this.caller.call(HttpCall.of("GET", address(busy), times));
			TimeUnit.MILLISECONDS.sleep(600);
			Thread.ofVirtual().start(() -> answerAll(busy));
			assertThat(reply.join().status(), is(204));
		}
	}

	// The I/O thread runs expired timers before it reads from sockets. A delay of this
	// process must not be taken for a slow server: the connection is established, or the
	// response received by the kernel, within the timeout.
	@ParameterizedTest
	@EnumSource(OwnDelay.class)
	void delayOfOwnIoThreadIsNoTimeout(OwnDelay delay) {
		assertThat(this.caller.call(HttpCall.of("GET", at("/name"), LONG)).join().status(), is(200));
		CompletableFuture<HttpResponse> reply = new CompletableFuture<>();
		XnioIoThread thread = this.caller.worker().getIoThread();
		thread.execute(() -> {
			this.caller.call(delay.call(at("/name"))).whenComplete((response, failure) -> {
				if (failure == null) {
					reply.complete(response);
				}
				else {
					reply.completeExceptionally(failure);
				}
			});
			thread.execute(PooledHttpClientTests::delayThread);
		});
		assertThat(reply.join().status(), is(200));
	}

	// A call from another thread waits for the I/O thread before it can connect.
	@Test
	void busyIoThreadDelaysConnectTimeout() {
		this.caller.worker().getIoThread().execute(PooledHttpClientTests::delayThread);
		assertThat(this.caller.call(HttpCall.of("GET", at("/name"), LONG)).join().status(), is(200));
	}

	@Test
	void delayOfOwnIoThreadDoesNotFailConnectionCheck() {
		CompletableFuture<Boolean> accepted = new CompletableFuture<>();
		XnioIoThread thread = this.caller.worker().getIoThread();
		thread.execute(() -> {
			this.caller.checkConnection(at(""), SHORT, accepted::complete);
			thread.execute(PooledHttpClientTests::delayThread);
		});
		assertThat(accepted.join(), is(true));
	}

	private static void delayThread() {
		try {
			TimeUnit.MILLISECONDS.sleep(600);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static void answerAll(ServerSocket server) {
		try {
			while (!server.isClosed()) {
				write(server.accept(), "HTTP/1.1 204 No Content\r\n\r\n");
			}
		}
		catch (IOException ex) {
			// The test is over.
		}
	}

	private static URI address(ServerSocket server) {
		return URI.create("http://127.0.0.1:" + server.getLocalPort() + "/");
	}

	private static void write(Socket open, String text) throws IOException {
		open.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
	}

	private static void readLater(Socket open) throws Exception {
		TimeUnit.MILLISECONDS.sleep(200);
		open.getInputStream().readAllBytes();
	}

	// A server may have dropped an idle connection silently; a request sent over it
	// is reset and it is unknown whether it ran. A call that must not run twice
	// therefore uses a recently used connection or a new one.
	@Test
	void callCanLimitIdleTimeOfReusedConnection() throws Exception {
		String first = port(Optional.empty());
		assertThat(port(Optional.of(LONG)), equalTo(first));
		TimeUnit.MILLISECONDS.sleep(30);
		String second = port(Optional.of(Duration.ofMillis(10)));
		assertThat(second, is(not(first)));
		assertThat(port(Optional.empty()), equalTo(second));
	}

	// Guards against a surplus response to one call of a series that is taken for the
	// response to the next one, and against connections that are left behind.
	@Test
	void callsOfASeriesNeverShareAConnection() {
		CallSeries series = CallSeries.create();
		String first = port(HttpCall.of("GET", at("/port"), LONG).in(series));
		String second = port(HttpCall.of("GET", at("/port"), LONG).in(series));
		assertThat(second, is(not(first)));
		assertThat("the new connection replaces the idle one",
				port(HttpCall.of("GET", at("/port"), LONG).in(CallSeries.create())), is(second));
	}

	// Calls that require a new connection each time must not accumulate idle connections,
	// since the server limits their number.
	@Test
	void newConnectionReplacesIdleOne() throws Exception {
		try (ServerSocket server = new ServerSocket(0, 2, InetAddress.getLoopbackAddress())) {
			CompletableFuture<HttpResponse> first = this.caller.call(HttpCall.of("GET", address(server), LONG));
			try (Socket idle = server.accept()) {
				write(idle, "HTTP/1.1 204 No Content\r\n\r\n");
				first.join();
				HttpCall fresh = HttpCall.of("GET", address(server), LONG).maxReuseIdle(Duration.ZERO);
				CompletableFuture<HttpResponse> reply = this.caller.call(fresh);
				try (Socket created = server.accept()) {
					write(created, "HTTP/1.1 204 No Content\r\n\r\n");
					assertThat(reply.join().status(), is(204));
				}
				idle.setSoTimeout((int) LONG.toMillis());
				idle.getInputStream().readAllBytes();
			}
		}
	}

	@Test
	void onConnectedIsCalledOnlyForNewConnections() {
		AtomicInteger connections = new AtomicInteger();
		for (int i = 0; i < 3; i++) {
			CompletableFuture<Void> end = new CompletableFuture<>();
			this.caller.stream(HttpCall.of("GET", at("/name"), LONG), new HttpResponseListener() {

				@Override
				public void onConnected() {
					connections.incrementAndGet();
				}

				@Override
				public void onHead(int status, Map<String, String> headers) {
					// Not used by this test.
				}

				@Override
				public void onData(byte[] data) {
					// Not used by this test.
				}

				@Override
				public void onEnd() {
					end.complete(null);
				}

				@Override
				public void onFailure(boolean sent, Throwable cause) {
					end.completeExceptionally(cause);
				}

			});
			end.join();
		}
		assertThat(connections.get(), is(1));
	}

	// Returns the client port that the server sees.
	private String port(Optional<Duration> maxIdle) {
		HttpCall call = HttpCall.of("GET", at("/port"), LONG);
		return port(maxIdle.map(call::maxReuseIdle).orElse(call));
	}

	private String port(HttpCall call) {
		return new String(this.caller.call(call).join().body(), StandardCharsets.UTF_8);
	}

	private HttpCallException failure(HttpCall call) {
		CompletionException ex = assertThrows(CompletionException.class, () -> this.caller.call(call).join());
		return (HttpCallException) ex.getCause().getCause();
	}

	private URI at(String path) {
		AtomicReference<Integer> port = new AtomicReference<>();
		this.server.getListenerInfo().forEach((info) -> port.set(((InetSocketAddress) info.getAddress()).getPort()));
		return URI.create("http://127.0.0.1:" + port.get() + path);
	}

	private static void answer(HttpServerExchange exchange) {
		switch (exchange.getRequestPath()) {
			case "/echo" -> exchange.getRequestReceiver()
				.receiveFullBytes((same, bytes) -> same.getResponseSender().send(java.nio.ByteBuffer.wrap(bytes)));
			case "/cut" -> {
				exchange.setResponseContentLength(100);
				exchange.getResponseSender().send("short", new io.undertow.io.IoCallback() {
					@Override
					public void onComplete(HttpServerExchange same, io.undertow.io.Sender sender) {
						IoUtils.safeClose(same.getConnection());
					}

					@Override
					public void onException(HttpServerExchange same, io.undertow.io.Sender sender,
							java.io.IOException ex) {
						IoUtils.safeClose(same.getConnection());
					}
				});
			}
			case "/slow" -> {
				exchange.dispatch();
				exchange.getIoThread()
					.executeAfter(() -> exchange.getResponseSender().send("late"), 600,
							java.util.concurrent.TimeUnit.MILLISECONDS);
			}
			case "/port" -> exchange.getResponseSender().send(Integer.toString(exchange.getSourceAddress().getPort()));
			default -> exchange.getResponseSender().send(exchange.getRequestPath().substring(1));
		}
	}

	private enum OwnDelay {

		WHILE_CONNECTING(HttpTimeouts.total(LONG), Optional.of(Duration.ZERO)),

		BEFORE_RESPONSE(HttpTimeouts.total(LONG).withProgress(SHORT, SHORT), Optional.empty()),

		BEFORE_END(HttpTimeouts.total(SHORT), Optional.empty());

		private final HttpTimeouts timeouts;

		private final Optional<Duration> maxReuseIdle;

		OwnDelay(HttpTimeouts timeouts, Optional<Duration> maxReuseIdle) {
			this.timeouts = timeouts;
			this.maxReuseIdle = maxReuseIdle;
		}

		HttpCall call(URI target) {
			return new HttpCall("GET", target, Map.of(), new byte[0], this.timeouts, this.maxReuseIdle,
					Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());
		}

	}

}
