package org.wisteriapost.protocol.link;

import java.net.InetSocketAddress;

import io.netty.channel.Channel;

/**
 * A listening socket that accepts links.
 */
public final class LinkServer implements AutoCloseable {

	private final Channel channel;

	LinkServer(Channel channel) {
		this.channel = channel;
	}

	/**
	 * Returns the bound port.
	 */
	public int port() {
		return ((InetSocketAddress) this.channel.localAddress()).getPort();
	}

	@Override
	public void close() {
		this.channel.close().awaitUninterruptibly();
	}

}
