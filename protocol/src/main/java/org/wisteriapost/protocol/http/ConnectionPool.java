package org.wisteriapost.protocol.http;

import java.io.IOException;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Idle connections by host and port. A connection is returned to the pool only after a
 * complete response, so the response to a call that was given up is never read by another
 * one. A surplus copy of a response may be; {@link CallSeries} has the calls that could
 * not recognise it.
 *
 * Every call, to any host, closes the connections whose idle time has expired. Otherwise,
 * with many processes that rarely call a server with a low connection limit, unused
 * connections would occupy the limit and the server would reset new ones: two to five of
 * 19 agents got no weights from the origin for 20 s.
 */
final class ConnectionPool {

	/**
	 * The idle time for a server without a Keep-Alive timeout. It is shorter than common
	 * server limits, so that the server rarely closes a connection first.
	 */
	static final long DEFAULT_MAX_IDLE_MILLIS = 4000;

	static final long MAX_IDLE_MILLIS = 30_000;

	private static final int MAX_IDLE_PER_HOST = 64;

	// Limits the cost of eviction, since there may be hundreds of calls per second.
	private static final long EVICTION_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	private final XnioWorker worker;

	private final ByteBufferPool buffers;

	private final Map<String, Deque<PooledConnection>> idle = new HashMap<>();

	private final Map<XnioIoThread, BoundedConnector> connectors = new ConcurrentHashMap<>();

	private long lastEvictionNanos = System.nanoTime();

	ConnectionPool(XnioWorker worker, ByteBufferPool buffers) {
		this.worker = worker;
		this.buffers = buffers;
	}

	ByteBufferPool buffers() {
		return this.buffers;
	}

	/**
	 * Returns the calling thread if it is an I/O thread of this pool, otherwise any.
	 */
	XnioIoThread ioThread() {
		XnioIoThread current = XnioIoThread.currentThread();
		return (current != null && current.getWorker() == this.worker) ? current : this.worker.getIoThread();
	}

	/**
	 * Returns the most recently used connection that a call may use. If there is none,
	 * the new connection replaces the one that has been idle for longest, since servers
	 * limit their connections.
	 */
	synchronized Optional<PooledConnection> acquire(HttpCall call) {
		evictExpired();
		Deque<PooledConnection> list = this.idle.getOrDefault(call.target().getAuthority(), new ArrayDeque<>());
		Iterator<PooledConnection> candidates = list.iterator();
		while (candidates.hasNext()) {
			PooledConnection candidate = candidates.next();
			if (!candidate.usable()) {
				candidates.remove();
				IoUtils.safeClose(candidate.connection());
			}
			else if (candidate.allowedFor(call)) {
				candidates.remove();
				return Optional.of(candidate);
			}
		}
		Optional.ofNullable(list.pollLast()).ifPresent((oldest) -> IoUtils.safeClose(oldest.connection()));
		return Optional.empty();
	}

	synchronized void release(URI target, PooledConnection connection, long idleMillis) {
		Deque<PooledConnection> list = this.idle.computeIfAbsent(target.getAuthority(), (host) -> new ArrayDeque<>());
		if (!connection.connection().isOpen() || list.size() >= MAX_IDLE_PER_HOST) {
			IoUtils.safeClose(connection.connection());
			return;
		}
		connection.endCall(idleMillis);
		list.addFirst(connection);
	}

	private void evictExpired() {
		long now = System.nanoTime();
		if (now - this.lastEvictionNanos < EVICTION_INTERVAL_NANOS) {
			return;
		}
		this.lastEvictionNanos = now;
		this.idle.values().forEach((list) -> list.removeIf((pooled) -> {
			boolean expired = !pooled.usable();
			if (expired) {
				IoUtils.safeClose(pooled.connection());
			}
			return expired;
		}));
		this.idle.values().removeIf(Deque::isEmpty);
	}

	/**
	 * Closes the idle connections to a host.
	 */
	synchronized void closeIdle(URI target) {
		Deque<PooledConnection> list = this.idle.remove(target.getAuthority());
		if (list != null) {
			list.forEach((pooled) -> IoUtils.safeClose(pooled.connection()));
		}
	}

	void connect(XnioIoThread thread, URI target, ClientCallback<PooledConnection> callback) {
		BoundedConnector connector = this.connectors.computeIfAbsent(thread, BoundedConnector::new);
		OptionMap options = OptionMap.create(Options.TCP_NODELAY, true);
		UndertowClient.getInstance().connect(new ClientCallback<>() {

			@Override
			public void completed(ClientConnection established) {
				callback.completed(PooledConnection.of(established, connector.opened()));
			}

			@Override
			public void failed(IOException ex) {
				callback.failed(ex);
			}

		}, target, connector, this.buffers, options);
	}

	/**
	 * Resets a connection.
	 *
	 * Undertow's close shuts down the sending side and waits up to 10 seconds for the
	 * server, which would keep working on an abandoned request. The underlying connection
	 * closes at once. It is reset, because data queued for a saturated link would still
	 * be sent after an orderly close, and a runner would start the abandoned request.
	 */
	static void abort(ClientConnection dropped) {
		dropped.getIoThread().execute(() -> {
			try {
				StreamConnection underlying = dropped.performUpgrade();
				underlying.setOption(Options.CLOSE_ABORT, true);
				IoUtils.safeClose(underlying);
			}
			catch (IOException ex) {
				IoUtils.safeClose(dropped);
			}
		});
	}

	synchronized void close() {
		this.idle.values().forEach((list) -> list.forEach((pooled) -> IoUtils.safeClose(pooled.connection())));
		this.idle.clear();
	}

}
