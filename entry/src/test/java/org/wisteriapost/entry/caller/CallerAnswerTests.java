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
import org.wisteriapost.protocol.http.HttpResponse;
import org.wisteriapost.protocol.http.PooledHttpClient;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class CallerAnswerTests {

	private static final Duration LIMIT = Duration.ofSeconds(30);

	private static final int ROUNDS = 1500;

	private static final int CONCURRENT_CALLS = 8;

	private static final int CHUNKS = 6;

	// Some tens of microseconds, about the time that writing a chunk takes.
	private static final long MAX_SPINS = 997;

	private final AtomicLong seed = new AtomicLong();

	private final PooledHttpClient caller = PooledHttpClient.create(1);

	private final ExecutorService executor = Executors.newFixedThreadPool(4);

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
		this.executor.shutdownNow();
	}

	// Runners' events arrive on the I/O thread of the caller's connection. Queueing each
	// write would cost an additional wake-up of the selector.
	@Test
	void dataIsWrittenImmediatelyOnTheIoThread() throws Exception {
		CompletableFuture<Boolean> written = new CompletableFuture<>();
		Undertow other = Undertow.builder()
			.addHttpListener(0, "127.0.0.1")
			.setIoThreads(1)
			.setHandler((exchange) -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
				CallerAnswer answer = new CallerAnswer(exchange, "request", 1 << 20);
				answer.start(200, List.of(), "");
				answer.write("chunk".getBytes(StandardCharsets.UTF_8));
				written.complete(exchange.isResponseStarted());
				answer.end();
			}))
			.build();
		other.start();
		try {
			int port = ((InetSocketAddress) other.getListenerInfo().getFirst().getAddress()).getPort();
			HttpResponse reply = this.caller
				.call(HttpCall.of("GET", URI.create("http://127.0.0.1:" + port + "/"), LIMIT))
				.join();
			assertThat(written.join(), is(true));
			assertThat(new String(reply.body(), StandardCharsets.UTF_8), is("chunk"));
		}
		finally {
			other.stop();
		}
	}

	// Race: the last data and the end of a stream arrive just after the I/O thread has
	// found the queue empty. If the answer is ended then, its last data is missing but
	// its framing is valid. Many short streams are sent to provoke the race.
	@Test
	void streamIsCompleteWhenItsEndFollowsItsLastData() throws Exception {
		int port = ((InetSocketAddress) this.server.getListenerInfo().getFirst().getAddress()).getPort();
		URI target = URI.create("http://127.0.0.1:" + port + "/");
		int truncated = 0;
		for (int i = 0; i < ROUNDS; i++) {
			List<CompletableFuture<HttpResponse>> replies = new ArrayList<>();
			for (int j = 0; j < CONCURRENT_CALLS; j++) {
				replies.add(this.caller.call(HttpCall.of("GET", target, LIMIT)));
			}
			for (CompletableFuture<HttpResponse> reply : replies) {
				byte[] body = reply.get(LIMIT.toSeconds(), TimeUnit.SECONDS).body();
				truncated += new String(body, StandardCharsets.UTF_8).equals("012345") ? 0 : 1;
			}
		}
		assertThat("truncated answers", truncated, is(0));
	}

	private static void spin(long iterations) {
		for (long i = 0; i < iterations; i++) {
			Thread.onSpinWait();
		}
	}

	private void answer(HttpServerExchange exchange) {
		CallerAnswer answer = new CallerAnswer(exchange, "r", 1 << 20);
		this.executor.execute(() -> {
			answer.start(200, List.of(), "");
			for (int i = 0; i < CHUNKS; i++) {
				spin(this.seed.incrementAndGet() % MAX_SPINS);
				answer.write(String.valueOf(i).getBytes(StandardCharsets.UTF_8));
			}
			answer.end();
		});
	}

}
