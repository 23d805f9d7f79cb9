package org.wisteriapost.protocol.link;

import java.net.InetSocketAddress;

import io.netty.channel.Channel;

/**
 * An address at which links are taken.
 */
public final class LinkServer implements AutoCloseable {

	private final Channel channel;

	LinkServer(Channel channel) {
		this.channel = channel;
	}

	/**
	 * Returns the port, also when a free one was chosen.
	 */
	public int port() {
		return ((InetSocketAddress) this.channel.localAddress()).getPort();
	}

	@Override
	public void close() {
		this.channel.close().awaitUninterruptibly();
	}

}
