package org.wisteriapost.protocol.outside;

import java.net.URI;

import org.wisteriapost.protocol.http.HttpCaller;

/**
 * Creates the adapters for the external systems of a deployment. The setting
 * {@code [outside] provider} selects the provider by name.
 */
public interface OutsideProvider {

	/**
	 * Returns the name by which the settings select this provider.
	 */
	String name();

	/** Returns the platform at an address. */
	Platform platform(HttpCaller caller, URI address);

	/** Returns the VM list at an address. */
	VmList vmList(HttpCaller caller, URI address);

	/** Returns the origin at an address. */
	Origin origin(HttpCaller caller, URI address);

	/** Returns the weight store at an address. */
	WeightStore weightStore(HttpCaller caller, URI address);

	/** Returns the engine at an address. */
	Engine engine(HttpCaller caller, URI address);

}
