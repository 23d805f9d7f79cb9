package org.wisteriapost.protocol.outside.http;

import java.net.URI;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.protocol.http.HttpCaller;
import org.wisteriapost.protocol.outside.VmList;

/**
 * The VM list over HTTP.
 */
public final class HttpVmList implements VmList {

	private static final Code UNAVAILABLE = Code.warning("vm-list-unavailable", "The VM list did not answer.");

	private final HttpSystem system;

	private HttpVmList(HttpSystem system) {
		this.system = system;
	}

	/**
	 * Returns the VM list at an address.
	 */
	public static HttpVmList at(HttpCaller caller, URI address) {
		return new HttpVmList(new HttpSystem(caller, address));
	}

	@Override
	public CompletableFuture<List<Vm>> read() {
		return this.system.send(this.system.request("GET", "/vms"),
				(reply) -> List.of(HttpSystem.body(Vm[].class, UNAVAILABLE).apply(reply)), (failure) -> UNAVAILABLE);
	}

	@Override
	public void close() {
		// The caller is the process's own and is closed by it.
	}

}
