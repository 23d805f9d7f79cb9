package org.wisteriapost.protocol.http;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;

import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Establishes connections that are bounded by {@link ReceivedBytes}.
 *
 * The HTTP client offers no access to a connection before it reads from it, except for
 * the thread that establishes it. This is such a thread in its type only: it is never
 * started and hands everything to the I/O thread.
 */
final class BoundedConnector extends XnioIoThread {

	private final XnioIoThread ioThread;

	// Of the connection that is being handed over. Confined to the I/O thread.
	private ReceivedBytes opened;

	BoundedConnector(XnioIoThread ioThread) {
		super(ioThread.getWorker(), ioThread.getNumber());
		this.ioThread = ioThread;
	}

	/**
	 * Returns the bounds of the connection whose listener is being called.
	 */
	ReceivedBytes opened() {
		return this.opened;
	}

	@Override
	public IoFuture<StreamConnection> openStreamConnection(SocketAddress destination,
			ChannelListener<? super StreamConnection> openListener, OptionMap options) {
		return this.ioThread.openStreamConnection(destination, (connection) -> {
			ConduitStreamSourceChannel source = connection.getSourceChannel();
			this.opened = new ReceivedBytes(source.getConduit());
			source.setConduit(this.opened);
			ChannelListeners.invokeChannelListener(connection, openListener);
		}, options);
	}

	@Override
	public void execute(Runnable command) {
		this.ioThread.execute(command);
	}

	@Override
	public Key executeAfter(Runnable command, long time, TimeUnit unit) {
		return this.ioThread.executeAfter(command, time, unit);
	}

	@Override
	public Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
		return this.ioThread.executeAtInterval(command, time, unit);
	}

}
