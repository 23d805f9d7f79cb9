package org.wisteriapost.protocol.http;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioWorker;

/**
 * Idle connections by host and port. A connection comes back only after a whole answer,
 * so no late answer of one call can be read as another's.
 *
 * Load: a server that takes few connections is called by many processes, each of them now
 * and then. Harm prevented: connections that nobody will use stay open until the server
 * closes them, and whoever comes last is reset for as long: two to five of 19 agents got
 * no weights for 20 s. So every call to any host closes what has been idle for its time.
 */
final class ConnectionPool {

	/**
	 * For a server that does not say how long it keeps a connection: shorter than the
	 * usual limits, so that it is seldom the server that closes first.
	 */
	static final long USUAL_IDLE_MILLIS = 4000;

	static final long LONGEST_IDLE_MILLIS = 30_000;

	private static final int MAX_IDLE_PER_HOST = 64;

	// A look at some dozen lists; calls come up to some hundred a second.
	private static final long SWEEP_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	private final XnioWorker worker;

	private final ByteBufferPool buffers;

	private final Map<String, Deque<Idle>> idle = new HashMap<>();

	private long sweptNanos = System.nanoTime();

	ConnectionPool(XnioWorker worker, ByteBufferPool buffers) {
		this.worker = worker;
		this.buffers = buffers;
	}

	ByteBufferPool buffers() {
		return this.buffers;
	}

	XnioWorker worker() {
		return this.worker;
	}

	/**
	 * Returns the connection to a host that was used last.
	 * @param mostIdle how long it may have been idle; empty for as long as it is kept
	 */
	synchronized Optional<ClientConnection> take(URI target, Optional<Duration> mostIdle) {
		sweep();
		Deque<Idle> list = this.idle.getOrDefault(target.getAuthority(), new ArrayDeque<>());
		while (!list.isEmpty()) {
			Idle candidate = list.peekFirst();
			if (mostIdle.isPresent() && candidate.idleNanos() > mostIdle.get().toNanos()) {
				// A new one comes in place of the one that has been idle for longest.
				IoUtils.safeClose(list.pollLast().connection);
				return Optional.empty();
			}
			list.pollFirst();
			if (candidate.usable()) {
				return Optional.of(candidate.connection);
			}
			IoUtils.safeClose(candidate.connection);
		}
		return Optional.empty();
	}

	synchronized void giveBack(URI target, ClientConnection connection, long idleMillis) {
		Deque<Idle> list = this.idle.computeIfAbsent(target.getAuthority(), (host) -> new ArrayDeque<>());
		if (!connection.isOpen() || list.size() >= MAX_IDLE_PER_HOST) {
			IoUtils.safeClose(connection);
			return;
		}
		list.addFirst(new Idle(connection, System.nanoTime(), TimeUnit.MILLISECONDS.toNanos(idleMillis)));
	}

	private void sweep() {
		long now = System.nanoTime();
		if (now - this.sweptNanos < SWEEP_NANOS) {
			return;
		}
		this.sweptNanos = now;
		this.idle.values().forEach((list) -> list.removeIf((one) -> {
			boolean over = !one.usable();
			if (over) {
				IoUtils.safeClose(one.connection);
			}
			return over;
		}));
		this.idle.values().removeIf(Deque::isEmpty);
	}

	/**
	 * Closes the idle connections to a host.
	 */
	synchronized void forget(URI target) {
		Deque<Idle> list = this.idle.remove(target.getAuthority());
		if (list != null) {
			list.forEach((one) -> IoUtils.safeClose(one.connection));
		}
	}

	void connect(URI target, ClientCallback<ClientConnection> callback) {
		OptionMap options = OptionMap.create(Options.TCP_NODELAY, true);
		UndertowClient.getInstance().connect(callback, target, this.worker, this.buffers, options);
	}

	synchronized void close() {
		this.idle.values().forEach((list) -> list.forEach((one) -> IoUtils.safeClose(one.connection)));
		this.idle.clear();
	}

	private record Idle(ClientConnection connection, long sinceNanos, long mostNanos) {

		private long idleNanos() {
			return System.nanoTime() - this.sinceNanos;
		}

		private boolean usable() {
			return this.connection.isOpen() && idleNanos() < this.mostNanos;
		}

	}

}
