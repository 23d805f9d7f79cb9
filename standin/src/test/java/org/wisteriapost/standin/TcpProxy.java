package org.wisteriapost.standin;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;

/**
 * TCP proxy in front of a process that can close all connections at once and change what
 * the process sends. The target may move to another port.
 */
final class TcpProxy implements AutoCloseable {

	private static final int BUFFER_BYTES = 16 * 1024;

	private final String host;

	private final ServerSocket server;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private volatile int target;

	private volatile UnaryOperator<String> change = UnaryOperator.identity();

	private TcpProxy(String host, ServerSocket server) {
		this.host = host;
		this.server = server;
	}

	static TcpProxy start(String host) throws IOException {
		TcpProxy proxy = new TcpProxy(host, new ServerSocket(0, 100, InetAddress.getByName(host)));
		Thread.startVirtualThread(proxy::accept);
		return proxy;
	}

	int port() {
		return this.server.getLocalPort();
	}

	void target(int port) {
		this.target = port;
	}

	/**
	 * Changes each part of what the process sends from now on.
	 */
	void changeReplies(UnaryOperator<String> next) {
		this.change = next;
	}

	void closeConnections() {
		this.sockets.forEach(TcpProxy::close);
		this.sockets.clear();
	}

	@Override
	public void close() throws IOException {
		this.server.close();
		closeConnections();
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
			this.sockets.add(from);
			this.sockets.add(to);
			Thread.startVirtualThread(() -> forward(from, to, UnaryOperator.identity()));
			forward(to, from, (text) -> this.change.apply(text));
		}
		catch (IOException ex) {
			close(from);
		}
	}

	private void forward(Socket from, Socket to, UnaryOperator<String> changed) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try {
			InputStream in = from.getInputStream();
			int count = in.read(buffer);
			while (count >= 0) {
				String text = new String(buffer, 0, count, StandardCharsets.ISO_8859_1);
				to.getOutputStream().write(changed.apply(text).getBytes(StandardCharsets.ISO_8859_1));
				count = in.read(buffer);
			}
		}
		catch (IOException ex) {
			// Both sides are closed if either of them fails.
		}
		close(from);
		close(to);
		this.sockets.remove(from);
		this.sockets.remove(to);
	}

	private static void close(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			// The socket is unusable anyway.
		}
	}

}
