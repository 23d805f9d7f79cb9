package org.wisteriapost.protocol.outside.http;

import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.protocol.http.HttpCall;
import org.wisteriapost.protocol.http.HttpResponse;
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.outside.Origin;

/**
 * Reads weights from the origin by HTTP range requests.
 */
public final class HttpOrigin implements Origin {

	// A chunk shares the origin's link with all other downloads and may take far
	// longer than a small call. Progress timeouts of the transfer cancel a stalled
	// read sooner.
	private static final Duration READ_TIMEOUT = Duration.ofSeconds(60);

	private final ExternalSystemClient client;

	private HttpOrigin(ExternalSystemClient client) {
		this.client = client;
	}

	/**
	 * Returns the origin at an address.
	 */
	public static HttpOrigin at(PooledHttpClient caller, URI address) {
		return new HttpOrigin(new ExternalSystemClient(caller, address));
	}

	@Override
	public CompletableFuture<byte[]> read(String path, String etag, long offset, int length) {
		HttpCall call = this.client.request("GET", "/weights/" + path, "", READ_TIMEOUT)
			.header("Range", "bytes=" + offset + "-" + (offset + length - 1))
			.header("If-Match", quoted(etag));
		return this.client.send(call, (reply) -> range(reply, path, etag, length), (failure) -> UNAVAILABLE);
	}

	@Override
	public CompletableFuture<Manifest> manifest(String path) {
		return this.client.send(this.client.request("GET", "/weights/" + path + ".manifest"),
				ExternalSystemClient.body(Manifest.class, UNAVAILABLE), (failure) -> UNAVAILABLE);
	}

	@Override
	public void close() {
		// The HTTP client is shared by the process and closed by its owner.
	}

	private static byte[] range(HttpResponse reply, String path, String etag, int length) {
		if (reply.status() == 412) {
			throw CodedException.of(CHANGED, path + " is no longer " + etag);
		}
		ExternalSystemClient.expect(reply, 206, UNAVAILABLE);
		// An origin that ignores If-Match may return the bytes of another version.
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
