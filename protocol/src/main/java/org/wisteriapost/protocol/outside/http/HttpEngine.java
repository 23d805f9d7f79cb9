package org.wisteriapost.protocol.outside.http;

import java.net.URI;
import java.util.concurrent.CompletableFuture;

import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.protocol.http.HttpResponse;
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.outside.Engine;

/**
 * Controls a model engine over HTTP.
 */
public final class HttpEngine implements Engine {

	private final ExternalSystemClient client;

	private HttpEngine(ExternalSystemClient client) {
		this.client = client;
	}

	/**
	 * Returns the engine at an address.
	 */
	public static HttpEngine at(PooledHttpClient caller, URI address) {
		return new HttpEngine(new ExternalSystemClient(caller, address));
	}

	@Override
	public CompletableFuture<Void> load(Order order) {
		return this.client.send(this.client.request("POST", "/orders").body(Json.write(order)),
				HttpEngine::checkAccepted, (failure) -> UNAVAILABLE);
	}

	@Override
	public CompletableFuture<State> state() {
		return this.client.send(this.client.request("GET", "/state"),
				ExternalSystemClient.body(State.class, UNAVAILABLE), (failure) -> UNAVAILABLE);
	}

	@Override
	public void close() {
		// The HTTP client is shared by the process and closed by its owner.
	}

	private static Void checkAccepted(HttpResponse reply) {
		if (reply.status() == 409) {
			throw CodedException.of(FENCED, "status 409");
		}
		ExternalSystemClient.expect(reply, 200, UNAVAILABLE);
		return null;
	}

}
