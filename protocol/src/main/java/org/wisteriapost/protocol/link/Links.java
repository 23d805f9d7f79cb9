package org.wisteriapost.protocol.link;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.protocol.wire.Frame;

/**
 * Opens and accepts links. A process has one instance.
 */
public final class Links implements AutoCloseable {

	/** A link could not be opened or an address could not be bound. */
	public static final Code LINK_FAILED = Code.warning("link-failed",
			"A link to another wisteriapost process could not be opened.");

	/**
	 * Maximum size of a frame: a chunk or bundle of one megabyte and its headers.
	 */
	public static final int MAX_FRAME_BYTES = 4 << 20;

	private static final int LENGTH_BYTES = 4;

	private static final int CONNECT_TIMEOUT_MILLIS = 1000;

	private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(256 << 10, 1 << 20);

	private final EventLoopGroup group;

	private final Optional<Supplier<LinkTls>> tls;

	private final Map<EventLoop, HeartbeatTimer> heartbeatTimers = new ConcurrentHashMap<>();

	private Links(EventLoopGroup group, Optional<Supplier<LinkTls>> tls) {
		this.group = group;
		this.tls = tls;
	}

	/**
	 * Returns links without TLS.
	 */
	public static Links plain(int threads) {
		return new Links(group(threads), Optional.empty());
	}

	/**
	 * Returns links under mutual TLS.
	 * @param tls called for each new link, so that keys can be replaced without a restart
	 */
	public static Links secured(int threads, Supplier<LinkTls> tls) {
		return new Links(group(threads), Optional.of(tls));
	}

	/**
	 * Accepts links at an address; port 0 selects a free one.
	 */
	public LinkServer listen(InetSocketAddress address, LinkHandler handler) {
		ChannelFuture bound = new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
			.childHandler(new Pipeline(handler, true, new CompletableFuture<>()))
			.bind(address)
			.awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw CodedException.of(LINK_FAILED, address + ": " + bound.cause().getMessage(), bound.cause());
		}
		return new LinkServer(bound.channel());
	}

	/**
	 * Opens a link. The future completes after the handler's {@code onOpen}. If the link
	 * cannot be opened, for example without a valid certificate, the future fails and the
	 * handler is not called.
	 */
	public CompletableFuture<Void> connect(InetSocketAddress address, LinkHandler handler) {
		CompletableFuture<Void> future = new CompletableFuture<>();
		new Bootstrap().group(this.group)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
			.handler(new Pipeline(handler, false, future))
			.connect(address)
			.addListener((done) -> {
				if (!done.isSuccess()) {
					future.completeExceptionally(
							CodedException.of(LINK_FAILED, address + ": " + done.cause().getMessage(), done.cause()));
				}
			});
		return future;
	}

	@Override
	public void close() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	private static EventLoopGroup group(int threads) {
		return new MultiThreadIoEventLoopGroup(threads, new DefaultThreadFactory("link", true),
				NioIoHandler.newFactory());
	}

	private final class Pipeline extends ChannelInitializer<SocketChannel> {

		private final LinkHandler handler;

		private final boolean server;

		private final CompletableFuture<Void> opened;

		private Pipeline(LinkHandler handler, boolean server, CompletableFuture<Void> opened) {
			this.handler = handler;
			this.server = server;
			this.opened = opened;
		}

		@Override
		protected void initChannel(SocketChannel channel) {
			Links.this.tls.map(Supplier::get).ifPresent((contexts) -> secure(channel, contexts));
			HeartbeatTimer heartbeatTimer = Links.this.heartbeatTimers.computeIfAbsent(channel.eventLoop(),
					HeartbeatTimer::new);
			channel.pipeline()
				.addLast(new LinkKeepAlive(heartbeatTimer))
				.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
				.addLast(new ProtobufDecoder(Frame.getDefaultInstance()))
				.addLast(new LengthFieldPrepender(LENGTH_BYTES))
				.addLast(new ProtobufEncoder())
				.addLast(new LinkChannel(this.handler, this.opened));
		}

		private void secure(Channel channel, LinkTls contexts) {
			channel.pipeline()
				.addLast((this.server ? contexts.server() : contexts.client()).newHandler(channel.alloc()));
		}

	}

}
