package org.wisteriapost.entry.direct;

/**
 * What is known of the protocol version of a peer that sends store updates.
 */
enum PeerCapability {

	/** Nothing was received yet. */
	UNKNOWN,
	/** Numbers its frames and echoes stamps. */
	ECHOES_STAMPS,
	/** Neither numbers frames nor echoes stamps. */
	LEGACY

}
