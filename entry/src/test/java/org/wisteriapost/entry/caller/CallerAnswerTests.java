package org.wisteriapost.entry.caller;

import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wisteriapost.protocol.http.HttpCall;
import org.wisteriapost.protocol.http.HttpCaller;
import org.wisteriapost.protocol.http.HttpReply;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class CallerAnswerTests {

	private static final Duration LIMIT = Duration.ofSeconds(30);

	private static final int ROUNDS = 1500;

	private static final int AT_ONCE = 8;

	private static final int PIECES = 6;

	// Up to some tens of microseconds: about what writing one piece takes.
	private static final long MAX_SPINS = 997;

	private final AtomicLong seed = new AtomicLong();

	private final HttpCaller caller = HttpCaller.create(1);

	private final ExecutorService loops = Executors.newFixedThreadPool(4);

	private Undertow server;

	@BeforeEach
	void start() {
		this.server = Undertow.builder()
			.addHttpListener(0, "127.0.0.1")
			.setIoThreads(2)
			.setHandler((exchange) -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> answer(exchange)))
			.build();
		this.server.start();
	}

	@AfterEach
	void stop() {
		this.caller.close();
		this.server.stop();
		this.loops.shutdownNow();
	}

	// Events come from runners on the very thread that writes to the caller. Queued
	// behind each other each would cost another turn of the selector.
	@Test
	void onItsOwnThreadAnAnswerIsWrittenAtOnce() throws Exception {
		CompletableFuture<Boolean> written = new CompletableFuture<>();
		Undertow other = Undertow.builder()
			.addHttpListener(0, "127.0.0.1")
			.setIoThreads(1)
			.setHandler((exchange) -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
				CallerAnswer answer = new CallerAnswer(exchange, "request", 1 << 20);
				answer.start(200, List.of(), "");
				answer.data("piece".getBytes(StandardCharsets.UTF_8));
				written.complete(exchange.isResponseStarted());
				answer.end();
			}))
			.build();
		other.start();
		try {
			int port = ((InetSocketAddress) other.getListenerInfo().getFirst().getAddress()).getPort();
			HttpReply reply = this.caller.call(HttpCall.of("GET", URI.create("http://127.0.0.1:" + port + "/"), LIMIT))
				.join();
			assertThat(written.join(), is(true));
			assertThat(new String(reply.body(), StandardCharsets.UTF_8), is("piece"));
		}
		finally {
			other.stop();
		}
	}

	// The last piece of a stream and its end come from the event loop while the I/O
	// thread has just found nothing more to write. An answer that is ended right there
	// lacks its tail, yet its framing is whole, so the caller believes it. Many short
	// streams are sent so that the two threads meet at that step.
	@Test
	void streamKeepsItsTailWhenItsEndComesAtOnce() throws Exception {
		int port = ((InetSocketAddress) this.server.getListenerInfo().getFirst().getAddress()).getPort();
		URI target = URI.create("http://127.0.0.1:" + port + "/");
		int shortened = 0;
		for (int i = 0; i < ROUNDS; i++) {
			List<CompletableFuture<HttpReply>> replies = new ArrayList<>();
			for (int j = 0; j < AT_ONCE; j++) {
				replies.add(this.caller.call(HttpCall.of("GET", target, LIMIT)));
			}
			for (CompletableFuture<HttpReply> reply : replies) {
				byte[] body = reply.get(LIMIT.toSeconds(), TimeUnit.SECONDS).body();
				shortened += new String(body, StandardCharsets.UTF_8).equals("012345") ? 0 : 1;
			}
		}
		assertThat("answers without their tail", shortened, is(0));
	}

	private static void spin(long times) {
		for (long i = 0; i < times; i++) {
			Thread.onSpinWait();
		}
	}

	private void answer(HttpServerExchange exchange) {
		CallerAnswer answer = new CallerAnswer(exchange, "r", 1 << 20);
		this.loops.execute(() -> {
			answer.start(200, List.of(), "");
			for (int i = 0; i < PIECES; i++) {
				spin(this.seed.incrementAndGet() % MAX_SPINS);
				answer.data(String.valueOf(i).getBytes(StandardCharsets.UTF_8));
			}
			answer.end();
		});
	}

}
