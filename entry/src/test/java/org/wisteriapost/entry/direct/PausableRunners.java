package org.wisteriapost.entry.direct;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.HttpString;

/**
 * Runners whose answers a test holds up and continues. The first dispatch of an attempt
 * and the second one, at whichever runner they arrive, are controlled separately.
 */
final class PausableRunners implements AutoCloseable {

	static final int EVENTS = 6;

	private static final long MAX_PAUSE_SECONDS = 20;

	// So that the answers of two runners overlap.
	private static final long EVENT_INTERVAL_MILLIS = 5;

	private final List<Undertow> servers;

	private final Map<String, AtomicInteger> arrivals = new ConcurrentHashMap<>();

	private final Map<Integer, Script> scripts;

	/**
	 * Starts the runners.
	 * @param first what the first dispatch of each attempt meets
	 * @param second what the second one meets
	 */
	PausableRunners(int count, Script first, Script second) {
		this.scripts = Map.of(1, first, 2, second);
		this.servers = IntStream.range(0, count).mapToObj((i) -> start()).toList();
	}

	private Undertow start() {
		Undertow server = Undertow.builder()
			.addHttpListener(0, "127.0.0.1")
			.setIoThreads(1)
			.setWorkerThreads(64)
			.setHandler(new BlockingHandler(this::handle))
			.build();
		server.start();
		return server;
	}

	List<String> addresses() {
		return this.servers.stream()
			.map((server) -> (InetSocketAddress) server.getListenerInfo().getFirst().getAddress())
			.map((address) -> "127.0.0.1:" + address.getPort())
			.toList();
	}

	/**
	 * Returns how many dispatches of an attempt have arrived.
	 */
	int arrivals(String attempt) {
		return this.arrivals.getOrDefault(attempt, new AtomicInteger()).get();
	}

	private void handle(HttpServerExchange exchange) throws IOException, InterruptedException {
		String attempt = exchange.getRequestHeaders().getFirst("attempt");
		int dispatch = this.arrivals.computeIfAbsent(attempt, (id) -> new AtomicInteger()).incrementAndGet();
		Script script = this.scripts.get(dispatch);
		exchange.getResponseHeaders().put(new HttpString("attempt"), attempt);
		if (script.status != 200) {
			exchange.setStatusCode(script.status);
			return;
		}
		int last = Optional.ofNullable(exchange.getRequestHeaders().getFirst(FleetProtocol.LAST_EVENT_HEADER))
			.map(Integer::parseInt)
			.orElse(0);
		exchange.getResponseHeaders().put(new HttpString("content-type"), "text/event-stream");
		OutputStream out = exchange.getOutputStream();
		for (int event = last + 1; event <= EVENTS; event++) {
			if (event >= script.pauseBefore) {
				script.resumed.await(MAX_PAUSE_SECONDS, TimeUnit.SECONDS);
			}
			out.write(("id: " + event + "\ndata: " + dispatch + "\n\n").getBytes(StandardCharsets.US_ASCII));
			out.flush();
			Thread.sleep(EVENT_INTERVAL_MILLIS);
		}
		if (EVENTS < script.pauseBefore) {
			script.resumed.await(MAX_PAUSE_SECONDS, TimeUnit.SECONDS);
		}
	}

	@Override
	public void close() {
		this.scripts.values().forEach(Script::resume);
		this.servers.forEach(Undertow::stop);
	}

	/** What a dispatch meets at its runner. */
	static final class Script {

		private final int status;

		private final int pauseBefore;

		private final CountDownLatch resumed = new CountDownLatch(1);

		private Script(int status, int pauseBefore) {
			this.status = status;
			this.pauseBefore = pauseBefore;
		}

		/**
		 * Returns a runner that sends nothing from an event on, until it is resumed.
		 * @param event the number of the event; the one after the last pauses before the
		 * end of the stream
		 */
		static Script pausingBefore(int event) {
			return new Script(200, event);
		}

		/** Returns a runner that answers at once. */
		static Script answering() {
			Script script = new Script(200, 1);
			script.resume();
			return script;
		}

		/** Returns a runner that answers with a status and no body. */
		static Script answering(int status) {
			return new Script(status, 1);
		}

		void resume() {
			this.resumed.countDown();
		}

	}

}
