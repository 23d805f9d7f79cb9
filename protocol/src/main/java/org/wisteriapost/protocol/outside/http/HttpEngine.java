package org.wisteriapost.protocol.outside.http;

import java.net.URI;
import java.util.concurrent.CompletableFuture;

import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.protocol.http.HttpCaller;
import org.wisteriapost.protocol.http.HttpReply;
import org.wisteriapost.protocol.outside.Engine;

/**
 * A model engine's orders and state over HTTP.
 */
public final class HttpEngine implements Engine {

	private final HttpSystem system;

	private HttpEngine(HttpSystem system) {
		this.system = system;
	}

	/**
	 * Returns the engine at an address.
	 */
	public static HttpEngine at(HttpCaller caller, URI address) {
		return new HttpEngine(new HttpSystem(caller, address));
	}

	@Override
	public CompletableFuture<Void> load(Order order) {
		return this.system.send(this.system.request("POST", "/orders").body(Json.write(order)), HttpEngine::taken,
				(failure) -> UNAVAILABLE);
	}

	@Override
	public CompletableFuture<State> state() {
		return this.system.send(this.system.request("GET", "/state"), HttpSystem.body(State.class, UNAVAILABLE),
				(failure) -> UNAVAILABLE);
	}

	@Override
	public void close() {
		// The caller is the process's own and is closed by it.
	}

	private static Void taken(HttpReply reply) {
		if (reply.status() == 409) {
			throw CodedException.of(FENCED, "status 409");
		}
		HttpSystem.expect(reply, 200, UNAVAILABLE);
		return null;
	}

}
