package org.wisteriapost.standin;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicBoolean;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import org.xnio.IoUtils;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Detects that the client has closed the connection while its response is still being
 * computed. Undertow reads nothing from a connection while a request is in progress, so
 * without this a disconnect is seen only at the next write.
 */
final class DisconnectDetector {

	private final HttpServerConnection connection;

	private final AtomicBoolean stopped = new AtomicBoolean();

	private final Runnable onDisconnect;

	private DisconnectDetector(HttpServerConnection connection, Runnable onDisconnect) {
		this.connection = connection;
		this.onDisconnect = onDisconnect;
	}

	/**
	 * Starts detection and returns a task that stops it; the task must run before the
	 * response ends.
	 */
	static Runnable start(HttpServerExchange exchange, Runnable onDisconnect) {
		HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
		DisconnectDetector detector = new DisconnectDetector(connection, onDisconnect);
		connection.addCloseListener((same) -> detector.connectionClosed());
		connection.getIoThread().execute(detector::arm);
		return detector::stop;
	}

	private void arm() {
		if (this.stopped.get()) {
			return;
		}
		StreamSourceConduit source = this.connection.getOriginalSourceConduit();
		source.setReadReadyHandler(new Handler());
		source.resumeReads();
	}

	private void stop() {
		this.connection.getIoThread().execute(() -> {
			if (this.stopped.compareAndSet(false, true)) {
				restore();
			}
		});
	}

	private void restore() {
		ConduitStreamSourceChannel channel = this.connection.getChannel().getSourceChannel();
		StreamSourceConduit source = this.connection.getOriginalSourceConduit();
		source.suspendReads();
		source.setReadReadyHandler(new ReadReadyHandler.ChannelListenerHandler<>(channel));
	}

	private void connectionClosed() {
		if (this.stopped.compareAndSet(false, true)) {
			this.onDisconnect.run();
		}
	}

	private final class Handler implements ReadReadyHandler {

		@Override
		public void readReady() {
			try {
				if (DisconnectDetector.this.connection.getOriginalSourceConduit().read(ByteBuffer.allocate(1)) == 0) {
					return;
				}
			}
			catch (IOException ex) {
				// A connection reset counts as a disconnect.
			}
			// End of stream, or bytes of a pipelined request, which is not supported.
			IoUtils.safeClose(DisconnectDetector.this.connection);
		}

		@Override
		public void forceTermination() {
			IoUtils.safeClose(DisconnectDetector.this.connection);
		}

		@Override
		public void terminated() {
			connectionClosed();
		}

	}

}
