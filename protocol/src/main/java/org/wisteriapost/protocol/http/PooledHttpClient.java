package org.wisteriapost.protocol.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import io.undertow.client.ClientCallback;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * An HTTP client with a connection pool, based on Undertow. A process has one instance.
 */
public final class PooledHttpClient implements AutoCloseable {

	/** The response was not received completely. */
	public static final Code HTTP_FAILED = Code.warning("http-call-failed",
			"An HTTP call to an outside system did not get its whole answer.");

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final int MAX_BUFFERED_BODY_BYTES = 16 << 20;

	private final XnioWorker worker;

	private final ConnectionPool pool;

	private final BufferQuota bufferQuota = BufferQuota.ofHeap();

	private PooledHttpClient(XnioWorker worker, ByteBufferPool buffers) {
		this.worker = worker;
		this.pool = new ConnectionPool(worker, buffers);
	}

	/**
	 * Creates a client with its own I/O threads.
	 */
	public static PooledHttpClient create(int ioThreads) {
		try {
			XnioWorker worker = Xnio.getInstance()
				.createWorker(OptionMap.builder()
					.set(Options.WORKER_IO_THREADS, ioThreads)
					.set(Options.WORKER_TASK_CORE_THREADS, 0)
					.set(Options.WORKER_TASK_MAX_THREADS, 1)
					.set(Options.THREAD_DAEMON, true)
					.set(Options.TCP_NODELAY, true)
					.set(Options.WORKER_NAME, "http-call")
					.getMap());
			return new PooledHttpClient(worker, new DefaultByteBufferPool(true, BUFFER_BYTES, -1, 4));
		}
		catch (IOException ex) {
			throw CodedException.of(HTTP_FAILED, "cannot create I/O threads: " + ex.getMessage(), ex);
		}
	}

	/**
	 * Returns the worker that runs the calls, for a server that shares its threads.
	 */
	public XnioWorker worker() {
		return this.worker;
	}

	/**
	 * Returns the bound on the responses that are kept until they are complete.
	 */
	public BufferQuota bufferQuota() {
		return this.bufferQuota;
	}

	/**
	 * Sends a request and returns the complete response. A failed future carries
	 * {@link #HTTP_FAILED} with an {@link HttpCallException} as its cause.
	 */
	public CompletableFuture<HttpResponse> call(HttpCall call) {
		CompletableFuture<HttpResponse> future = new CompletableFuture<>();
		BufferingListener listener = new BufferingListener(future, call, this.bufferQuota);
		HttpExchange exchange = stream(call, listener);
		future.whenComplete((reply, failure) -> {
			listener.close();
			if (failure != null) {
				exchange.cancel();
			}
		});
		return future;
	}

	/**
	 * Sends a request and passes the response to a listener as it arrives.
	 */
	public HttpExchange stream(HttpCall call, HttpResponseListener listener) {
		PooledHttpExchange exchange = new PooledHttpExchange(call, listener, this.pool);
		exchange.start();
		return exchange;
	}

	/**
	 * Establishes a connection and closes it, and reports once, on an I/O thread, whether
	 * the server accepted it in time.
	 * @param target a URI with the server's host and port
	 */
	public void checkConnection(URI target, Duration timeout, Consumer<Boolean> accepted) {
		XnioIoThread thread = this.pool.ioThread();
		thread.execute(() -> new ConnectionCheck(thread, accepted).start(this.pool, target, timeout));
	}

	@Override
	public void close() {
		this.pool.close();
		this.worker.shutdownNow();
	}

	/** Uses one I/O thread only. */
	private static final class ConnectionCheck implements ClientCallback<PooledConnection> {

		private final XnioIoThread thread;

		private final Consumer<Boolean> accepted;

		private boolean reported;

		private ConnectionCheck(XnioIoThread thread, Consumer<Boolean> accepted) {
			this.thread = thread;
			this.accepted = accepted;
		}

		private void start(ConnectionPool pool, URI target, Duration timeout) {
			try {
				pool.connect(this.thread, target, this);
			}
			catch (IllegalArgumentException ex) {
				report(false);
				return;
			}
			PeerTimeout.schedule(this.thread, timeout, () -> report(false));
		}

		@Override
		public void completed(PooledConnection established) {
			ConnectionPool.abort(established.connection());
			report(true);
		}

		@Override
		public void failed(IOException ex) {
			report(false);
		}

		private void report(boolean result) {
			if (!this.reported) {
				this.reported = true;
				this.accepted.accept(result);
			}
		}

	}

	private static final class BufferingListener implements HttpResponseListener {

		private final CompletableFuture<HttpResponse> future;

		private final HttpCall call;

		private final BufferQuota.Share share;

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private int status;

		private Map<String, String> headers = Map.of();

		private BufferingListener(CompletableFuture<HttpResponse> future, HttpCall call, BufferQuota quota) {
			this.future = future;
			this.call = call;
			this.share = quota.open(this::exceeded);
		}

		private void exceeded() {
			this.future.completeExceptionally(CodedException.of(HTTP_FAILED, "response exceeds the size limit"));
		}

		private void close() {
			this.share.close();
		}

		@Override
		public void onHead(int status, Map<String, String> headers) {
			this.status = status;
			this.headers = headers;
		}

		@Override
		public void onData(byte[] data) {
			if (this.body.size() + data.length > MAX_BUFFERED_BODY_BYTES) {
				exceeded();
				return;
			}
			this.body.writeBytes(data);
			this.share.resize(this.body.size());
		}

		@Override
		public void onEnd() {
			this.future.complete(new HttpResponse(this.status, this.headers, this.body.toByteArray()));
		}

		@Override
		public void onFailure(boolean sent, Throwable cause) {
			String detail = this.call.method() + " " + this.call.target() + ": " + cause.getMessage();
			this.future
				.completeExceptionally(CodedException.of(HTTP_FAILED, detail, new HttpCallException(sent, cause)));
		}

	}

}
