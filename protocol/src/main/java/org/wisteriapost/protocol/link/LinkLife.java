package org.wisteriapost.protocol.link;

import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import org.wisteriapost.protocol.wire.Frame;

/**
 * Says something on one link at least every {@link Heartbeats#INTERVAL_MILLIS} or little
 * later, and closes it when nothing was heard for {@link #SILENT_MILLIS}.
 *
 * Failure: a link stalls without closing and looks open to the kernel for many minutes.
 * Symptom: what is sent over it is neither answered nor refused. Both sides say something
 * at least twice in the time after which silence closes the link, so one late word does
 * not. Bytes count, not frames: a large frame on a narrow link is no silence.
 */
final class LinkLife extends ChannelDuplexHandler {

	private static final long SILENT_MILLIS = 3000;

	// What was said this shortly ago does for this turn's heartbeat.
	private static final long JUST_SAID_MILLIS = 250;

	private static final Frame HEARTBEAT = Frame.getDefaultInstance();

	private final Heartbeats heartbeats;

	private ChannelHandlerContext context;

	private long saidNanos;

	private long heardNanos;

	LinkLife(Heartbeats heartbeats) {
		this.heartbeats = heartbeats;
	}

	@Override
	public void channelActive(ChannelHandlerContext active) {
		this.context = active;
		this.heardNanos = System.nanoTime();
		this.saidNanos = this.heardNanos;
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
		this.heardNanos = System.nanoTime();
		from.fireChannelRead(message);
	}

	@Override
	public void write(ChannelHandlerContext to, Object message, ChannelPromise promise) {
		this.saidNanos = System.nanoTime();
		to.write(message, promise);
	}

	void beat(long nowNanos) {
		long leftNanos = leftNanos(nowNanos);
		if (leftNanos <= 0) {
			this.context.close();
			return;
		}
		if (leftNanos < TimeUnit.MILLISECONDS.toNanos(Heartbeats.INTERVAL_MILLIS)) {
			this.context.executor().schedule(this::closeIfSilent, leftNanos, TimeUnit.NANOSECONDS);
		}
		if (nowNanos - this.saidNanos > TimeUnit.MILLISECONDS.toNanos(JUST_SAID_MILLIS)) {
			this.context.channel().writeAndFlush(HEARTBEAT);
		}
	}

	private void closeIfSilent() {
		if (leftNanos(System.nanoTime()) <= 0) {
			this.context.close();
		}
	}

	private long leftNanos(long nowNanos) {
		return this.heardNanos + TimeUnit.MILLISECONDS.toNanos(SILENT_MILLIS) - nowNanos;
	}

}
