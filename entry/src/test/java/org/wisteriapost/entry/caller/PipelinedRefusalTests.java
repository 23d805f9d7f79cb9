package org.wisteriapost.entry.caller;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import io.undertow.Undertow;
import io.undertow.util.SameThreadExecutor;
import org.junit.jupiter.api.Test;
import org.xnio.Options;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class PipelinedRefusalTests {

	private static final int REQUESTS = 20_000;

	// Each pipelined request is refused on the I/O thread. If the refusals nested, the
	// stack would overflow and end the thread that all callers share.
	@Test
	void pipelinedRefusalsDoNotOverflowTheStack() throws Exception {
		Undertow server = Undertow.builder()
			.addHttpListener(0, "127.0.0.1")
			.setIoThreads(1)
			.setWorkerOption(Options.STACK_SIZE, 256L << 10)
			.setHandler((exchange) -> exchange.dispatch(SameThreadExecutor.INSTANCE,
					() -> new CallerAnswer(exchange, "request", 1 << 20)
						.refuse(Refusal.invalidRequest(400, "bad", "bad"))))
			.build();
		server.start();
		int port = ((InetSocketAddress) server.getListenerInfo().getFirst().getAddress()).getPort();
		int answered = 0;
		try (Socket socket = new Socket("127.0.0.1", port)) {
			socket.setSoTimeout(5000);
			Thread writer = new Thread(() -> {
				try {
					byte[] all = "GET / HTTP/1.1\r\nHost: a\r\n\r\n".repeat(REQUESTS)
						.getBytes(StandardCharsets.US_ASCII);
					socket.getOutputStream().write(all);
				}
				catch (java.io.IOException ex) {
					System.err.println("writer: " + ex);
				}
			});
			writer.start();
			BufferedReader in = new BufferedReader(
					new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
			try {
				String line = in.readLine();
				while (line != null && answered < REQUESTS) {
					answered += line.contains("HTTP/1.1 400") ? 1 : 0;
					line = (answered < REQUESTS) ? in.readLine() : null;
				}
			}
			catch (java.io.IOException ex) {
				System.err.println("reader: " + ex);
			}
		}
		finally {
			server.stop();
		}
		assertThat(answered, is(REQUESTS));
	}

}
