package org.wisteriapost.standin;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.wisteriapost.protocol.outside.Origin;

/**
 * The origin of weights, with one rate limit for all connections.
 */
public final class OriginServer implements AutoCloseable {

	private static final String WEIGHTS = "/weights/";

	private static final String MANIFEST = ".manifest";

	private static final Pattern RANGE = Pattern.compile("bytes=(\\d+)-(\\d+)");

	private static final int SLICE_BYTES = 32 * 1024;

	private static final int DEFAULT_CHUNK_BYTES = 1 << 20;

	private final Map<String, PublishedFile> files = new ConcurrentHashMap<>();

	private final Map<String, AtomicLong> served = new ConcurrentHashMap<>();

	private final TokenBucket bandwidth;

	private final StandinServer server;

	private OriginServer(String host, int port, long bytesPerSecond) {
		this.bandwidth = TokenBucket.perSecond(bytesPerSecond);
		this.server = StandinServer.start(host, port, this::handle);
	}

	/**
	 * Starts an origin without a rate limit.
	 */
	public static OriginServer start(String host, int port) {
		return start(host, port, 0);
	}

	/**
	 * Starts an origin with a total bandwidth in bytes per second; 0 for no limit.
	 */
	public static OriginServer start(String host, int port, long bytesPerSecond) {
		return new OriginServer(host, port, bytesPerSecond);
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
	 * Publishes a version of a file, replacing any previous one.
	 */
	public Origin.Manifest publish(String path, String version, long size, int chunkBytes) {
		return publish(new OriginContent(path, version, size, chunkBytes, 0));
	}

	/**
	 * Publishes a version that shares the given percentage of its chunks with every other
	 * version of the same path and size.
	 */
	public Origin.Manifest publish(String path, String version, long size, int chunkBytes, int samePercent) {
		return publish(new OriginContent(path, version, size, chunkBytes, samePercent));
	}

	/**
	 * Returns the number of content bytes sent, by path.
	 */
	public Map<String, Long> counts() {
		Map<String, Long> counts = new TreeMap<>();
		this.served.forEach((path, bytes) -> counts.put(path, bytes.get()));
		return counts;
	}

	@Override
	public void close() {
		this.server.close();
	}

	private Origin.Manifest publish(OriginContent content) {
		Origin.Manifest manifest = content.manifest();
		this.files.put(content.path(), new PublishedFile(content, manifest));
		return manifest;
	}

	private void handle(Request request, Responder responder) {
		if (request.matches("GET", "/counts")) {
			responder.json(200, counts());
		}
		else if (request.matches("PUT", WEIGHTS)) {
			responder.json(200, publish(content(request)));
		}
		else if (request.matches("GET", WEIGHTS) && request.path().endsWith(MANIFEST)) {
			String path = request.pathAfter(WEIGHTS);
			manifest(path.substring(0, path.length() - MANIFEST.length()), responder);
		}
		else if (request.matches("GET", WEIGHTS)) {
			read(request, responder);
		}
		else {
			responder.status(404);
		}
	}

	private static OriginContent content(Request request) {
		long size = request.parameter("size").map(Long::parseLong).orElse(0L);
		int chunk = request.parameter("chunk").map(Integer::parseInt).orElse(DEFAULT_CHUNK_BYTES);
		int same = request.parameter("same").map(Integer::parseInt).orElse(0);
		return new OriginContent(request.pathAfter(WEIGHTS), request.parameter("version").orElse("1"), size, chunk,
				same);
	}

	private void manifest(String path, Responder responder) {
		PublishedFile file = this.files.get(path);
		if (file == null) {
			responder.status(404);
			return;
		}
		responder.json(200, file.manifest);
	}

	private void read(Request request, Responder responder) {
		PublishedFile file = this.files.get(request.pathAfter(WEIGHTS));
		if (file == null) {
			responder.status(404);
			return;
		}
		String etag = "\"" + file.manifest.etag() + "\"";
		if (request.header("If-Match").filter((requested) -> !requested.equals(etag)).isPresent()) {
			responder.bytes(412, Map.of("ETag", etag), new byte[0]);
			return;
		}
		String requested = request.header("Range").orElse("bytes=0-" + (file.content.size() - 1));
		Matcher range = RANGE.matcher(requested);
		if (!range.matches()) {
			throw new IllegalArgumentException("unsupported Range header: " + requested);
		}
		long first = Long.parseLong(range.group(1));
		long last = Math.min(Long.parseLong(range.group(2)), file.content.size() - 1);
		if (first > last) {
			responder.status(416);
			return;
		}
		byte[] bytes = file.content.range(first, Math.toIntExact(last - first + 1));
		ResponseBodyStream body = responder.stream(206, Map.of("ETag", etag), bytes.length);
		send(file.content.path(), bytes, 0, body);
	}

	private void send(String path, byte[] bytes, int from, ResponseBodyStream body) {
		if (from == bytes.length) {
			body.end();
			return;
		}
		if (body.isDisconnected()) {
			return;
		}
		int to = Math.min(bytes.length, from + SLICE_BYTES);
		StandinThreads.schedule(this.bandwidth.reserve(to - from), () -> {
			body.push(Arrays.copyOfRange(bytes, from, to));
			this.served.computeIfAbsent(path, (key) -> new AtomicLong()).addAndGet(to - from);
			send(path, bytes, to, body);
		});
	}

	private record PublishedFile(OriginContent content, Origin.Manifest manifest) {
	}

}
