package org.wisteriapost.protocol.link;

import org.wisteriapost.protocol.wire.Frame;

/**
 * A connection to another wisteriapost process.
 */
public interface Link {

	/**
	 * Queues a frame; returns false when the link is closed and the frame was not sent.
	 */
	boolean send(Frame frame);

	/**
	 * Returns whether the send buffer is below its high-water mark. Bulk senders stop
	 * when it is not and continue in {@link LinkHandler#onWritable}.
	 */
	boolean writable();

	/**
	 * Returns the address of the peer as {@code host:port}.
	 */
	String peer();

	/**
	 * Closes the connection.
	 */
	void close();

}
