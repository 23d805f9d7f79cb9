package org.wisteriapost.entry.link;

import org.wisteriapost.protocol.wire.Frame;

/**
 * Hears all links of an entry, on I/O threads.
 */
public interface PeerListener {

	/**
	 * Called when a link is up.
	 */
	void onUp(PeerLink peer);

	/**
	 * Called for each frame.
	 */
	void onFrame(PeerLink peer, Frame frame);

	/**
	 * Called once when a link that was up is gone.
	 */
	void onDown(PeerLink peer);

}
