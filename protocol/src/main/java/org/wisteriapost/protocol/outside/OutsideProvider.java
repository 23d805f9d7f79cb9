package org.wisteriapost.protocol.outside;

import java.net.URI;

import org.wisteriapost.protocol.http.HttpCaller;

/**
 * Makes the adapters for one kind of surroundings. Another bench's protocol is one more
 * provider, chosen by {@code [outside] provider} in the settings.
 */
public interface OutsideProvider {

	/**
	 * Returns the name that settings choose this provider by.
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
