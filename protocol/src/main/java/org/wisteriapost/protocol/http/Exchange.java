package org.wisteriapost.protocol.http;

import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * One call in progress over one connection, which no other call uses until it has ended.
 */
final class Exchange implements HttpExchange {

	private static final Pattern KEEP_ALIVE_SECONDS = Pattern.compile("timeout=(\\d+)");

	private final HttpCall call;

	private final HttpListener listener;

	private final ConnectionPool pool;

	private final AtomicBoolean done = new AtomicBoolean();

	private volatile ClientConnection connection;

	private volatile StreamSourceChannel answer;

	private volatile boolean sent;

	private volatile boolean paused;

	private volatile XnioExecutor.Key timer;

	private volatile XnioExecutor.Key connectTimer;

	private volatile XnioExecutor.Key progressTimer;

	private volatile long sentNanos;

	private volatile long heardNanos;

	private volatile boolean begun;

	private long keptOpenMillis = ConnectionPool.USUAL_IDLE_MILLIS;

	Exchange(HttpCall call, HttpListener listener, ConnectionPool pool) {
		this.call = call;
		this.listener = listener;
		this.pool = pool;
	}

	void start() {
		Duration whole = this.call.times().whole();
		this.timer = after(whole, () -> fail(new TimeoutException("no whole answer in " + whole)));
		Optional<ClientConnection> pooled = this.pool.take(this.call.target(), this.call.mostIdle());
		if (pooled.isPresent()) {
			ClientConnection reused = pooled.get();
			reused.getIoThread().execute(() -> send(reused));
			return;
		}
		this.connectTimer = after(this.call.times().connect(), this::connectLate);
		this.pool.connect(this.call.target(), new Step<>(this::send));
	}

	private void connectLate() {
		if (this.connection == null) {
			fail(new TimeoutException("no connection in " + this.call.times().connect().toMillis() + " ms"));
		}
	}

	// Failure: a limit on the whole answer alone cuts a large one that is coming, or lets
	// one that has gone silent wait as long. Pieces that come put this limit off, and the
	// one on the whole answer bounds a trickle.
	private void progress() {
		if (this.done.get()) {
			return;
		}
		HttpTimes times = this.call.times();
		long now = System.nanoTime();
		long left = this.sentNanos + times.first().toNanos() - now;
		if (this.begun) {
			left = Math.max(left, this.heardNanos + times.stall().toNanos() - now);
		}
		if (left > 0) {
			this.progressTimer = after(Duration.ofNanos(left), this::progress);
		}
		else if (this.paused) {
			// Its reader does not want more for now.
			this.progressTimer = after(times.stall(), this::progress);
		}
		else {
			fail(new TimeoutException(
					this.begun ? "no further byte in " + times.stall() : "no answer in " + times.first()));
		}
	}

	private XnioExecutor.Key after(Duration wait, Runnable task) {
		return this.pool.worker().getIoThread().executeAfter(task, wait.toNanos(), TimeUnit.NANOSECONDS);
	}

	@Override
	public void cancel() {
		fail(new Cancelled());
	}

	@Override
	public void pause() {
		this.paused = true;
	}

	@Override
	public void resume() {
		this.paused = false;
		StreamSourceChannel channel = this.answer;
		if (channel != null) {
			channel.getIoThread().execute(() -> read(channel));
		}
	}

	private void send(ClientConnection to) {
		this.connection = to;
		if (this.connectTimer != null) {
			this.connectTimer.remove();
		}
		if (this.done.get()) {
			IoUtils.safeClose(to);
			return;
		}
		if (this.connectTimer != null) {
			this.listener.onConnected();
		}
		URI target = this.call.target();
		String query = (target.getRawQuery() != null) ? "?" + target.getRawQuery() : "";
		ClientRequest request = new ClientRequest().setMethod(new HttpString(this.call.method()))
			.setPath((target.getRawPath().isEmpty() ? "/" : target.getRawPath()) + query);
		request.getRequestHeaders().put(Headers.HOST, target.getAuthority());
		this.call.headers().forEach((name, value) -> request.getRequestHeaders().put(new HttpString(name), value));
		if (this.call.body().length > 0 || !"GET".equals(this.call.method())) {
			request.getRequestHeaders().put(Headers.CONTENT_LENGTH, this.call.body().length);
		}
		this.sent = true;
		this.sentNanos = System.nanoTime();
		if (this.call.times().watchesProgress()) {
			progress();
		}
		to.sendRequest(request, new Step<>(this::exchange));
	}

	private void exchange(ClientExchange exchange) {
		exchange.setResponseListener(new Step<>(this::answer));
		write(exchange.getRequestChannel(), ByteBuffer.wrap(this.call.body()));
	}

	private void write(StreamSinkChannel channel, ByteBuffer body) {
		try {
			while (body.hasRemaining()) {
				if (channel.write(body) == 0) {
					channel.getWriteSetter().set((ChannelListener<StreamSinkChannel>) (same) -> write(same, body));
					channel.resumeWrites();
					return;
				}
			}
			channel.shutdownWrites();
			if (!channel.flush()) {
				channel.getWriteSetter().set((ChannelListener<StreamSinkChannel>) this::flush);
				channel.resumeWrites();
			}
		}
		catch (IOException ex) {
			fail(ex);
		}
	}

	private void flush(StreamSinkChannel channel) {
		try {
			if (channel.flush()) {
				channel.suspendWrites();
			}
		}
		catch (IOException ex) {
			fail(ex);
		}
	}

	private void answer(ClientExchange exchange) {
		ClientResponse response = exchange.getResponse();
		Map<String, String> headers = new HashMap<>();
		List<Map.Entry<String, String>> all = new ArrayList<>();
		response.getResponseHeaders().forEach((header) -> {
			String name = header.getHeaderName().toString();
			headers.put(name.toLowerCase(Locale.ROOT), header.getFirst());
			header.forEach((value) -> all.add(Map.entry(name, value)));
		});
		keptOpen(headers);
		heard();
		this.answer = exchange.getResponseChannel();
		if (!this.done.get()) {
			this.listener.onHead(response.getResponseCode(), headers, all);
			read(this.answer);
		}
	}

	// Half of what the other side says: a request that meets its close on the way may or
	// may not have run.
	private void keptOpen(Map<String, String> headers) {
		Matcher seconds = KEEP_ALIVE_SECONDS.matcher(headers.getOrDefault("keep-alive", ""));
		if (seconds.find()) {
			long said = TimeUnit.SECONDS.toMillis(Long.parseLong(seconds.group(1)));
			this.keptOpenMillis = Math.min(ConnectionPool.LONGEST_IDLE_MILLIS, said / 2);
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
					end();
					return;
				}
				if (count == 0) {
					channel.getReadSetter().set((ChannelListener<StreamSourceChannel>) this::read);
					channel.resumeReads();
					return;
				}
				heard();
				byte[] data = new byte[count];
				buffer.flip().get(data);
				this.listener.onData(data);
			}
		}
		catch (IOException ex) {
			fail(ex);
		}
	}

	private void heard() {
		this.heardNanos = System.nanoTime();
		this.begun = true;
	}

	private void end() {
		if (this.done.compareAndSet(false, true)) {
			stopTimers();
			long most = this.call.keptIdle().map(Duration::toMillis).orElse(Long.MAX_VALUE);
			this.pool.giveBack(this.call.target(), this.connection, Math.min(most, this.keptOpenMillis));
			this.listener.onEnd();
		}
	}

	private void fail(Throwable cause) {
		if (this.done.compareAndSet(false, true)) {
			stopTimers();
			drop(this.connection);
			if (!(cause instanceof Cancelled)) {
				// Idle connections to a machine that was cut off are as dead as this one.
				this.pool.forget(this.call.target());
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

	// Undertow's own close ends the sending side and then waits up to 10 seconds for the
	// other side, which would work on, for nobody, that long. The bare connection closes
	// at once. It is reset, since what has not left over a full link would still be sent
	// after a close in order, and a runner would begin it seconds after its caller left.
	private static void drop(ClientConnection dropped) {
		if (dropped == null) {
			return;
		}
		dropped.getIoThread().execute(() -> {
			try {
				StreamConnection bare = dropped.performUpgrade();
				bare.setOption(Options.CLOSE_ABORT, true);
				IoUtils.safeClose(bare);
			}
			catch (IOException ex) {
				IoUtils.safeClose(dropped);
			}
		});
	}

	/** Its caller gave the call up; that says nothing of the other side. */
	private static final class Cancelled extends IOException {

		private static final long serialVersionUID = 1;

		private Cancelled() {
			super("cancelled");
		}

	}

	/** One asynchronous step; its failure is the call's. */
	private final class Step<T> implements ClientCallback<T> {

		private final java.util.function.Consumer<T> next;

		private Step(java.util.function.Consumer<T> next) {
			this.next = next;
		}

		@Override
		public void completed(T result) {
			this.next.accept(result);
		}

		@Override
		public void failed(IOException ex) {
			fail(ex);
		}

	}

}
