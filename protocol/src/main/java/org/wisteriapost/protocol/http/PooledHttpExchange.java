package org.wisteriapost.protocol.http;

import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSourceChannel;

/**
 * A call in progress. No other call uses its connection until it has ended.
 */
final class PooledHttpExchange implements HttpExchange {

	// A connect to a runner costs about as much as reading this.
	private static final int MAX_DISCARDED_BYTES = 64 * 1024;

	private static final Duration MAX_DISCARD_TIME = Duration.ofMillis(500);

	private final HttpCall call;

	private final HttpResponseListener listener;

	private final ConnectionPool pool;

	private final AtomicBoolean done = new AtomicBoolean();

	private volatile PooledConnection connection;

	private volatile Optional<ConnectionUse> connectionUse = Optional.empty();

	private volatile StreamSourceChannel responseChannel;

	private volatile boolean sent;

	private volatile boolean paused;

	private volatile boolean discarding;

	private int discardableBytes = MAX_DISCARDED_BYTES;

	private XnioIoThread thread;

	private volatile XnioExecutor.Key timer;

	private XnioExecutor.Key connectTimer;

	private volatile XnioExecutor.Key progressTimer;

	private volatile long sentNanos;

	private volatile long lastReadNanos;

	private volatile boolean responseStarted;

	private long maxIdleMillis = ConnectionPool.DEFAULT_MAX_IDLE_MILLIS;

	PooledHttpExchange(HttpCall call, HttpResponseListener listener, ConnectionPool pool) {
		this.call = call;
		this.listener = listener;
		this.pool = pool;
	}

	void start() {
		Optional<PooledConnection> pooled = this.pool.acquire(this.call);
		this.thread = pooled.map((idle) -> idle.connection().getIoThread()).orElseGet(this.pool::ioThread);
		Duration whole = this.call.timeouts().total();
		this.timer = schedule(whole, () -> fail(new TimeoutException("no complete response in " + whole)));
		this.thread.execute(() -> pooled.ifPresentOrElse(this::send, this::connect));
	}

	// Runs on the I/O thread, so that the timeout does not include the time until the
	// thread is free.
	private void connect() {
		if (this.done.get()) {
			return;
		}
		try {
			this.pool.connect(this.thread, this.call.target(), new Step<>(this::onConnected));
		}
		catch (IllegalArgumentException ex) {
			fail(ex);
			return;
		}
		this.connectTimer = schedule(this.call.timeouts().connect(), this::onConnectTimeout);
	}

	private void onConnectTimeout() {
		if (this.connection == null) {
			fail(new TimeoutException("no connection in " + this.call.timeouts().connect().toMillis() + " ms"));
		}
	}

	private void onConnected(PooledConnection established) {
		if (this.connectTimer != null) {
			this.connectTimer.remove();
		}
		if (!this.done.get()) {
			this.listener.onConnected();
		}
		send(established);
	}

	// A timeout for the whole response alone would either abort a large response that is
	// still arriving or detect a stalled one too late. This timeout restarts with each
	// received chunk; the one for the whole response bounds a slow trickle.
	private void checkProgress() {
		if (this.done.get()) {
			return;
		}
		HttpTimeouts times = this.call.timeouts();
		long now = System.nanoTime();
		long remaining = this.sentNanos + times.responseStart().toNanos() - now;
		if (this.responseStarted) {
			remaining = Math.max(remaining, this.lastReadNanos + times.readIdle().toNanos() - now);
		}
		if (remaining > 0) {
			this.progressTimer = schedule(Duration.ofNanos(remaining), this::checkProgress);
		}
		else if (this.paused) {
			// The listener has paused reading.
			this.progressTimer = schedule(times.readIdle(), this::checkProgress);
		}
		else {
			fail(new TimeoutException(this.responseStarted ? "no further data in " + times.readIdle()
					: "no response in " + times.responseStart()));
		}
	}

	private XnioExecutor.Key schedule(Duration wait, Runnable task) {
		return PeerTimeout.schedule(this.thread, wait, task);
	}

	@Override
	public void cancel() {
		fail(new Cancelled());
	}

	@Override
	public Optional<ConnectionUse> connectionUse() {
		return this.connectionUse;
	}

	@Override
	public void discardRest() {
		this.discarding = true;
		schedule(MAX_DISCARD_TIME, this::cancel);
	}

	@Override
	public void pause() {
		this.paused = true;
	}

	@Override
	public void resume() {
		this.paused = false;
		StreamSourceChannel channel = this.responseChannel;
		if (channel != null) {
			channel.getIoThread().execute(() -> read(channel));
		}
	}

	private void send(PooledConnection to) {
		this.connection = to;
		if (this.done.get()) {
			IoUtils.safeClose(to.connection());
			return;
		}
		ConnectionUse use = to.beginCall(this.call);
		this.connectionUse = Optional.of(use);
		this.call.series().ifPresent((series) -> series.add(use));
		URI target = this.call.target();
		ClientRequest request = new ClientRequest().setMethod(new HttpString(this.call.method()))
			.setPath(this.call.requestTarget());
		request.getRequestHeaders().put(Headers.HOST, target.getAuthority());
		this.call.headers().forEach((name, value) -> request.getRequestHeaders().put(new HttpString(name), value));
		if (this.call.body().length > 0 || !"GET".equals(this.call.method())) {
			request.getRequestHeaders().put(Headers.CONTENT_LENGTH, this.call.body().length);
		}
		this.sent = true;
		this.sentNanos = System.nanoTime();
		if (this.call.timeouts().hasProgressTimeouts()) {
			checkProgress();
		}
		to.connection().sendRequest(request, new Step<>(this::onExchangeStarted));
	}

	private void onExchangeStarted(ClientExchange exchange) {
		exchange.setResponseListener(new Step<>(this::onResponse));
		new RequestBody(exchange.getRequestChannel(), this.call.body(), this::fail).write();
	}

	private void onResponse(ClientExchange exchange) {
		ResponseHead head = ResponseHead.of(exchange.getResponse());
		if (head.interim()) {
			fail(new IOException("interim response with status " + head.status()));
			return;
		}
		if (this.call.isForOtherCall(head.headers())) {
			fail(new IOException("response to another call"));
			return;
		}
		this.maxIdleMillis = head.maxIdleMillis();
		onBytesReceived();
		this.responseChannel = exchange.getResponseChannel();
		if (!this.done.get()) {
			this.listener.onHead(head.status(), head.headers(), head.all());
			if (this.connection.statedBodyAbsent()) {
				endWithoutBody();
			}
			else {
				read(this.responseChannel);
			}
		}
	}

	// The library would wait for the body that the head states.
	private void endWithoutBody() {
		try {
			this.connection.endResponse();
			end(false);
		}
		catch (IOException ex) {
			fail(ex);
		}
	}

	private void read(StreamSourceChannel channel) {
		if (this.done.get()) {
			return;
		}
		try (PooledByteBuffer pooled = this.pool.buffers().allocate()) {
			ByteBuffer buffer = pooled.getBuffer();
			while (!this.done.get()) {
				if (this.paused) {
					channel.suspendReads();
					return;
				}
				buffer.clear();
				int count = channel.read(buffer);
				if (count < 0) {
					end(this.connection.endResponse());
					return;
				}
				if (count == 0) {
					channel.getReadSetter().set((ChannelListener<StreamSourceChannel>) this::read);
					channel.resumeReads();
					return;
				}
				onBytesReceived();
				if (exceedsDiscarded(count)) {
					fail(new Cancelled());
					return;
				}
				this.connection.bodyReceived(count);
				byte[] data = new byte[count];
				buffer.flip().get(data);
				this.listener.onData(data);
			}
		}
		catch (IOException ex) {
			fail(ex);
		}
	}

	private boolean exceedsDiscarded(int count) {
		if (!this.discarding) {
			return false;
		}
		this.discardableBytes -= count;
		return this.discardableBytes < 0;
	}

	private void onBytesReceived() {
		this.lastReadNanos = System.nanoTime();
		this.responseStarted = true;
	}

	private void end(boolean reusable) {
		if (this.done.compareAndSet(false, true)) {
			stopTimers();
			if (reusable) {
				long limitMillis = this.call.maxKeepIdle().map(Duration::toMillis).orElse(Long.MAX_VALUE);
				this.pool.release(this.call.target(), this.connection, Math.min(limitMillis, this.maxIdleMillis));
			}
			else {
				ConnectionPool.abort(this.connection.connection());
			}
			this.listener.onEnd();
		}
	}

	private void fail(Throwable cause) {
		if (this.done.compareAndSet(false, true)) {
			stopTimers();
			PooledConnection used = this.connection;
			if (used != null) {
				ConnectionPool.abort(used.connection());
			}
			if (!(cause instanceof Cancelled)) {
				// Idle connections to the same host have probably failed as well.
				this.pool.closeIdle(this.call.target());
			}
			this.listener.onFailure(this.sent, cause);
		}
	}

	private void stopTimers() {
		this.timer.remove();
		XnioExecutor.Key progress = this.progressTimer;
		if (progress != null) {
			progress.remove();
		}
	}

	/** The call was cancelled, which does not indicate a failure of the server. */
	private static final class Cancelled extends IOException {

		private static final long serialVersionUID = 1;

		private Cancelled() {
			super("cancelled");
		}

	}

	/** An asynchronous step whose failure fails the call. */
	private final class Step<T> implements ClientCallback<T> {

		private final java.util.function.Consumer<T> next;

		private Step(java.util.function.Consumer<T> next) {
			this.next = next;
		}

		@Override
		public void completed(T result) {
			try {
				this.next.accept(result);
			}
			catch (RuntimeException ex) {
				if (PooledHttpExchange.this.done.get()) {
					throw ex;
				}
				// Otherwise the call would hold its connection until its timeout.
				fail(ex);
			}
		}

		@Override
		public void failed(IOException ex) {
			fail(ex);
		}

	}

}
