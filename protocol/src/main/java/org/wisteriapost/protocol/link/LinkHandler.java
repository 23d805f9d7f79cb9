package org.wisteriapost.protocol.link;

import org.wisteriapost.protocol.wire.Frame;

/**
 * Hears one link's events, in order, on an I/O thread; must not block.
 */
public interface LinkHandler {

	/**
	 * Called when the link is up; the first frame to send is a Hello.
	 */
	void onOpen(Link link);

	/**
	 * Called for each frame.
	 */
	void onFrame(Link link, Frame frame);

	/**
	 * Called once when the link is gone, for whatever reason.
	 */
	void onClosed(Link link);

	/**
	 * Called when a full send buffer has drained.
	 */
	default void onWritable(Link link) {
	}

}
