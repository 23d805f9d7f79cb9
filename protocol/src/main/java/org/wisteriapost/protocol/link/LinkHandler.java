package org.wisteriapost.protocol.link;

import org.wisteriapost.protocol.wire.Frame;

/**
 * Receives the events of a link, in order, on an I/O thread. Must not block.
 */
public interface LinkHandler {

	/**
	 * Called when the link is open. The first frame to send is a Hello.
	 */
	void onOpen(Link link);

	/**
	 * Called for each frame except heartbeats.
	 */
	void onFrame(Link link, Frame frame);

	/**
	 * Called once when an open link has closed for any reason.
	 */
	void onClosed(Link link);

	/**
	 * Called when the send buffer has fallen below its low-water mark.
	 */
	default void onWritable(Link link) {
	}

}
