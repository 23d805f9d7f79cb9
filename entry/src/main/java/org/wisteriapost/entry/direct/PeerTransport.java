package org.wisteriapost.entry.direct;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;

import org.wisteriapost.protocol.wire.Frame;

/**
 * Links to other processes by name.
 */
interface PeerTransport {

	/**
	 * Sets the peers to be linked to.
	 * @param peers addresses by name
	 */
	void setDesiredPeers(Map<String, InetSocketAddress> peers);

	/**
	 * Sends a frame to a peer if there is a link with free capacity.
	 */
	SendResult send(String name, Frame frame);

	/**
	 * Returns the names of the linked entries.
	 */
	Set<String> linkedEntries();

	/** The result of sending a frame. */
	enum SendResult {

		/** The frame was queued on the link. */
		SENT,
		/** The frame was dropped, since too much is queued on the link. */
		LINK_FULL,
		/**
		 * There is no link. The sender repeats its state when the link is established.
		 */
		NO_LINK

	}

}
