package org.wisteriapost.entry.direct;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;

import org.wisteriapost.protocol.wire.Frame;

/**
 * Links to other processes, by their names.
 */
interface PeerSender {

	/**
	 * Sets whom to be linked to.
	 * @param peers addresses by name
	 */
	void desired(Map<String, InetSocketAddress> peers);

	/**
	 * Sends a frame to a peer if there is a link that has room for it.
	 */
	Sending send(String name, Frame frame);

	/**
	 * Returns the names of the entries to which there is a link.
	 */
	Set<String> entries();

	/** What became of a frame. */
	enum Sending {

		/** It is on its way. */
		SENT,
		/** It was left out, since too much waits on the link already. */
		LINK_FULL,
		/** There is no link; whoever has something to say does so when it comes up. */
		NO_LINK

	}

}
