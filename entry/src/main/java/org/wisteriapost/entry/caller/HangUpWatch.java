package org.wisteriapost.entry.caller;

import java.io.IOException;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Notices that a caller has hung up while it waits for its answer.
 *
 * The server does not read a connection between a request and its answer, so a caller
 * that goes away during a long run is noticed only when the answer is written, and its
 * runner works for no one until then. The watch reads on, and gives back to the server
 * what belongs to the connection's next request.
 */
public final class HangUpWatch implements ReadReadyHandler {

	private final HttpServerConnection connection;

	private final StreamSourceConduit source;

	private final Runnable gone;

	private boolean over;

	private HangUpWatch(HttpServerConnection connection, Runnable gone) {
		this.connection = connection;
		this.source = connection.getOriginalSourceConduit();
		this.gone = gone;
	}

	/**
	 * Watches until the exchange ends. Called on the connection's I/O thread.
	 */
	public static void start(HttpServerExchange exchange, Runnable gone) {
		exchange.getConnection().addCloseListener((closed) -> {
			if (!exchange.isResponseComplete()) {
				gone.run();
			}
		});
		ServerConnection connection = exchange.getConnection();
		if (!(connection instanceof HttpServerConnection http) || http.getExtraBytes() != null) {
			return;
		}
		HangUpWatch watch = new HangUpWatch(http, gone);
		exchange.addExchangeCompleteListener((done, next) -> {
			watch.end();
			next.proceed();
		});
		watch.source.setReadReadyHandler(watch);
		watch.source.resumeReads();
	}

	@Override
	public void readReady() {
		if (this.over) {
			return;
		}
		PooledByteBuffer pooled = this.connection.getByteBufferPool().allocate();
		boolean kept = false;
		try {
			int count = this.source.read(pooled.getBuffer());
			if (count < 0) {
				hungUp();
			}
			else if (count > 0) {
				pooled.getBuffer().flip();
				this.connection.ungetRequestBytes(pooled);
				kept = true;
				end();
			}
		}
		catch (IOException ex) {
			hungUp();
		}
		finally {
			if (!kept) {
				pooled.close();
			}
		}
	}

	@Override
	public void forceTermination() {
		hungUp();
	}

	@Override
	public void terminated() {
		hungUp();
	}

	private void hungUp() {
		if (!this.over) {
			end();
			this.gone.run();
		}
	}

	private void end() {
		if (this.over) {
			return;
		}
		this.over = true;
		this.source.suspendReads();
		ConduitStreamSourceChannel channel = this.connection.getChannel().getSourceChannel();
		this.source.setReadReadyHandler(new ReadReadyHandler.ChannelListenerHandler<>(channel));
	}

}
