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
 * The answer to one caller: either one {@link Refusal}, one whole answer, or a head, data
 * and an end. Every method may be called from any thread and returns at once; bytes are
 * written on the connection's I/O thread.
 *
 * What waits for a slow caller is bounded: without the bound a few stalled phones hold
 * their answers in the heap until every other caller of this entry fails. Past it the
 * answer is cut.
 */
public final class CallerAnswer implements AnswerSink {

	private final HttpServerExchange exchange;

	private final String requestId;

	private final long maxUnsentBytes;

	private final boolean fractions;

	private final Queue<ByteBuffer> queue = new ArrayDeque<>();

	private long unsent;

	private boolean headed;

	private boolean ended;

	// Apart from ended: an answer that is cut before its queued bytes are written must
	// not look like one that has ended with none.
	private boolean cut;

	private StreamSinkChannel channel;

	private boolean closing;

	CallerAnswer(HttpServerExchange exchange, String requestId, long maxUnsentBytes) {
		this(exchange, requestId, maxUnsentBytes, false);
	}

	private CallerAnswer(HttpServerExchange exchange, String requestId, long maxUnsentBytes, boolean fractions) {
		this.exchange = exchange;
		this.requestId = requestId;
		this.maxUnsentBytes = maxUnsentBytes;
		this.fractions = fractions;
	}

	/**
	 * Returns an answer to a caller that understands fractions of a second in
	 * {@code Retry-After}.
	 * @param maxUnsentBytes what may wait for a slow caller
	 */
	public static CallerAnswer withFractions(HttpServerExchange exchange, String requestId, long maxUnsentBytes) {
		return new CallerAnswer(exchange, requestId, maxUnsentBytes, true);
	}

	@Override
	public void refuse(Refusal refusal) {
		synchronized (this) {
			if (this.headed || this.ended) {
				cut();
				return;
			}
			this.headed = true;
			this.ended = true;
		}
		onIoThread(() -> send(refusal));
	}

	@Override
	public void whole(int status, List<Map.Entry<String, String>> headers, String weights, byte[] body) {
		synchronized (this) {
			if (this.headed || this.ended) {
				return;
			}
			this.headed = true;
			this.ended = true;
			add(body);
		}
		onIoThread(() -> {
			head(status, headers, weights, Outcome.RAN);
			this.exchange.setResponseContentLength(body.length);
			flush();
		});
	}

	@Override
	public void start(int status, List<Map.Entry<String, String>> headers, String weights) {
		synchronized (this) {
			if (this.headed) {
				return;
			}
			this.headed = true;
		}
		onIoThread(() -> head(status, headers, weights, Outcome.RAN));
	}

	@Override
	public boolean data(byte[] data) {
		synchronized (this) {
			if (this.ended) {
				return true;
			}
			add(data);
			if (this.unsent > this.maxUnsentBytes) {
				cut();
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
	 * Ends the answer visibly: the connection is reset, so that no client can take a part
	 * for the whole, whatever framing it understands.
	 */
	public void cut() {
		synchronized (this) {
			this.ended = true;
			this.cut = true;
			this.queue.clear();
		}
		onIoThread(this::reset);
	}

	// Writing nothing looks like a full socket, so nothing is not queued.
	private void add(byte[] data) {
		if (data.length > 0) {
			this.unsent += data.length;
			this.queue.add(ByteBuffer.wrap(data));
		}
	}

	// Load: some hundred events a second that come from runners on this very thread. Harm
	// prevented: queued, each costs another turn of the selector.
	private void onIoThread(Runnable task) {
		if (Thread.currentThread() == this.exchange.getIoThread()) {
			task.run();
			return;
		}
		this.exchange.getIoThread().execute(task);
	}

	private void send(Refusal refusal) {
		if (this.exchange.isResponseStarted() || this.exchange.isComplete()) {
			reset();
			return;
		}
		this.exchange.setStatusCode(refusal.status());
		common(refusal.outcome());
		this.exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		if (refusal.retryAfterMillis() > 0) {
			this.exchange.getResponseHeaders()
				.put(Headers.RETRY_AFTER,
						this.fractions ? refusal.retryAfterFraction() : Long.toString(refusal.retryAfterSeconds()));
			this.exchange.getResponseHeaders()
				.put(new HttpString(CallerHeaders.RETRY_AFTER_MILLIS), refusal.retryAfterMillis());
		}
		this.exchange.getResponseSender().send(ByteBuffer.wrap(refusal.json(this.requestId)));
	}

	private void head(int status, List<Map.Entry<String, String>> headers, String weights, Outcome outcome) {
		if (this.exchange.isResponseStarted() || this.exchange.isComplete()) {
			return;
		}
		this.exchange.setStatusCode(status);
		headers.forEach(
				(header) -> this.exchange.getResponseHeaders().add(new HttpString(header.getKey()), header.getValue()));
		common(outcome);
		if (!weights.isEmpty()) {
			this.exchange.getResponseHeaders().put(new HttpString(CallerHeaders.WEIGHTS), weights);
		}
	}

	private void common(Outcome outcome) {
		this.exchange.getResponseHeaders().put(new HttpString(CallerHeaders.OUTCOME), outcome.text());
		this.exchange.getResponseHeaders().put(new HttpString(CallerHeaders.REQUEST_ID), this.requestId);
	}

	private void flush() {
		if (this.exchange.isComplete() || this.closing || isCut()) {
			return;
		}
		try {
			write();
		}
		catch (IOException | IllegalStateException ex) {
			reset();
		}
	}

	private void write() throws IOException {
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
		this.channel.getWriteSetter().set((ChannelListener<StreamSinkChannel>) (same) -> finish());
		this.channel.shutdownWrites();
		finish();
	}

	private void finish() {
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
		this.unsent -= count;
		if (!buffer.hasRemaining()) {
			this.queue.remove(buffer);
		}
	}

	// Looked at together with the queue: the last data and the end may both come between
	// the look at an empty queue and this one, and an answer ended there would lack its
	// tail but look whole.
	private synchronized boolean isEnded() {
		return this.ended && !this.cut && this.queue.isEmpty();
	}

	private synchronized boolean isCut() {
		return this.cut;
	}

	private void reset() {
		this.closing = true;
		try {
			this.exchange.getConnection().setOption(Options.CLOSE_ABORT, true);
		}
		catch (IOException | IllegalArgumentException | UnsupportedOperationException ex) {
			// The close below is visible without it: the answer has no end.
		}
		IoUtils.safeClose(this.exchange.getConnection());
	}

}
