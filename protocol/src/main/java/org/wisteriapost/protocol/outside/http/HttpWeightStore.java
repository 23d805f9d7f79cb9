package org.wisteriapost.protocol.outside.http;

import java.net.URI;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.protocol.http.HttpCall;
import org.wisteriapost.protocol.http.HttpResponse;
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.outside.WeightStore;

/**
 * Accesses the weight store of an endpoint VM over HTTP.
 */
public final class HttpWeightStore implements WeightStore {

	private static final Code UNAVAILABLE = Code.error("weight-store-unavailable",
			"The weight store of the endpoint VM did not take a call.");

	private final ExternalSystemClient client;

	private HttpWeightStore(ExternalSystemClient client) {
		this.client = client;
	}

	/**
	 * Returns the weight store at an address.
	 */
	public static HttpWeightStore at(PooledHttpClient caller, URI address) {
		return new HttpWeightStore(new ExternalSystemClient(caller, address));
	}

	@Override
	public CompletableFuture<Void> put(String file, int index, byte[] chunk) {
		return sendExpectingOk(this.client.request("PUT", "/store/" + file + "/" + index).body(chunk));
	}

	@Override
	public CompletableFuture<Optional<byte[]>> get(String file, int index) {
		return this.client.send(this.client.request("GET", "/store/" + file + "/" + index), HttpWeightStore::chunk,
				(failure) -> UNAVAILABLE);
	}

	@Override
	public CompletableFuture<BitSet> storedChunks(String file) {
		return this.client.send(this.client.request("GET", "/store/" + file),
				(reply) -> ExternalSystemClient.body(Held.class, UNAVAILABLE).apply(reply).bits(),
				(failure) -> UNAVAILABLE);
	}

	@Override
	public CompletableFuture<Void> delete(String file) {
		return sendExpectingOk(this.client.request("DELETE", "/store/" + file));
	}

	@Override
	public void close() {
		// The HTTP client is shared by the process and closed by its owner.
	}

	private CompletableFuture<Void> sendExpectingOk(HttpCall call) {
		return this.client.send(call, (reply) -> {
			ExternalSystemClient.expect(reply, 200, UNAVAILABLE);
			return null;
		}, (failure) -> UNAVAILABLE);
	}

	private static Optional<byte[]> chunk(HttpResponse reply) {
		if (reply.status() == 404) {
			return Optional.empty();
		}
		return Optional.of(ExternalSystemClient.expect(reply, 200, UNAVAILABLE).body());
	}

	private record Held(List<Integer> held) {

		private BitSet bits() {
			BitSet bits = new BitSet();
			this.held.forEach(bits::set);
			return bits;
		}

	}

}
