package org.wisteriapost.standin;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

import io.undertow.server.HttpServerExchange;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * The body of one answer; pieces may be pushed from any thread and are written, flushed,
 * by the connection's own.
 */
final class BodyStream {

	// A streamed answer of unknown length counts as half sent after this many pieces.
	private static final int HALF_OF_A_STREAM = 3;

	private final HttpServerExchange exchange;

	private final long length;

	private final Fault.Kind fault;

	private final Deque<ByteBuffer> waiting = new ArrayDeque<>();

	private StreamSinkChannel channel;

	private boolean ended;

	private boolean broken;

	private boolean corrupted;

	private long pushedBytes;

	private int pushedPieces;

	private BodyStream(HttpServerExchange exchange, long length, Fault.Kind fault) {
		this.exchange = exchange;
		this.length = length;
		this.fault = fault;
	}

	static BodyStream of(HttpServerExchange exchange, long length, Fault.Kind fault) {
		return new BodyStream(exchange, length, fault);
	}

	/** Returns whether nobody is there to read the rest. */
	boolean gone() {
		return !this.exchange.getConnection().isOpen();
	}

	void push(byte[] piece) {
		this.exchange.getIoThread().execute(() -> add(piece));
	}

	void end() {
		this.exchange.getIoThread().execute(() -> {
			this.ended = true;
			write();
		});
	}

	private void add(byte[] piece) {
		if (this.broken) {
			return;
		}
		byte[] sent = piece;
		if (this.fault == Fault.Kind.CORRUPT && !this.corrupted && piece.length > 0) {
			this.corrupted = true;
			sent = Responder.corrupted(piece);
		}
		if (breaksHere(sent.length)) {
			this.waiting.add(ByteBuffer.wrap(Arrays.copyOf(sent, sent.length / 2)));
			write();
			this.broken = true;
			if (this.fault == Fault.Kind.CUT) {
				IoUtils.safeClose(this.exchange.getConnection());
			}
			return;
		}
		this.pushedBytes += sent.length;
		this.pushedPieces++;
		this.waiting.add(ByteBuffer.wrap(sent));
		write();
	}

	private boolean breaksHere(int bytes) {
		if (this.fault != Fault.Kind.CUT && this.fault != Fault.Kind.STALL) {
			return false;
		}
		if (this.length >= 0) {
			return this.pushedBytes + bytes > this.length / 2;
		}
		return this.pushedPieces + 1 == HALF_OF_A_STREAM;
	}

	private void write() {
		if (this.broken || !this.exchange.getConnection().isOpen()) {
			return;
		}
		try {
			if (this.channel == null) {
				this.channel = this.exchange.getResponseChannel();
				if (this.channel == null) {
					return;
				}
			}
			while (!this.waiting.isEmpty()) {
				ByteBuffer next = this.waiting.peekFirst();
				while (next.hasRemaining()) {
					if (this.channel.write(next) == 0) {
						onceWritable();
						return;
					}
				}
				this.waiting.removeFirst();
			}
			if (!this.channel.flush()) {
				onceWritable();
				return;
			}
			this.channel.suspendWrites();
			finish();
		}
		catch (IOException ex) {
			this.broken = true;
			IoUtils.safeClose(this.exchange.getConnection());
		}
	}

	private void finish() throws IOException {
		if (!this.ended) {
			return;
		}
		this.broken = true;
		this.channel.shutdownWrites();
		if (!this.channel.flush()) {
			this.channel.getWriteSetter().set((ChannelListener<StreamSinkChannel>) this::flush);
			this.channel.resumeWrites();
			return;
		}
		this.exchange.endExchange();
	}

	private void flush(StreamSinkChannel last) {
		try {
			if (last.flush()) {
				last.suspendWrites();
				this.exchange.endExchange();
			}
		}
		catch (IOException ex) {
			IoUtils.safeClose(this.exchange.getConnection());
		}
	}

	private void onceWritable() {
		this.channel.getWriteSetter().set((ChannelListener<StreamSinkChannel>) (same) -> write());
		this.channel.resumeWrites();
	}

}
