package org.wisteriapost.protocol.outside.http;

import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.protocol.http.HttpCall;
import org.wisteriapost.protocol.http.HttpCallException;
import org.wisteriapost.protocol.http.HttpResponse;
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.outside.Platform;

/**
 * The platform's object API over HTTP.
 */
public final class HttpPlatform implements Platform {

	private static final Duration WATCH_MARGIN = Duration.ofSeconds(3);

	private final ExternalSystemClient client;

	private HttpPlatform(ExternalSystemClient client) {
		this.client = client;
	}

	/**
	 * Returns the platform at an address.
	 */
	public static HttpPlatform at(PooledHttpClient caller, URI address) {
		return new HttpPlatform(new ExternalSystemClient(caller, address));
	}

	@Override
	public CompletableFuture<Optional<Stored>> get(String key) {
		return this.client.send(this.client.request("GET", "/objects/" + key), (reply) -> switch (reply.status()) {
			case 200 -> stored(key, reply);
			case 404 -> Optional.empty();
			default -> throw rejected(reply);
		}, (failure) -> UNAVAILABLE);
	}

	@Override
	public CompletableFuture<PutResult> put(String key, byte[] value, Precondition expected) {
		HttpCall call = condition(this.client.request("PUT", "/objects/" + key), expected).body(value);
		return this.client.send(call, (reply) -> switch (reply.status()) {
			case 200 -> new PutResult.Written(version(reply));
			case 412 -> new PutResult.Conflict(stored(key, reply));
			case 429, 503 -> throw rejected(reply);
			default -> throw CodedException.of(UNCONFIRMED, "status " + reply.status());
		}, HttpPlatform::writeFailureCode);
	}

	@Override
	public CompletableFuture<Listing> list(String prefix) {
		HttpCall call = this.client.request("GET", "/objects", "prefix=" + ExternalSystemClient.escape(prefix),
				ExternalSystemClient.TIMEOUT);
		return this.client.send(call, ExternalSystemClient.body(Listing.class, UNAVAILABLE), (failure) -> UNAVAILABLE);
	}

	@Override
	public CompletableFuture<Listing> watch(String prefix, long afterRevision, Duration wait) {
		String query = "prefix=" + ExternalSystemClient.escape(prefix) + "&after=" + afterRevision + "&wait="
				+ wait.toMillis();
		HttpCall call = this.client.request("GET", "/objects", query, wait.plus(WATCH_MARGIN));
		return this.client.send(call, ExternalSystemClient.body(Listing.class, UNAVAILABLE), (failure) -> UNAVAILABLE);
	}

	@Override
	public void close() {
		// The HTTP client is shared by the process and closed by its owner.
	}

	// A request that was sent may have taken effect even if the connection failed.
	// Reporting it as without effect would make the writer write twice.
	private static Code writeFailureCode(Throwable failure) {
		return HttpCallException.wasSent(failure) ? UNCONFIRMED : UNAVAILABLE;
	}

	private static HttpCall condition(HttpCall call, Precondition expected) {
		return switch (expected) {
			case Precondition.Absent() -> call.header("If-None-Match", "*");
			case Precondition.Version(long version) -> call.header("If-Match", "\"" + version + "\"");
			case Precondition.Anything() -> call;
		};
	}

	private static Optional<Stored> stored(String key, HttpResponse reply) {
		return reply.header("ETag").map((etag) -> new Stored(key, reply.body(), version(reply)));
	}

	private static long version(HttpResponse reply) {
		String etag = reply.header("ETag").orElseThrow(() -> new IllegalArgumentException("response without ETag"));
		return Long.parseLong(etag.replace("\"", ""));
	}

	private static CodedException rejected(HttpResponse reply) {
		return CodedException.of(UNAVAILABLE, "status " + reply.status());
	}

}
