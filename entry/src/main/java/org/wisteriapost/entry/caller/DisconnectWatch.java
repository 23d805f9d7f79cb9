package org.wisteriapost.entry.caller;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicReference;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Detects that a caller has disconnected while it waits for its answer.
 *
 * The server does not read a connection between a request and its answer. A caller that
 * disconnects during a long run would be noticed only when the answer is written, and its
 * runner would be occupied until then. The watch reads from the connection, and returns
 * bytes that belong to its next request to the server.
 */
public final class DisconnectWatch implements ReadReadyHandler {

	private final HttpServerConnection connection;

	private final StreamSourceConduit source;

	private final Runnable onDisconnect;

	private boolean stopped;

	private DisconnectWatch(HttpServerConnection connection, Runnable onDisconnect) {
		this.connection = connection;
		this.source = connection.getOriginalSourceConduit();
		this.onDisconnect = onDisconnect;
	}

	/**
	 * Watches until the exchange ends. Must be called on the connection's I/O thread.
	 */
	public static void start(HttpServerExchange exchange, Runnable onDisconnect) {
		ServerConnection connection = exchange.getConnection();
		CloseNotifier notifier = CloseNotifier.of(connection);
		notifier.begin(exchange, onDisconnect);
		exchange.addExchangeCompleteListener((done, next) -> {
			notifier.end(done);
			next.proceed();
		});
		if (!(connection instanceof HttpServerConnection http) || http.getExtraBytes() != null) {
			return;
		}
		DisconnectWatch watch = new DisconnectWatch(http, onDisconnect);
		exchange.addExchangeCompleteListener((done, next) -> {
			watch.stop();
			next.proceed();
		});
		watch.source.setReadReadyHandler(watch);
		watch.source.resumeReads();
	}

	@Override
	public void readReady() {
		if (this.stopped) {
			return;
		}
		PooledByteBuffer pooled = this.connection.getByteBufferPool().allocate();
		boolean kept = false;
		try {
			int count = this.source.read(pooled.getBuffer());
			if (count < 0) {
				disconnected();
			}
			else if (count > 0) {
				pooled.getBuffer().flip();
				this.connection.ungetRequestBytes(pooled);
				kept = true;
				stop();
			}
		}
		catch (IOException ex) {
			disconnected();
		}
		finally {
			if (!kept) {
				pooled.close();
			}
		}
	}

	@Override
	public void forceTermination() {
		disconnected();
	}

	@Override
	public void terminated() {
		disconnected();
	}

	private void disconnected() {
		if (!this.stopped) {
			stop();
			this.onDisconnect.run();
		}
	}

	private void stop() {
		if (this.stopped) {
			return;
		}
		this.stopped = true;
		this.source.suspendReads();
		ConduitStreamSourceChannel channel = this.connection.getChannel().getSourceChannel();
		this.source.setReadReadyHandler(new ReadReadyHandler.ChannelListenerHandler<>(channel));
	}

	/**
	 * Tells the exchange in progress that its connection was closed. Listeners of a
	 * connection cannot be removed: one for each exchange would keep the requests of a
	 * caller in memory for as long as it keeps its connection.
	 */
	private static final class CloseNotifier implements ServerConnection.CloseListener {

		private static final AttachmentKey<CloseNotifier> KEY = AttachmentKey.create(CloseNotifier.class);

		private final AtomicReference<Watched> current = new AtomicReference<>();

		private static CloseNotifier of(ServerConnection connection) {
			CloseNotifier known = connection.getAttachment(KEY);
			if (known != null) {
				return known;
			}
			CloseNotifier added = new CloseNotifier();
			connection.putAttachment(KEY, added);
			connection.addCloseListener(added);
			return added;
		}

		private void begin(HttpServerExchange exchange, Runnable onDisconnect) {
			this.current.set(new Watched(exchange, onDisconnect));
		}

		private void end(HttpServerExchange exchange) {
			this.current.updateAndGet((watched) -> (watched != null && watched.exchange == exchange) ? null : watched);
		}

		@Override
		public void closed(ServerConnection connection) {
			Watched watched = this.current.getAndSet(null);
			if (watched != null && !watched.exchange.isResponseComplete()) {
				watched.onDisconnect.run();
			}
		}

	}

	private record Watched(HttpServerExchange exchange, Runnable onDisconnect) {
	}

}
