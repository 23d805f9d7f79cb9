package org.wisteriapost.protocol.link;

import org.wisteriapost.protocol.wire.Frame;

/**
 * One connection to another of our processes.
 */
public interface Link {

	/**
	 * Queues a frame; false when the link is closed and nothing of it was sent.
	 */
	boolean send(Frame frame);

	/**
	 * Returns whether the send buffer is below its high-water mark; bulk senders stop
	 * when it is not and go on in {@link LinkHandler#onWritable}.
	 */
	boolean writable();

	/**
	 * Returns the other side as {@code host:port}.
	 */
	String peer();

	/**
	 * Closes the connection.
	 */
	void close();

}
