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
 * Writes the body of one response. Chunks may be pushed from any thread; they are written
 * and flushed on the I/O thread of the connection.
 */
final class ResponseBodyStream {

	// The chunk, counted from 1, within which a response of unknown length is cut or
	// stalled by an injected fault.
	private static final int FAULT_CHUNK_NUMBER = 3;

	private final HttpServerExchange exchange;

	private final long length;

	private final Fault.Kind fault;

	private final Deque<ByteBuffer> pendingWrites = new ArrayDeque<>();

	private StreamSinkChannel channel;

	private boolean ended;

	private boolean writesStopped;

	private boolean corrupted;

	private long pushedBytes;

	private int pushedChunks;

	private ResponseBodyStream(HttpServerExchange exchange, long length, Fault.Kind fault) {
		this.exchange = exchange;
		this.length = length;
		this.fault = fault;
	}

	static ResponseBodyStream of(HttpServerExchange exchange, long length, Fault.Kind fault) {
		return new ResponseBodyStream(exchange, length, fault);
	}

	/** Returns whether the client has closed the connection. */
	boolean isDisconnected() {
		return !this.exchange.getConnection().isOpen();
	}

	void push(byte[] chunk) {
		this.exchange.getIoThread().execute(() -> add(chunk));
	}

	void end() {
		this.exchange.getIoThread().execute(() -> {
			this.ended = true;
			write();
		});
	}

	private void add(byte[] chunk) {
		if (this.writesStopped) {
			return;
		}
		byte[] sent = chunk;
		if (this.fault == Fault.Kind.CORRUPT && !this.corrupted && chunk.length > 0) {
			this.corrupted = true;
			sent = Responder.corrupted(chunk);
		}
		if (isFaultPoint(sent.length)) {
			this.pendingWrites.add(ByteBuffer.wrap(Arrays.copyOf(sent, sent.length / 2)));
			write();
			this.writesStopped = true;
			if (this.fault == Fault.Kind.CUT) {
				IoUtils.safeClose(this.exchange.getConnection());
			}
			return;
		}
		this.pushedBytes += sent.length;
		this.pushedChunks++;
		this.pendingWrites.add(ByteBuffer.wrap(sent));
		write();
	}

	private boolean isFaultPoint(int bytes) {
		if (this.fault != Fault.Kind.CUT && this.fault != Fault.Kind.STALL) {
			return false;
		}
		if (this.length >= 0) {
			return this.pushedBytes + bytes > this.length / 2;
		}
		return this.pushedChunks + 1 == FAULT_CHUNK_NUMBER;
	}

	private void write() {
		if (this.writesStopped || !this.exchange.getConnection().isOpen()) {
			return;
		}
		try {
			if (this.channel == null) {
				this.channel = this.exchange.getResponseChannel();
				if (this.channel == null) {
					return;
				}
			}
			while (!this.pendingWrites.isEmpty()) {
				ByteBuffer next = this.pendingWrites.peekFirst();
				while (next.hasRemaining()) {
					if (this.channel.write(next) == 0) {
						awaitWritable();
						return;
					}
				}
				this.pendingWrites.removeFirst();
			}
			if (!this.channel.flush()) {
				awaitWritable();
				return;
			}
			this.channel.suspendWrites();
			finish();
		}
		catch (IOException ex) {
			this.writesStopped = true;
			IoUtils.safeClose(this.exchange.getConnection());
		}
	}

	private void finish() throws IOException {
		if (!this.ended) {
			return;
		}
		this.writesStopped = true;
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

	private void awaitWritable() {
		this.channel.getWriteSetter().set((ChannelListener<StreamSinkChannel>) (same) -> write());
		this.channel.resumeWrites();
	}

}
