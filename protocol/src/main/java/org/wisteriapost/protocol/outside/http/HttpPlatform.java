package org.wisteriapost.protocol.outside.http;

import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.protocol.http.HttpCall;
import org.wisteriapost.protocol.http.HttpCaller;
import org.wisteriapost.protocol.http.HttpReply;
import org.wisteriapost.protocol.outside.Platform;

/**
 * The platform's object API over HTTP.
 */
public final class HttpPlatform implements Platform {

	private static final Duration WATCH_MARGIN = Duration.ofSeconds(3);

	private final HttpSystem system;

	private HttpPlatform(HttpSystem system) {
		this.system = system;
	}

	/**
	 * Returns the platform at an address.
	 */
	public static HttpPlatform at(HttpCaller caller, URI address) {
		return new HttpPlatform(new HttpSystem(caller, address));
	}

	@Override
	public CompletableFuture<Optional<Stored>> get(String key) {
		return this.system.send(this.system.request("GET", "/objects/" + key), (reply) -> switch (reply.status()) {
			case 200 -> stored(key, reply);
			case 404 -> Optional.empty();
			default -> throw refused(reply);
		}, (failure) -> UNAVAILABLE);
	}

	@Override
	public CompletableFuture<PutResult> put(String key, byte[] value, Expected expected) {
		HttpCall call = condition(this.system.request("PUT", "/objects/" + key), expected).body(value);
		return this.system.send(call, (reply) -> switch (reply.status()) {
			case 200 -> new PutResult.Written(version(reply));
			case 412 -> new PutResult.Conflict(stored(key, reply));
			case 429, 503 -> throw refused(reply);
			default -> throw CodedException.of(UNCONFIRMED, "status " + reply.status());
		}, HttpPlatform::writeFailed);
	}

	@Override
	public CompletableFuture<Listing> list(String prefix) {
		HttpCall call = this.system.request("GET", "/objects", "prefix=" + HttpSystem.escape(prefix),
				HttpSystem.TIMEOUT);
		return this.system.send(call, HttpSystem.body(Listing.class, UNAVAILABLE), (failure) -> UNAVAILABLE);
	}

	@Override
	public CompletableFuture<Listing> watch(String prefix, long afterRevision, Duration wait) {
		String query = "prefix=" + HttpSystem.escape(prefix) + "&after=" + afterRevision + "&wait=" + wait.toMillis();
		HttpCall call = this.system.request("GET", "/objects", query, wait.plus(WATCH_MARGIN));
		return this.system.send(call, HttpSystem.body(Listing.class, UNAVAILABLE), (failure) -> UNAVAILABLE);
	}

	@Override
	public void close() {
		// The caller is the process's own and is closed by it.
	}

	// A write whose bytes left this process may have taken effect even if the connection
	// broke at once; telling its writer otherwise would make it write twice.
	private static Code writeFailed(Throwable failure) {
		return HttpSystem.sent(failure) ? UNCONFIRMED : UNAVAILABLE;
	}

	private static HttpCall condition(HttpCall call, Expected expected) {
		return switch (expected) {
			case Expected.Absent() -> call.header("If-None-Match", "*");
			case Expected.Version(long version) -> call.header("If-Match", "\"" + version + "\"");
			case Expected.Anything() -> call;
		};
	}

	private static Optional<Stored> stored(String key, HttpReply reply) {
		return reply.header("ETag").map((etag) -> new Stored(key, reply.body(), version(reply)));
	}

	private static long version(HttpReply reply) {
		String etag = reply.header("ETag").orElseThrow(() -> new IllegalArgumentException("an answer without ETag"));
		return Long.parseLong(etag.replace("\"", ""));
	}

	private static CodedException refused(HttpReply reply) {
		return CodedException.of(UNAVAILABLE, "status " + reply.status());
	}

}
