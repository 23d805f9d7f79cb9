package org.wisteriapost.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.protocol.CallerHeaders;

/**
 * A plain service with idempotent lookups and non-idempotent allocations; it records
 * every allocation.
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
	 * Starts a service with the given response delay.
	 */
	public static PlainServer start(String host, int port, Duration delay) {
		return new PlainServer(host, port, delay);
	}

	/**
	 * Returns the expected result of a lookup.
	 */
	public static String lookup(String key) {
		return Digests.sha256("lookup\n" + key);
	}

	public int port() {
		return this.server.port();
	}

	/**
	 * Injects a fault, or clears all with {@link Fault.Kind#NONE}.
	 */
	public void fault(Fault fault) {
		this.server.fault(fault);
	}

	/**
	 * Returns all allocations in order of execution.
	 */
	public synchronized List<Execution> executions() {
		return List.copyOf(this.executions);
	}

	/**
	 * Returns how often calls of each request id were executed.
	 */
	public synchronized Map<String, Long> executed() {
		return new TreeMap<>(this.executed);
	}

	@Override
	public void close() {
		this.server.close();
	}

	private void handle(Request request, Responder responder) {
		if (request.matches("GET", "/counts")) {
			responder.json(200, Map.of("executed", executed()));
		}
		else if (request.matches("GET", "/executions")) {
			responder.json(200, executions());
		}
		else if (request.path().startsWith(LOOKUP)) {
			recordExecution(request);
			String key = request.pathAfter(LOOKUP);
			respondAfterDelay(responder, new LookupResult(key, lookup(key)));
		}
		else if (request.method().equals("POST") && request.path().equals("/allocate")) {
			respondAfterDelay(responder, allocate(request));
		}
		else {
			responder.status(404);
		}
	}

	private void respondAfterDelay(Responder responder, Object answer) {
		StandinThreads.schedule(this.delay.toNanos(), () -> responder.json(200, answer));
	}

	private synchronized void recordExecution(Request request) {
		this.executed.merge(request.header(CallerHeaders.REQUEST_ID).orElse(""), 1L, Long::sum);
	}

	private synchronized Execution allocate(Request request) {
		recordExecution(request);
		Execution execution = new Execution(this.host + ":" + this.server.port() + "-" + this.executions.size(),
				request.header(CallerHeaders.IDEMPOTENCY_KEY).orElse(""),
				request.header(CallerHeaders.REQUEST_ID).orElse(""));
		this.executions.add(execution);
		return execution;
	}

	/**
	 * One executed allocation.
	 *
	 * @param number the allocated number
	 * @param key the idempotency key of the client
	 * @param requestId the request that was executed
	 */
	public record Execution(String number, String key, String requestId) {
	}

	/**
	 * The result of a lookup.
	 *
	 * @param key the key that was looked up
	 * @param answer the value found
	 */
	public record LookupResult(String key, String answer) {
	}

}
