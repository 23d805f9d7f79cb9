package org.wisteriapost.protocol.outside.http;

import java.net.URI;

import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.outside.Engine;
import org.wisteriapost.protocol.outside.ExternalSystemsProvider;
import org.wisteriapost.protocol.outside.Origin;
import org.wisteriapost.protocol.outside.Platform;
import org.wisteriapost.protocol.outside.VmList;
import org.wisteriapost.protocol.outside.WeightStore;

/**
 * Creates adapters for external systems that are called over plain HTTP.
 */
public final class HttpExternalSystemsProvider implements ExternalSystemsProvider {

	@Override
	public String name() {
		return "http";
	}

	@Override
	public Platform platform(PooledHttpClient caller, URI address) {
		return HttpPlatform.at(caller, address);
	}

	@Override
	public VmList vmList(PooledHttpClient caller, URI address) {
		return HttpVmList.at(caller, address);
	}

	@Override
	public Origin origin(PooledHttpClient caller, URI address) {
		return HttpOrigin.at(caller, address);
	}

	@Override
	public WeightStore weightStore(PooledHttpClient caller, URI address) {
		return HttpWeightStore.at(caller, address);
	}

	@Override
	public Engine engine(PooledHttpClient caller, URI address) {
		return HttpEngine.at(caller, address);
	}

}
