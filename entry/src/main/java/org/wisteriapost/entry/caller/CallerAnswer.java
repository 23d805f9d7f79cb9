package org.wisteriapost.entry.caller;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Queue;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.wisteriapost.protocol.CallerHeaders;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.channels.StreamSinkChannel;

/**
 * The answer to one caller over HTTP. Every method may be called from any thread and does
 * not block; bytes are written on the connection's I/O thread.
 *
 * The bytes that are queued for a slow caller are limited, so that a few callers that
 * stop reading cannot exhaust the heap for all others. Past the limit the connection is
 * reset.
 */
public final class CallerAnswer implements AnswerSink {

	private final HttpServerExchange exchange;

	private final String requestId;

	private final long maxUnsentBytes;

	private final boolean fractionalRetryAfter;

	private final Queue<ByteBuffer> queue = new ArrayDeque<>();

	private long unsentBytes;

	private boolean headSent;

	private boolean ended;

	// Distinct from ended: an aborted answer drops its queued bytes, and must not be
	// completed as if there had been none.
	private boolean aborted;

	private StreamSinkChannel channel;

	private boolean closing;

	CallerAnswer(HttpServerExchange exchange, String requestId, long maxUnsentBytes) {
		this(exchange, requestId, maxUnsentBytes, false);
	}

	private CallerAnswer(HttpServerExchange exchange, String requestId, long maxUnsentBytes,
			boolean fractionalRetryAfter) {
		this.exchange = exchange;
		this.requestId = requestId;
		this.maxUnsentBytes = maxUnsentBytes;
		this.fractionalRetryAfter = fractionalRetryAfter;
	}

	/**
	 * Returns an answer to a caller that understands fractional seconds in
	 * {@code Retry-After}.
	 * @param maxUnsentBytes the limit of the bytes queued for a slow caller
	 */
	public static CallerAnswer withFractionalRetryAfter(HttpServerExchange exchange, String requestId,
			long maxUnsentBytes) {
		return new CallerAnswer(exchange, requestId, maxUnsentBytes, true);
	}

	@Override
	public void refuse(Refusal refusal) {
		synchronized (this) {
			if (this.headSent || this.ended) {
				abort();
				return;
			}
			this.headSent = true;
			this.ended = true;
		}
		onIoThread(() -> sendRefusal(refusal));
	}

	@Override
	public void complete(int status, List<Map.Entry<String, String>> headers, String weights, byte[] body) {
		synchronized (this) {
			if (this.headSent || this.ended) {
				return;
			}
			this.headSent = true;
			this.ended = true;
			enqueue(body);
		}
		onIoThread(() -> {
			sendHead(status, headers, weights, Outcome.RAN);
			this.exchange.setResponseContentLength(body.length);
			flush();
		});
	}

	@Override
	public void start(int status, List<Map.Entry<String, String>> headers, String weights) {
		synchronized (this) {
			if (this.headSent) {
				return;
			}
			this.headSent = true;
		}
		onIoThread(() -> {
			sendHead(status, headers, weights, Outcome.RAN);
			// The server would send no chunks on a connection that it closes. The end of
			// such an answer looks as the end of a killed process does.
			if (this.exchange.isHttp11() && !this.exchange.isResponseStarted()) {
				this.exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
			}
		});
	}

	@Override
	public boolean write(byte[] data) {
		synchronized (this) {
			if (this.ended) {
				return true;
			}
			enqueue(data);
			if (this.unsentBytes > this.maxUnsentBytes) {
				abort();
				return false;
			}
		}
		onIoThread(this::flush);
		return true;
	}

	@Override
	public void end() {
		synchronized (this) {
			if (this.ended) {
				return;
			}
			this.ended = true;
		}
		onIoThread(this::flush);
	}

	/**
	 * Aborts the answer by resetting the connection, so that no client can take a partial
	 * answer for a complete one.
	 */
	public void abort() {
		synchronized (this) {
			this.ended = true;
			this.aborted = true;
			this.queue.clear();
		}
		onIoThread(this::reset);
	}

	// An empty buffer is not queued: writing it returns 0, as a full socket does.
	private void enqueue(byte[] data) {
		if (data.length > 0) {
			this.unsentBytes += data.length;
			this.queue.add(ByteBuffer.wrap(data));
		}
	}

	// Runs the task directly if possible: runners send hundreds of events a second on
	// this thread, and queueing each would cost an additional wake-up of the selector.
	private void onIoThread(Runnable task) {
		if (Thread.currentThread() == this.exchange.getIoThread()) {
			task.run();
			return;
		}
		this.exchange.getIoThread().execute(task);
	}

	private void sendRefusal(Refusal refusal) {
		if (this.exchange.isResponseStarted() || this.exchange.isComplete()) {
			reset();
			return;
		}
		this.exchange.setStatusCode(refusal.status());
		addCommonHeaders(refusal.outcome());
		this.exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		if (refusal.retryAfterMillis() > 0) {
			this.exchange.getResponseHeaders()
				.put(Headers.RETRY_AFTER, this.fractionalRetryAfter ? refusal.retryAfterFractionalSeconds()
						: Long.toString(refusal.retryAfterSeconds()));
			this.exchange.getResponseHeaders()
				.put(new HttpString(CallerHeaders.RETRY_AFTER_MILLIS), refusal.retryAfterMillis());
		}
		this.exchange.getResponseSender().send(ByteBuffer.wrap(refusal.json(this.requestId)));
	}

	private void sendHead(int status, List<Map.Entry<String, String>> headers, String weights, Outcome outcome) {
		if (this.exchange.isResponseStarted() || this.exchange.isComplete()) {
			return;
		}
		this.exchange.setStatusCode(status);
		headers.forEach(
				(header) -> this.exchange.getResponseHeaders().add(new HttpString(header.getKey()), header.getValue()));
		addCommonHeaders(outcome);
		if (!weights.isEmpty()) {
			this.exchange.getResponseHeaders().put(new HttpString(CallerHeaders.WEIGHTS), weights);
		}
	}

	private void addCommonHeaders(Outcome outcome) {
		this.exchange.getResponseHeaders().put(new HttpString(CallerHeaders.OUTCOME), outcome.text());
		this.exchange.getResponseHeaders().put(new HttpString(CallerHeaders.REQUEST_ID), this.requestId);
	}

	private void flush() {
		if (this.exchange.isComplete() || this.closing || isAborted()) {
			return;
		}
		try {
			writeQueued();
		}
		catch (IOException | IllegalStateException ex) {
			reset();
		}
	}

	private void writeQueued() throws IOException {
		if (this.channel == null) {
			this.channel = this.exchange.getResponseChannel();
			this.channel.getWriteSetter().set((ChannelListener<StreamSinkChannel>) (same) -> flush());
		}
		ByteBuffer next = next();
		while (next != null) {
			int count = this.channel.write(next);
			if (count == 0) {
				this.channel.resumeWrites();
				return;
			}
			written(count, next);
			next = next();
		}
		if (!isEnded()) {
			if (this.channel.flush()) {
				this.channel.suspendWrites();
			}
			else {
				this.channel.resumeWrites();
			}
			return;
		}
		this.closing = true;
		this.channel.getWriteSetter().set((ChannelListener<StreamSinkChannel>) (same) -> flushAndEnd());
		this.channel.shutdownWrites();
		flushAndEnd();
	}

	private void flushAndEnd() {
		try {
			if (!this.channel.flush()) {
				this.channel.resumeWrites();
				return;
			}
			this.channel.suspendWrites();
			this.exchange.endExchange();
		}
		catch (IOException ex) {
			reset();
		}
	}

	private synchronized ByteBuffer next() {
		return this.queue.peek();
	}

	private synchronized void written(int count, ByteBuffer buffer) {
		this.unsentBytes -= count;
		if (!buffer.hasRemaining()) {
			this.queue.remove(buffer);
		}
	}

	// Checks the queue again under the same lock: the last data and the end may both have
	// come since the queue was found empty, and the answer would be ended without them.
	private synchronized boolean isEnded() {
		return this.ended && !this.aborted && this.queue.isEmpty();
	}

	private synchronized boolean isAborted() {
		return this.aborted;
	}

	private void reset() {
		this.closing = true;
		try {
			this.exchange.getConnection().setOption(Options.CLOSE_ABORT, true);
		}
		catch (IOException | IllegalArgumentException | UnsupportedOperationException ex) {
			// Without the reset the caller still sees a closed connection and no end.
		}
		IoUtils.safeClose(this.exchange.getConnection());
	}

}
