package org.wisteriapost.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.protocol.CallerHeaders;

/**
 * A plain service: lookups that may be repeated, and allocations that may not and are
 * recorded each time.
 */
public final class PlainServer implements AutoCloseable {

	private static final String LOOKUP = "/lookup/";

	private final String host;

	private final Duration delay;

	private final List<Execution> executions = new ArrayList<>();

	private final Map<String, Long> executed = new TreeMap<>();

	private final StandinServer server;

	private PlainServer(String host, int port, Duration delay) {
		this.host = host;
		this.delay = delay;
		this.server = StandinServer.start(host, port, this::handle);
	}

	/**
	 * Returns a service that takes some time for each answer.
	 */
	public static PlainServer start(String host, int port, Duration delay) {
		return new PlainServer(host, port, delay);
	}

	/**
	 * Returns what a lookup answers.
	 */
	public static String lookup(String key) {
		return Digests.sha256("lookup\n" + key);
	}

	public int port() {
		return this.server.port();
	}

	/**
	 * Arms a fault, or clears all with {@link Fault.Kind#NONE}.
	 */
	public void fault(Fault fault) {
		this.server.fault(fault);
	}

	/**
	 * Returns every allocation made, in order.
	 */
	public synchronized List<Execution> executions() {
		return List.copyOf(this.executions);
	}

	/**
	 * Returns how often calls of each request id ran.
	 */
	public synchronized Map<String, Long> executed() {
		return new TreeMap<>(this.executed);
	}

	@Override
	public void close() {
		this.server.close();
	}

	private void handle(Request request, Responder responder) {
		if (request.is("GET", "/counts")) {
			responder.json(200, Map.of("executed", executed()));
		}
		else if (request.is("GET", "/executions")) {
			responder.json(200, executions());
		}
		else if (request.path().startsWith(LOOKUP)) {
			run(request);
			String key = request.after(LOOKUP);
			later(responder, new Found(key, lookup(key)));
		}
		else if (request.method().equals("POST") && request.path().equals("/allocate")) {
			later(responder, allocate(request));
		}
		else {
			responder.status(404);
		}
	}

	private void later(Responder responder, Object answer) {
		StandinThreads.after(this.delay.toNanos(), () -> responder.json(200, answer));
	}

	private synchronized void run(Request request) {
		this.executed.merge(request.header(CallerHeaders.REQUEST_ID).orElse(""), 1L, Long::sum);
	}

	private synchronized Execution allocate(Request request) {
		run(request);
		Execution execution = new Execution(this.host + ":" + this.server.port() + "-" + this.executions.size(),
				request.header(CallerHeaders.IDEMPOTENCY_KEY).orElse(""),
				request.header(CallerHeaders.REQUEST_ID).orElse(""));
		this.executions.add(execution);
		return execution;
	}

	/**
	 * One allocation.
	 *
	 * @param number what was allocated
	 * @param key the caller's idempotency key
	 * @param requestId the request that made it
	 */
	public record Execution(String number, String key, String requestId) {
	}

	/**
	 * What a lookup answers.
	 *
	 * @param key what was looked up
	 * @param answer what was found
	 */
	public record Found(String key, String answer) {
	}

}
