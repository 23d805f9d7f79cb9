package org.wisteriapost.standin;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.wisteriapost.protocol.outside.Platform;

/**
 * The platform's object API in memory.
 */
public final class PlatformServer implements AutoCloseable {

	private static final String OBJECTS = "/objects";

	private final Map<String, Held> objects = new TreeMap<>();

	private final List<Watch> watches = new ArrayList<>();

	private final Map<String, Long> counts = new TreeMap<>();

	private final RateLimit reads;

	private final RateLimit writes;

	private final StandinServer server;

	private long revision;

	private PlatformServer(String host, int port, long readsPerSecond, long writesPerSecond) {
		this.reads = RateLimit.perSecond(readsPerSecond);
		this.writes = RateLimit.perSecond(writesPerSecond);
		this.server = StandinServer.start(host, port, this::handle);
	}

	/**
	 * Returns a platform without limits.
	 */
	public static PlatformServer start(String host, int port) {
		return start(host, port, 0, 0);
	}

	/**
	 * Returns a platform that answers 429 beyond its limits; 0 for none.
	 */
	public static PlatformServer start(String host, int port, long readsPerSecond, long writesPerSecond) {
		return new PlatformServer(host, port, readsPerSecond, writesPerSecond);
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
	 * Returns how often each kind of call came.
	 */
	public synchronized Map<String, Long> counts() {
		return new TreeMap<>(this.counts);
	}

	@Override
	public void close() {
		this.server.close();
	}

	private synchronized void handle(Request request, Responder responder) {
		if (request.is("GET", "/counts")) {
			responder.json(200, this.counts);
			return;
		}
		boolean write = request.method().equals("PUT");
		if (!(write ? this.writes : this.reads).allows(1)) {
			count("refused");
			responder.status(429);
			return;
		}
		if (request.is("PUT", OBJECTS + "/")) {
			put(request, responder);
		}
		else if (request.is("GET", OBJECTS + "/")) {
			get(request, responder);
		}
		else if (request.method().equals("GET") && request.path().equals(OBJECTS)) {
			list(request, responder);
		}
		else {
			responder.status(404);
		}
	}

	private void get(Request request, Responder responder) {
		count("get");
		Held held = this.objects.get(request.after(OBJECTS + "/"));
		if (held == null) {
			responder.status(404);
			return;
		}
		responder.whole(200, etag(held), held.stored.value());
	}

	private void put(Request request, Responder responder) {
		count("put");
		if (request.body().length > Platform.MAX_VALUE_BYTES) {
			responder.status(413);
			return;
		}
		String key = request.after(OBJECTS + "/");
		Optional<Held> held = Optional.ofNullable(this.objects.get(key));
		if (!expected(request, held)) {
			count("conflict");
			responder.whole(412, held.map(PlatformServer::etag).orElse(Map.of()),
					held.map((one) -> one.stored.value()).orElse(new byte[0]));
			return;
		}
		this.revision++;
		long version = held.map((one) -> one.stored.version()).orElse(0L) + 1;
		Held next = new Held(new Platform.Stored(key, request.body(), version), this.revision);
		this.objects.put(key, next);
		wake();
		responder.whole(200, etag(next), new byte[0]);
	}

	private static boolean expected(Request request, Optional<Held> held) {
		if (request.header("If-None-Match").isPresent()) {
			return held.isEmpty();
		}
		Optional<String> match = request.header("If-Match");
		return match.isEmpty() || held.filter((one) -> etag(one).containsValue(match.get())).isPresent();
	}

	private void list(Request request, Responder responder) {
		String prefix = request.parameter("prefix").orElse("");
		long after = request.parameter("after").map(Long::parseLong).orElse(-1L);
		long wait = request.parameter("wait").map(Long::parseLong).orElse(0L);
		count((after < 0) ? "list" : "watch");
		Watch watch = new Watch(prefix, after, responder);
		if (wait == 0 || !changed(watch).isEmpty()) {
			answer(watch);
			return;
		}
		this.watches.add(watch);
		StandinThreads.after(TimeUnit.MILLISECONDS.toNanos(wait), () -> expire(watch));
	}

	private synchronized void expire(Watch watch) {
		if (this.watches.remove(watch)) {
			answer(watch);
		}
	}

	private void wake() {
		Iterator<Watch> all = this.watches.iterator();
		while (all.hasNext()) {
			Watch watch = all.next();
			if (!changed(watch).isEmpty()) {
				all.remove();
				answer(watch);
			}
		}
	}

	private void answer(Watch watch) {
		watch.responder.json(200, new Platform.Listing(changed(watch), this.revision));
	}

	private List<Platform.Stored> changed(Watch watch) {
		return this.objects.values()
			.stream()
			.filter((held) -> held.revision > watch.after && held.stored.key().startsWith(watch.prefix))
			.map(Held::stored)
			.toList();
	}

	private void count(String kind) {
		this.counts.merge(kind, 1L, Long::sum);
	}

	private static Map<String, String> etag(Held held) {
		return Map.of("ETag", "\"" + held.stored.version() + "\"");
	}

	private record Held(Platform.Stored stored, long revision) {
	}

	private record Watch(String prefix, long after, Responder responder) {
	}

}
