package org.wisteriapost.agent;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.wisteriapost.protocol.CallerHeaders;
import org.wisteriapost.protocol.outside.Engine;
import org.xnio.IoUtils;

/**
 * In-process model engine that takes orders directly and calls over HTTP. It answers a
 * call of {@code /events} with the request's body as a stream of events.
 */
final class FakeEngine implements Engine {

	private final Undertow server = Undertow.builder()
		.addHttpListener(0, "127.0.0.1")
		.setIoThreads(1)
		.setWorkerThreads(8)
		.setHandler((exchange) -> exchange.dispatch(this::handle))
		.build();

	private final AtomicInteger calls = new AtomicInteger();

	private final CountDownLatch slowCallsReleased = new CountDownLatch(1);

	private volatile State state = new State("", false, 0, 0, 4, 0, 0, List.of());

	private volatile String reportedWeights = "";

	private volatile boolean connectionsClosed;

	private volatile boolean framed = true;

	private volatile int eventsBeforePause;

	private volatile long pauseMillis;

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

	State currentState() {
		return this.state;
	}

	void setReportedWeights(String weightsDigest) {
		this.reportedWeights = weightsDigest;
	}

	/**
	 * Pauses each answer of {@code /events} from now on, after none or one event.
	 */
	void pauseAnswers(int eventsBefore, long millis) {
		this.eventsBeforePause = eventsBefore;
		this.pauseMillis = millis;
	}

	/**
	 * Answers with neither a length nor chunks from now on.
	 */
	void omitFraming() {
		this.framed = false;
	}

	void completeSlowCalls() {
		this.slowCallsReleased.countDown();
	}

	/**
	 * Closes the connections of running calls before their responses are complete.
	 */
	void closeConnections() {
		this.connectionsClosed = true;
		this.slowCallsReleased.countDown();
	}

	@Override
	public CompletableFuture<Void> load(Order order) {
		this.state = new State(order.weightsDigest(), false, 0, 0, 4, order.generation(), order.epoch(), List.of());
		this.reportedWeights = order.weightsDigest();
		return CompletableFuture.completedFuture(null);
	}

	@Override
	public CompletableFuture<State> state() {
		return CompletableFuture.completedFuture(this.state);
	}

	@Override
	public void close() {
		// The engine outlives the agent.
	}

	void stop() {
		this.slowCallsReleased.countDown();
		this.server.stop();
	}

	private void handle(HttpServerExchange exchange) throws Exception {
		this.calls.incrementAndGet();
		exchange.startBlocking();
		byte[] body = exchange.getInputStream().readAllBytes();
		exchange.getResponseHeaders().put(new HttpString(CallerHeaders.WEIGHTS), this.reportedWeights);
		exchange.setPersistent(this.framed);
		if (exchange.getRequestPath().equals("/events")) {
			exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
			int pauseAt = new String(body).indexOf("\n\n") + 2;
			pauseAt = (this.eventsBeforePause > 0) ? pauseAt : 0;
			exchange.getOutputStream().write(body, 0, pauseAt);
			exchange.getOutputStream().flush();
			TimeUnit.MILLISECONDS.sleep(this.pauseMillis);
			exchange.getOutputStream().write(body, pauseAt, body.length - pauseAt);
			return;
		}
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
		exchange.getOutputStream().write("echo ".getBytes());
		exchange.getOutputStream().flush();
		if (exchange.getRequestPath().equals("/slow")) {
			this.slowCallsReleased.await();
		}
		if (this.connectionsClosed) {
			IoUtils.safeClose(exchange.getConnection());
			return;
		}
		exchange.getOutputStream().write(body);
	}

}
