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
 * An in-memory implementation of the platform's object API.
 */
public final class PlatformServer implements AutoCloseable {

	private static final String OBJECTS = "/objects";

	private final Map<String, VersionedObject> objects = new TreeMap<>();

	private final List<Watch> watches = new ArrayList<>();

	private final Map<String, Long> counts = new TreeMap<>();

	private final TokenBucket reads;

	private final TokenBucket writes;

	private final StandinServer server;

	private long revision;

	private PlatformServer(String host, int port, long readsPerSecond, long writesPerSecond) {
		this.reads = TokenBucket.perSecond(readsPerSecond);
		this.writes = TokenBucket.perSecond(writesPerSecond);
		this.server = StandinServer.start(host, port, this::handle);
	}

	/**
	 * Starts a platform without rate limits.
	 */
	public static PlatformServer start(String host, int port) {
		return start(host, port, 0, 0);
	}

	/**
	 * Starts a platform that responds 429 above the given rates; 0 for no limit.
	 */
	public static PlatformServer start(String host, int port, long readsPerSecond, long writesPerSecond) {
		return new PlatformServer(host, port, readsPerSecond, writesPerSecond);
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
	 * Returns the number of calls by kind.
	 */
	public synchronized Map<String, Long> counts() {
		return new TreeMap<>(this.counts);
	}

	@Override
	public void close() {
		this.server.close();
	}

	private synchronized void handle(Request request, Responder responder) {
		if (request.matches("GET", "/counts")) {
			responder.json(200, this.counts);
			return;
		}
		boolean write = request.method().equals("PUT");
		if (!(write ? this.writes : this.reads).tryAcquire(1)) {
			count("refused");
			responder.status(429);
			return;
		}
		if (request.matches("PUT", OBJECTS + "/")) {
			put(request, responder);
		}
		else if (request.matches("GET", OBJECTS + "/")) {
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
		VersionedObject held = this.objects.get(request.pathAfter(OBJECTS + "/"));
		if (held == null) {
			responder.status(404);
			return;
		}
		responder.bytes(200, etag(held), held.stored.value());
	}

	private void put(Request request, Responder responder) {
		count("put");
		if (request.body().length > Platform.MAX_VALUE_BYTES) {
			responder.status(413);
			return;
		}
		String key = request.pathAfter(OBJECTS + "/");
		Optional<VersionedObject> held = Optional.ofNullable(this.objects.get(key));
		if (!preconditionHolds(request, held)) {
			count("conflict");
			responder.bytes(412, held.map(PlatformServer::etag).orElse(Map.of()),
					held.map((one) -> one.stored.value()).orElse(new byte[0]));
			return;
		}
		this.revision++;
		long version = held.map((one) -> one.stored.version()).orElse(0L) + 1;
		VersionedObject next = new VersionedObject(new Platform.Stored(key, request.body(), version), this.revision);
		this.objects.put(key, next);
		answerChangedWatches();
		responder.bytes(200, etag(next), new byte[0]);
	}

	private static boolean preconditionHolds(Request request, Optional<VersionedObject> held) {
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
		if (wait == 0 || !changedObjects(watch).isEmpty()) {
			respond(watch);
			return;
		}
		this.watches.add(watch);
		StandinThreads.schedule(TimeUnit.MILLISECONDS.toNanos(wait), () -> expire(watch));
	}

	private synchronized void expire(Watch watch) {
		if (this.watches.remove(watch)) {
			respond(watch);
		}
	}

	private void answerChangedWatches() {
		Iterator<Watch> all = this.watches.iterator();
		while (all.hasNext()) {
			Watch watch = all.next();
			if (!changedObjects(watch).isEmpty()) {
				all.remove();
				respond(watch);
			}
		}
	}

	private void respond(Watch watch) {
		watch.responder.json(200, new Platform.Listing(changedObjects(watch), this.revision));
	}

	private List<Platform.Stored> changedObjects(Watch watch) {
		return this.objects.values()
			.stream()
			.filter((held) -> held.revision > watch.after && held.stored.key().startsWith(watch.prefix))
			.map(VersionedObject::stored)
			.toList();
	}

	private void count(String kind) {
		this.counts.merge(kind, 1L, Long::sum);
	}

	private static Map<String, String> etag(VersionedObject held) {
		return Map.of("ETag", "\"" + held.stored.version() + "\"");
	}

	private record VersionedObject(Platform.Stored stored, long revision) {
	}

	private record Watch(String prefix, long after, Responder responder) {
	}

}
