package org.wisteriapost.protocol.outside.http;

import java.net.URI;

import org.wisteriapost.protocol.http.HttpCaller;
import org.wisteriapost.protocol.outside.Engine;
import org.wisteriapost.protocol.outside.Origin;
import org.wisteriapost.protocol.outside.OutsideProvider;
import org.wisteriapost.protocol.outside.Platform;
import org.wisteriapost.protocol.outside.VmList;
import org.wisteriapost.protocol.outside.WeightStore;

/**
 * Creates adapters for external systems that are called over plain HTTP.
 */
public final class HttpOutsideProvider implements OutsideProvider {

	@Override
	public String name() {
		return "http";
	}

	@Override
	public Platform platform(HttpCaller caller, URI address) {
		return HttpPlatform.at(caller, address);
	}

	@Override
	public VmList vmList(HttpCaller caller, URI address) {
		return HttpVmList.at(caller, address);
	}

	@Override
	public Origin origin(HttpCaller caller, URI address) {
		return HttpOrigin.at(caller, address);
	}

	@Override
	public WeightStore weightStore(HttpCaller caller, URI address) {
		return HttpWeightStore.at(caller, address);
	}

	@Override
	public Engine engine(HttpCaller caller, URI address) {
		return HttpEngine.at(caller, address);
	}

}
