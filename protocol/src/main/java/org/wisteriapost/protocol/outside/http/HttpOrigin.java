package org.wisteriapost.protocol.outside.http;

import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.protocol.http.HttpCall;
import org.wisteriapost.protocol.http.HttpCaller;
import org.wisteriapost.protocol.http.HttpReply;
import org.wisteriapost.protocol.outside.Origin;

/**
 * The origin of weights over HTTP range requests.
 */
public final class HttpOrigin implements Origin {

	// A chunk shares the origin's link with every other reader, so it may take far longer
	// than a small call; progress deadlines above this cancel sooner.
	private static final Duration READ_TIMEOUT = Duration.ofSeconds(60);

	private final HttpSystem system;

	private HttpOrigin(HttpSystem system) {
		this.system = system;
	}

	/**
	 * Returns the origin at an address.
	 */
	public static HttpOrigin at(HttpCaller caller, URI address) {
		return new HttpOrigin(new HttpSystem(caller, address));
	}

	@Override
	public CompletableFuture<byte[]> read(String path, String etag, long offset, int length) {
		HttpCall call = this.system.request("GET", "/weights/" + path, "", READ_TIMEOUT)
			.header("Range", "bytes=" + offset + "-" + (offset + length - 1))
			.header("If-Match", quoted(etag));
		return this.system.send(call, (reply) -> range(reply, path, etag, length), (failure) -> UNAVAILABLE);
	}

	@Override
	public CompletableFuture<Manifest> manifest(String path) {
		return this.system.send(this.system.request("GET", "/weights/" + path + ".manifest"),
				HttpSystem.body(Manifest.class, UNAVAILABLE), (failure) -> UNAVAILABLE);
	}

	@Override
	public void close() {
		// The caller is the process's own and is closed by it.
	}

	private static byte[] range(HttpReply reply, String path, String etag, int length) {
		if (reply.status() == 412) {
			throw CodedException.of(CHANGED, path + " is no longer " + etag);
		}
		HttpSystem.expect(reply, 206, UNAVAILABLE);
		// An origin that passes over If-Match would answer with another version's bytes.
		if (reply.header("ETag").filter((now) -> !now.equals(quoted(etag))).isPresent()) {
			throw CodedException.of(CHANGED, path + " is no longer " + etag);
		}
		if (reply.body().length != length) {
			throw CodedException.of(UNAVAILABLE, path + ": " + reply.body().length + " bytes of " + length);
		}
		return reply.body();
	}

	private static String quoted(String etag) {
		return (etag.startsWith("\"") || etag.startsWith("W/")) ? etag : "\"" + etag + "\"";
	}

}
