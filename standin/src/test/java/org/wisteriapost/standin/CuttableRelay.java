package org.wisteriapost.standin;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Passes connections on to a process, so that a test can cut all of them at once; the
 * process may come back at another port.
 */
final class CuttableRelay implements AutoCloseable {

	private static final int BUFFER_BYTES = 16 * 1024;

	private final String host;

	private final ServerSocket server;

	private final Set<Socket> open = ConcurrentHashMap.newKeySet();

	private volatile int target;

	private CuttableRelay(String host, ServerSocket server) {
		this.host = host;
		this.server = server;
	}

	static CuttableRelay start(String host) throws IOException {
		CuttableRelay relay = new CuttableRelay(host, new ServerSocket(0, 100, InetAddress.getByName(host)));
		Thread.startVirtualThread(relay::accept);
		return relay;
	}

	int port() {
		return this.server.getLocalPort();
	}

	void target(int port) {
		this.target = port;
	}

	void cut() {
		this.open.forEach(CuttableRelay::close);
		this.open.clear();
	}

	@Override
	public void close() throws IOException {
		this.server.close();
		cut();
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				Socket from = this.server.accept();
				Thread.startVirtualThread(() -> connect(from));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void connect(Socket from) {
		try {
			Socket to = new Socket(this.host, this.target);
			from.setTcpNoDelay(true);
			to.setTcpNoDelay(true);
			this.open.add(from);
			this.open.add(to);
			Thread.startVirtualThread(() -> pass(from, to));
			pass(to, from);
		}
		catch (IOException ex) {
			close(from);
		}
	}

	private void pass(Socket from, Socket to) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try {
			InputStream in = from.getInputStream();
			int count = in.read(buffer);
			while (count >= 0) {
				to.getOutputStream().write(buffer, 0, count);
				count = in.read(buffer);
			}
		}
		catch (IOException ex) {
			// Either end is enough: both are closed.
		}
		close(from);
		close(to);
		this.open.remove(from);
		this.open.remove(to);
	}

	private static void close(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			// It is gone all the same.
		}
	}

}
