package org.wisteriapost.entry.direct;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A runner whose bytes a test decides, including those that are no answer to a request.
 */
final class ScriptedRunner implements AutoCloseable {

	private static final String TARGET = ":target";

	private final ServerSocket server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());

	private final Script script;

	private final AtomicInteger connections = new AtomicInteger();

	private final List<String> runs = new ArrayList<>();

	private ScriptedRunner(Script script) throws IOException {
		this.script = script;
	}

	/**
	 * Starts a runner.
	 */
	static ScriptedRunner start(Script script) throws IOException {
		ScriptedRunner runner = new ScriptedRunner(script);
		Thread.ofVirtual().start(runner::accept);
		return runner;
	}

	/**
	 * Returns a whole response.
	 * @param headers ending with a line end each
	 */
	static byte[] response(int status, String attempt, String headers, String body) {
		String head = "HTTP/1.1 " + status + " X\r\nattempt: " + attempt + "\r\n" + headers + "Content-Length: "
				+ body.length() + "\r\n\r\n";
		return (head + body).getBytes(StandardCharsets.US_ASCII);
	}

	String address() {
		return "127.0.0.1:" + this.server.getLocalPort();
	}

	int connections() {
		return this.connections.get();
	}

	/**
	 * Returns the attempts that were run, in order.
	 */
	synchronized List<String> runs() {
		return List.copyOf(this.runs);
	}

	synchronized void recordRun(String attempt) {
		this.runs.add(attempt);
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				Socket socket = this.server.accept();
				int connection = this.connections.incrementAndGet();
				Thread.ofVirtual().start(() -> serve(socket, connection));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket, int connection) {
		try (socket) {
			socket.setTcpNoDelay(true);
			InputStream in = new BufferedInputStream(socket.getInputStream());
			for (int call = 1; true; call++) {
				Map<String, String> headers = readHead(in);
				in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
				this.script.answer(this, new Request(connection, call, headers), socket);
			}
		}
		catch (IOException | InterruptedException ex) {
			// The entry has closed the connection, or the test is over.
		}
	}

	private static Map<String, String> readHead(InputStream in) throws IOException {
		Map<String, String> headers = new TreeMap<>();
		headers.put(TARGET, readLine(in).split(" ")[1]);
		String line = readLine(in);
		while (!line.isEmpty()) {
			int colon = line.indexOf(": ");
			if (colon > 0) {
				headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 2));
			}
			line = readLine(in);
		}
		return headers;
	}

	private static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		int next = in.read();
		while (next != '\n') {
			if (next < 0) {
				throw new IOException("closed");
			}
			if (next != '\r') {
				line.write(next);
			}
			next = in.read();
		}
		return line.toString(StandardCharsets.US_ASCII);
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

	/** Answers a request. */
	interface Script {

		void answer(ScriptedRunner runner, Request request, Socket socket) throws IOException, InterruptedException;

	}

	/**
	 * A request.
	 *
	 * @param connection the number of its connection, starting at 1
	 * @param call the number of the request on that connection, starting at 1
	 * @param headers by lower-case name
	 */
	record Request(int connection, int call, Map<String, String> headers) {

		String target() {
			return this.headers.get(TARGET);
		}

		String attempt() {
			return this.headers.getOrDefault("attempt", "");
		}

	}

}
