package org.wisteriapost.app;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A link to a server that all connections through it share: what comes back passes at a
 * rate in bytes a second, in the order in which it comes.
 */
final class NarrowLink implements AutoCloseable {

	private static final String IP = "127.7.5.1";

	private static final int BLOCK_BYTES = 4096;

	private final ServerSocket server;

	private final InetSocketAddress target;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final AtomicLong passed = new AtomicLong();

	private final long bytesPerSecond;

	private long freeNanos = System.nanoTime();

	private NarrowLink(ServerSocket server, InetSocketAddress target, long bytesPerSecond) {
		this.server = server;
		this.target = target;
		this.bytesPerSecond = bytesPerSecond;
	}

	static NarrowLink start(InetSocketAddress target, long bytesPerSecond) throws IOException {
		ServerSocket server = new ServerSocket(0, 100, InetAddress.getByName(IP));
		NarrowLink link = new NarrowLink(server, target, bytesPerSecond);
		Thread.ofVirtual().start(link::accept);
		return link;
	}

	/**
	 * Returns where it is reached, as IP:PORT.
	 */
	String address() {
		return IP + ":" + this.server.getLocalPort();
	}

	/**
	 * Returns how many bytes have come back over it.
	 */
	long passed() {
		return this.passed.get();
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				Socket near = this.server.accept();
				Socket far = new Socket();
				this.sockets.add(near);
				this.sockets.add(far);
				far.connect(this.target);
				Thread.ofVirtual().start(() -> copy(near, far, false));
				Thread.ofVirtual().start(() -> copy(far, near, true));
			}
			catch (IOException ex) {
				// Closed, or the server takes no connection: the caller sees a reset.
			}
		}
	}

	private void copy(Socket from, Socket to, boolean narrow) {
		byte[] block = new byte[BLOCK_BYTES];
		try (from; to) {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			for (int count = in.read(block); count >= 0; count = in.read(block)) {
				if (narrow) {
					pass(count);
				}
				out.write(block, 0, count);
			}
		}
		catch (IOException ex) {
			// One side has closed; the other is closed with it.
		}
		finally {
			this.sockets.remove(from);
			this.sockets.remove(to);
		}
	}

	private void pass(int count) {
		this.passed.addAndGet(count);
		long until;
		synchronized (this) {
			this.freeNanos = Math.max(this.freeNanos, System.nanoTime())
					+ TimeUnit.SECONDS.toNanos(count) / this.bytesPerSecond;
			until = this.freeNanos;
		}
		try {
			TimeUnit.NANOSECONDS.sleep(until - System.nanoTime());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Override
	public void close() {
		try {
			this.server.close();
			for (Socket socket : this.sockets) {
				socket.close();
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
