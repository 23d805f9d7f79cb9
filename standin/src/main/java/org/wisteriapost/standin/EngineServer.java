package org.wisteriapost.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

import org.wisteriapost.protocol.CallerHeaders;
import org.wisteriapost.protocol.outside.Engine;

/**
 * A model engine together with the weight store of its VM. It accepts an order even while
 * calls are running, which a correct agent would not send: changing the weights during a
 * call changes its remaining tokens.
 */
public final class EngineServer implements AutoCloseable {

	private static final int MAX_CACHED_PREFIXES = 64;

	private static final long OMISSION_SEED = 7;

	private static final double OMITTED_PREFIX_SHARE = 0.2;

	private final EngineOptions options;

	private final Optional<Path> journal;

	private final EngineStore store;

	private final EngineBatch batch;

	private final StandinServer server;

	private final Map<String, Long> executed = new ConcurrentHashMap<>();

	private final Set<Long> cached = new LinkedHashSet<>();

	private final Random omissions = new Random(OMISSION_SEED);

	private Engine.Order acceptedOrder = new Engine.Order("", List.of(), 0, 0);

	private String serving = "";

	private boolean loading;

	private long sampledAt = System.nanoTime();

	private int sampledRunning;

	private int sampledQueued;

	private List<Long> sampledPrefixes = List.of();

	private EngineServer(String host, int port, EngineOptions options, Optional<Path> journal) {
		this.options = options;
		this.journal = journal;
		this.store = new EngineStore(options.retainChunkBytes());
		this.batch = new EngineBatch(options, this::serving);
		this.server = StandinServer.start(host, port, this::handle);
	}

	/**
	 * Starts an engine without weights.
	 */
	public static EngineServer start(String host, int port, EngineOptions options) {
		return new EngineServer(host, port, options, Optional.empty());
	}

	/**
	 * Starts an engine that also appends the request id of each call to a file before the
	 * call runs, so that a test can tell which calls ran after the engine was killed.
	 */
	public static EngineServer start(String host, int port, EngineOptions options, Path journal) {
		return new EngineServer(host, port, options, Optional.of(journal));
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
	 * Returns how often calls of each request id were started.
	 */
	public Map<String, Long> executed() {
		return new TreeMap<>(this.executed);
	}

	/**
	 * Returns the digest of the loaded weights, or an empty string.
	 */
	public synchronized String serving() {
		return this.serving;
	}

	@Override
	public void close() {
		this.server.close();
	}

	private void handle(Request request, Responder responder) {
		if (request.path().startsWith("/store/")) {
			this.store.handle(request, responder);
			return;
		}
		switch (request.method() + " " + request.path()) {
			case "GET /counts" ->
				responder.json(200, Map.of("executed", executed(), "cancelled", this.batch.cancelled()));
			case "GET /state" -> responder.json(200, state());
			case "POST /orders" -> order(Json.read(request.body(), Engine.Order.class), responder);
			case "POST /v1/chat/completions" -> complete(request, responder);
			default -> responder.status(404);
		}
	}

	private synchronized Engine.State state() {
		long now = System.nanoTime();
		if (now - this.sampledAt >= this.options.maxStateAge().toNanos()) {
			this.sampledAt = now;
			this.sampledRunning = this.batch.running();
			this.sampledQueued = this.batch.queued();
			this.sampledPrefixes = List.copyOf(this.cached);
		}
		List<Long> prefixes = new ArrayList<>(this.sampledPrefixes);
		prefixes.removeIf((prefix) -> this.omissions.nextDouble() < OMITTED_PREFIX_SHARE);
		return new Engine.State(this.serving, this.loading, this.sampledRunning, this.sampledQueued,
				this.options.slots(), this.acceptedOrder.generation(), this.acceptedOrder.epoch(), prefixes);
	}

	private synchronized void order(Engine.Order order, Responder responder) {
		if (this.options.fencing() && isOlder(order, this.acceptedOrder)) {
			responder.text(409,
					"an order of " + this.acceptedOrder.generation() + "/" + this.acceptedOrder.epoch() + " was taken");
			return;
		}
		for (String file : order.files()) {
			if (!this.store.isComplete(file)) {
				responder.text(422, "not all chunks are held of " + file);
				return;
			}
		}
		this.acceptedOrder = order;
		responder.status(200);
		if (order.weightsDigest().equals(this.serving) && !this.loading) {
			return;
		}
		this.loading = true;
		StandinThreads.schedule(this.options.loadTime().toNanos(), () -> loaded(order));
	}

	private synchronized void loaded(Engine.Order order) {
		if (order == this.acceptedOrder) {
			this.serving = order.weightsDigest();
			this.loading = false;
			this.cached.clear();
		}
	}

	private void complete(Request request, Responder responder) {
		EngineCall call = EngineCall.of(request, responder);
		synchronized (this) {
			if (this.loading || this.serving.isEmpty()) {
				responder.text(503, "loading");
				return;
			}
			call.setWeightsLabel(this.serving);
			cachePrefix(EngineTokens.prefix(call.prompt()));
		}
		String id = request.header(CallerHeaders.REQUEST_ID).orElse("");
		this.batch.add(call, () -> recordStart(id));
	}

	private void recordStart(String id) {
		this.executed.merge(id, 1L, Long::sum);
		this.journal.ifPresent((file) -> {
			try {
				Files.writeString(file, id + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		});
	}

	private void cachePrefix(long prefix) {
		this.cached.remove(prefix);
		this.cached.add(prefix);
		if (this.cached.size() > MAX_CACHED_PREFIXES) {
			this.cached.remove(this.cached.iterator().next());
		}
	}

	private static boolean isOlder(Engine.Order one, Engine.Order other) {
		if (one.generation() != other.generation()) {
			return one.generation() < other.generation();
		}
		return one.epoch() < other.epoch();
	}

}
