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
 * TCP proxy that limits the total bandwidth of the responses of all its connections.
 */
final class ThrottlingProxy implements AutoCloseable {

	private static final String HOST = "127.7.5.1";

	private static final int BUFFER_BYTES = 4096;

	private final ServerSocket server;

	private final InetSocketAddress target;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final AtomicLong bytesForwarded = new AtomicLong();

	private final long bytesPerSecond;

	private long availableNanos = System.nanoTime();

	private ThrottlingProxy(ServerSocket server, InetSocketAddress target, long bytesPerSecond) {
		this.server = server;
		this.target = target;
		this.bytesPerSecond = bytesPerSecond;
	}

	static ThrottlingProxy start(InetSocketAddress target, long bytesPerSecond) throws IOException {
		ServerSocket server = new ServerSocket(0, 100, InetAddress.getByName(HOST));
		ThrottlingProxy proxy = new ThrottlingProxy(server, target, bytesPerSecond);
		Thread.ofVirtual().start(proxy::accept);
		return proxy;
	}

	/**
	 * Returns the listening address as IP:PORT.
	 */
	String address() {
		return HOST + ":" + this.server.getLocalPort();
	}

	/**
	 * Returns the number of response bytes forwarded.
	 */
	long bytesForwarded() {
		return this.bytesForwarded.get();
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				Socket client = this.server.accept();
				Socket upstream = new Socket();
				this.sockets.add(client);
				this.sockets.add(upstream);
				upstream.connect(this.target);
				Thread.ofVirtual().start(() -> forward(client, upstream, false));
				Thread.ofVirtual().start(() -> forward(upstream, client, true));
			}
			catch (IOException ex) {
				// The proxy was closed, or the target refused the connection.
			}
		}
	}

	private void forward(Socket from, Socket to, boolean throttled) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try (from; to) {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
				if (throttled) {
					throttle(count);
				}
				out.write(buffer, 0, count);
			}
		}
		catch (IOException ex) {
			// One side closed; the try statement closes the other.
		}
		finally {
			this.sockets.remove(from);
			this.sockets.remove(to);
		}
	}

	private void throttle(int bytes) {
		this.bytesForwarded.addAndGet(bytes);
		long sentNanos;
		synchronized (this) {
			this.availableNanos = Math.max(this.availableNanos, System.nanoTime())
					+ TimeUnit.SECONDS.toNanos(bytes) / this.bytesPerSecond;
			sentNanos = this.availableNanos;
		}
		try {
			TimeUnit.NANOSECONDS.sleep(sentNanos - System.nanoTime());
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
