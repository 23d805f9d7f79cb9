package org.wisteriapost.agent;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.wisteriapost.protocol.CallerHeaders;
import org.wisteriapost.protocol.outside.Engine;
import org.xnio.IoUtils;

/**
 * A model engine in this process: orders in memory, calls over HTTP.
 */
final class FakeEngine implements Engine {

	private final Undertow server = Undertow.builder()
		.addHttpListener(0, "127.0.0.1")
		.setIoThreads(1)
		.setWorkerThreads(8)
		.setHandler((exchange) -> exchange.dispatch(this::answer))
		.build();

	private final AtomicInteger calls = new AtomicInteger();

	private final CountDownLatch slow = new CountDownLatch(1);

	private volatile State state = new State("", false, 0, 0, 4, 0, 0, List.of());

	private volatile String label = "";

	private volatile boolean cut;

	FakeEngine() {
		this.server.start();
	}

	URI address() {
		InetSocketAddress bound = (InetSocketAddress) this.server.getListenerInfo().getFirst().getAddress();
		return URI.create("http://127.0.0.1:" + bound.getPort());
	}

	int calls() {
		return this.calls.get();
	}

	State now() {
		return this.state;
	}

	void labelAnswers(String weightsDigest) {
		this.label = weightsDigest;
	}

	void letSlowCallsEnd() {
		this.slow.countDown();
	}

	/**
	 * Closes the connections of running calls in the middle of their answers.
	 */
	void cutAnswers() {
		this.cut = true;
		this.slow.countDown();
	}

	@Override
	public CompletableFuture<Void> load(Order order) {
		this.state = new State(order.weightsDigest(), false, 0, 0, 4, order.generation(), order.epoch(), List.of());
		this.label = order.weightsDigest();
		return CompletableFuture.completedFuture(null);
	}

	@Override
	public CompletableFuture<State> state() {
		return CompletableFuture.completedFuture(this.state);
	}

	@Override
	public void close() {
		// Outlives the agent, as an engine does.
	}

	void stop() {
		this.slow.countDown();
		this.server.stop();
	}

	private void answer(HttpServerExchange exchange) throws Exception {
		this.calls.incrementAndGet();
		exchange.startBlocking();
		byte[] body = exchange.getInputStream().readAllBytes();
		exchange.getResponseHeaders().put(new HttpString(CallerHeaders.WEIGHTS), this.label);
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
		exchange.getOutputStream().write("echo ".getBytes());
		exchange.getOutputStream().flush();
		if (exchange.getRequestPath().equals("/slow")) {
			this.slow.await();
		}
		if (this.cut) {
			IoUtils.safeClose(exchange.getConnection());
			return;
		}
		exchange.getOutputStream().write(body);
	}

}
