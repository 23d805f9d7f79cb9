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
 * Makes and takes links. One instance serves a whole process.
 */
public final class Links implements AutoCloseable {

	/** A link could not be made or the address not be taken. */
	public static final Code LINK_FAILED = Code.warning("link-failed",
			"A link to another wisteriapost process could not be opened.");

	/**
	 * The most bytes in a frame: a chunk or bundle of one megabyte with room for its
	 * headers.
	 */
	public static final int MAX_FRAME_BYTES = 4 << 20;

	private static final int LENGTH_BYTES = 4;

	private static final int CONNECT_MILLIS = 1000;

	private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(256 << 10, 1 << 20);

	private final EventLoopGroup group;

	private final Optional<Supplier<LinkTls>> tls;

	private final Map<EventLoop, Heartbeats> heartbeats = new ConcurrentHashMap<>();

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
	 * @param tls asked for each new link, so that keys are replaced without a restart
	 */
	public static Links secured(int threads, Supplier<LinkTls> tls) {
		return new Links(group(threads), Optional.of(tls));
	}

	/**
	 * Takes links at an address; port 0 chooses a free one.
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
	 * Makes a link; the handler has heard {@code onOpen} when the future completes. A
	 * link that never opens, also for want of a valid certificate, fails the future and
	 * is not heard of by the handler.
	 */
	public CompletableFuture<Void> connect(InetSocketAddress address, LinkHandler handler) {
		CompletableFuture<Void> future = new CompletableFuture<>();
		new Bootstrap().group(this.group)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
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
			Links.this.tls.map(Supplier::get).ifPresent((both) -> secure(channel, both));
			Heartbeats ofThread = Links.this.heartbeats.computeIfAbsent(channel.eventLoop(), Heartbeats::new);
			channel.pipeline()
				.addLast(new LinkLife(ofThread))
				.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
				.addLast(new ProtobufDecoder(Frame.getDefaultInstance()))
				.addLast(new LengthFieldPrepender(LENGTH_BYTES))
				.addLast(new ProtobufEncoder())
				.addLast(new LinkChannel(this.handler, this.opened));
		}

		private void secure(Channel channel, LinkTls both) {
			channel.pipeline().addLast((this.server ? both.server() : both.client()).newHandler(channel.alloc()));
		}

	}

}
