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
 * Notices that a caller has gone while its answer is still being worked out. Undertow
 * reads nothing from a connection while a request is in progress, so it would notice only
 * at the next write.
 */
final class CloseWatch {

	private final HttpServerConnection connection;

	private final AtomicBoolean over = new AtomicBoolean();

	private final Runnable gone;

	private CloseWatch(HttpServerConnection connection, Runnable gone) {
		this.connection = connection;
		this.gone = gone;
	}

	/**
	 * Returns what ends the watch; it must run before the answer ends.
	 */
	static Runnable start(HttpServerExchange exchange, Runnable gone) {
		HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
		CloseWatch watch = new CloseWatch(connection, gone);
		connection.addCloseListener((same) -> watch.closed());
		connection.getIoThread().execute(watch::arm);
		return watch::stop;
	}

	private void arm() {
		if (this.over.get()) {
			return;
		}
		StreamSourceConduit source = this.connection.getOriginalSourceConduit();
		source.setReadReadyHandler(new Handler());
		source.resumeReads();
	}

	private void stop() {
		this.connection.getIoThread().execute(() -> {
			if (this.over.compareAndSet(false, true)) {
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

	private void closed() {
		if (this.over.compareAndSet(false, true)) {
			this.gone.run();
		}
	}

	private final class Handler implements ReadReadyHandler {

		@Override
		public void readReady() {
			try {
				if (CloseWatch.this.connection.getOriginalSourceConduit().read(ByteBuffer.allocate(1)) == 0) {
					return;
				}
			}
			catch (IOException ex) {
				// A reset is a close as well.
			}
			// An end, or bytes of a next request before the answer: neither can be
			// served.
			IoUtils.safeClose(CloseWatch.this.connection);
		}

		@Override
		public void forceTermination() {
			IoUtils.safeClose(CloseWatch.this.connection);
		}

		@Override
		public void terminated() {
			closed();
		}

	}

}
