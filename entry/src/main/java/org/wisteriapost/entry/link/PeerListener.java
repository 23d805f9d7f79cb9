package org.wisteriapost.entry.link;

import org.wisteriapost.protocol.wire.Frame;

/**
 * Receives the events of all links of an entry, on I/O threads.
 */
public interface PeerListener {

	/**
	 * Called when a link is established.
	 */
	void onUp(PeerLink peer);

	/**
	 * Called for each received frame.
	 */
	void onFrame(PeerLink peer, Frame frame);

	/**
	 * Called once when an established link is closed.
	 */
	void onDown(PeerLink peer);

}
