package org.wisteriapost.protocol.outside;

import java.net.URI;

import org.wisteriapost.protocol.http.PooledHttpClient;

/**
 * Creates the adapters for the external systems of a deployment. The setting
 * {@code [outside] provider} selects the provider by name.
 */
public interface ExternalSystemsProvider {

	/**
	 * Returns the name by which the settings select this provider.
	 */
	String name();

	/** Returns the platform at an address. */
	Platform platform(PooledHttpClient caller, URI address);

	/** Returns the VM list at an address. */
	VmList vmList(PooledHttpClient caller, URI address);

	/** Returns the origin at an address. */
	Origin origin(PooledHttpClient caller, URI address);

	/** Returns the weight store at an address. */
	WeightStore weightStore(PooledHttpClient caller, URI address);

	/** Returns the engine at an address. */
	Engine engine(PooledHttpClient caller, URI address);

}
