package org.wisteriapost.protocol.outside.http;

import java.net.URI;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.outside.VmList;

/**
 * Reads the VM list over HTTP.
 */
public final class HttpVmList implements VmList {

	private static final Code UNAVAILABLE = Code.warning("vm-list-unavailable", "The VM list did not answer.");

	private final ExternalSystemClient client;

	private HttpVmList(ExternalSystemClient client) {
		this.client = client;
	}

	/**
	 * Returns the VM list at an address.
	 */
	public static HttpVmList at(PooledHttpClient caller, URI address) {
		return new HttpVmList(new ExternalSystemClient(caller, address));
	}

	@Override
	public CompletableFuture<List<Vm>> read() {
		return this.client.send(this.client.request("GET", "/vms"),
				(reply) -> List.of(ExternalSystemClient.body(Vm[].class, UNAVAILABLE).apply(reply)),
				(failure) -> UNAVAILABLE);
	}

	@Override
	public void close() {
		// The HTTP client is shared by the process and closed by its owner.
	}

}
