package org.wisteriapost.protocol.link;

import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import org.wisteriapost.protocol.wire.Frame;

/**
 * Sends a heartbeat about every {@link HeartbeatTimer#INTERVAL_MILLIS} on a link without
 * other traffic, and closes the link when nothing was received for
 * {@link #IDLE_TIMEOUT_MILLIS}.
 *
 * A connection can stall without being closed and look open to the kernel for many
 * minutes, while requests over it are neither answered nor rejected. Each side sends at
 * least twice within the timeout, so a single late heartbeat does not close the link. Any
 * received bytes count, so a large frame that arrives slowly keeps the link open.
 */
final class LinkKeepAlive extends ChannelDuplexHandler {

	private static final long IDLE_TIMEOUT_MILLIS = 3000;

	// A write within this time replaces the heartbeat.
	private static final long RECENT_WRITE_MILLIS = 250;

	private static final Frame HEARTBEAT = Frame.getDefaultInstance();

	private final HeartbeatTimer heartbeats;

	private ChannelHandlerContext context;

	private long lastWriteNanos;

	private long lastReadNanos;

	LinkKeepAlive(HeartbeatTimer heartbeats) {
		this.heartbeats = heartbeats;
	}

	@Override
	public void channelActive(ChannelHandlerContext active) {
		this.context = active;
		this.lastReadNanos = System.nanoTime();
		this.lastWriteNanos = this.lastReadNanos;
		this.heartbeats.add(this);
		active.fireChannelActive();
	}

	@Override
	public void channelInactive(ChannelHandlerContext inactive) {
		this.heartbeats.remove(this);
		inactive.fireChannelInactive();
	}

	@Override
	public void channelRead(ChannelHandlerContext from, Object message) {
		this.lastReadNanos = System.nanoTime();
		from.fireChannelRead(message);
	}

	@Override
	public void write(ChannelHandlerContext to, Object message, ChannelPromise promise) {
		this.lastWriteNanos = System.nanoTime();
		to.write(message, promise);
	}

	void check(long nowNanos) {
		long leftNanos = remainingNanos(nowNanos);
		if (leftNanos <= 0) {
			this.context.close();
			return;
		}
		if (leftNanos < TimeUnit.MILLISECONDS.toNanos(HeartbeatTimer.INTERVAL_MILLIS)) {
			this.context.executor().schedule(this::closeIfIdle, leftNanos, TimeUnit.NANOSECONDS);
		}
		if (nowNanos - this.lastWriteNanos > TimeUnit.MILLISECONDS.toNanos(RECENT_WRITE_MILLIS)) {
			this.context.channel().writeAndFlush(HEARTBEAT);
		}
	}

	private void closeIfIdle() {
		if (remainingNanos(System.nanoTime()) <= 0) {
			this.context.close();
		}
	}

	private long remainingNanos(long nowNanos) {
		return this.lastReadNanos + TimeUnit.MILLISECONDS.toNanos(IDLE_TIMEOUT_MILLIS) - nowNanos;
	}

}
