package org.wisteriapost.protocol.link;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.ssl.SslHandler;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.protocol.wire.Frame;

/**
 * Adapts a Netty channel to {@link Link}. Empty frames are heartbeats and are not passed
 * to the handler.
 */
final class LinkChannel extends SimpleChannelInboundHandler<Frame> implements Link {

	private static final Logger LOG = System.getLogger(LinkChannel.class.getName());

	private final LinkHandler handler;

	private final CompletableFuture<Void> opened;

	private volatile Channel channel;

	/**
	 * Creates a channel that is not open yet.
	 * @param opened completes after {@link LinkHandler#onOpen}; fails when the channel
	 * closes before that
	 */
	LinkChannel(LinkHandler handler, CompletableFuture<Void> opened) {
		this.handler = handler;
		this.opened = opened;
	}

	@Override
	public boolean send(Frame frame) {
		if (!this.channel.isActive()) {
			return false;
		}
		this.channel.writeAndFlush(frame);
		return true;
	}

	@Override
	public boolean writable() {
		return this.channel.isWritable();
	}

	@Override
	public String peer() {
		InetSocketAddress address = (InetSocketAddress) this.channel.remoteAddress();
		return (address != null) ? address.getAddress().getHostAddress() + ":" + address.getPort() : "closed";
	}

	@Override
	public void close() {
		this.channel.close();
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.channel = context.channel();
		SslHandler tls = context.pipeline().get(SslHandler.class);
		if (tls == null) {
			open();
			return;
		}
		tls.handshakeFuture().addListener((done) -> {
			if (done.isSuccess()) {
				open();
			}
		});
	}

	// Netty completes its connect future before the channel is active, so waiting for
	// that future would allow sending before the handler's onOpen.
	private void open() {
		this.handler.onOpen(this);
		this.opened.complete(null);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, Frame frame) {
		if (frame.getBodyCase() != Frame.BodyCase.BODY_NOT_SET) {
			this.handler.onFrame(this, frame);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		boolean neverOpened = this.opened
			.completeExceptionally(CodedException.of(Links.LINK_FAILED, peer() + ": closed before it was open"));
		if (!neverOpened) {
			this.handler.onClosed(this);
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		if (context.channel().isWritable()) {
			this.handler.onWritable(this);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		LOG.log(Level.WARNING, "link-broken: " + cause);
		context.close();
	}

}
