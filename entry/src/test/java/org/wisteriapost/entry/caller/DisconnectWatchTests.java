package org.wisteriapost.entry.caller;

import java.io.IOException;
import java.lang.ref.WeakReference;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.nullValue;

/**
 * Callers that keep their connection, and callers that close it before their answer.
 */
class DisconnectWatchTests {

	private static final int REQUESTS = 20;

	private static final int MAX_COLLECTIONS = 50;

	private static final long TIMEOUT_SECONDS = 30;

	private static final String ANSWER = "HTTP/1.1 200 OK";

	private final List<WeakReference<Runnable>> watched = new ArrayList<>();

	private final LinkedBlockingQueue<Integer> disconnected = new LinkedBlockingQueue<>();

	private final CountDownLatch received = new CountDownLatch(1);

	private Undertow server;

	private volatile boolean answering = true;

	@BeforeEach
	void start() {
		this.server = Undertow.builder()
			.addHttpListener(0, "127.0.0.1")
			.setIoThreads(1)
			.setHandler(this::handle)
			.build();
		this.server.start();
	}

	@AfterEach
	void stop() {
		this.server.stop();
	}

	private void handle(HttpServerExchange exchange) {
		int number = this.watched.size();
		Runnable onDisconnect = () -> this.disconnected.add(number);
		this.watched.add(new WeakReference<>(onDisconnect));
		DisconnectWatch.start(exchange, onDisconnect);
		if (this.answering) {
			exchange.getResponseSender().send("x");
			return;
		}
		exchange.dispatch(this.received::countDown);
	}

	private Socket connect() throws IOException {
		InetSocketAddress address = (InetSocketAddress) this.server.getListenerInfo().getFirst().getAddress();
		Socket socket = new Socket(address.getAddress(), address.getPort());
		socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
		return socket;
	}

	private static void send(Socket socket) throws IOException {
		socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.UTF_8));
	}

	private static void call(Socket socket) throws IOException {
		send(socket);
		byte[] answer = new byte[512];
		int count = 0;
		while (!new String(answer, 0, count, StandardCharsets.UTF_8).endsWith("\r\n\r\nx")) {
			count += socket.getInputStream().read(answer, count, answer.length - count);
		}
		assertThat(new String(answer, 0, ANSWER.length(), StandardCharsets.UTF_8), equalTo(ANSWER));
	}

	// Guards against requests that stay in memory while their caller keeps its
	// connection,
	// until the entry has none left and answers nothing any more.
	@Test
	void answeredRequestsOfAKeptConnectionAreReleased() throws Exception {
		try (Socket kept = connect()) {
			for (int i = 0; i < REQUESTS; i++) {
				call(kept);
			}
			// The last request may still be referred to by the connection.
			for (WeakReference<Runnable> request : this.watched.subList(0, REQUESTS - 2)) {
				for (int i = 0; i < MAX_COLLECTIONS && request.get() != null; i++) {
					System.gc();
				}
				assertThat(request.get(), nullValue());
			}
		}
	}

	// Guards against a disconnect that is told to a request of the same connection that
	// has
	// been answered, or is not told to the one in progress.
	@Test
	void disconnectIsToldToTheRequestInProgressAlone() throws Exception {
		try (Socket kept = connect()) {
			call(kept);
			call(kept);
			this.answering = false;
			send(kept);
			assertThat(this.received.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), equalTo(true));
		}
		assertThat(this.disconnected.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), equalTo(2));
		assertThat(this.disconnected.poll(), nullValue());
	}

}
