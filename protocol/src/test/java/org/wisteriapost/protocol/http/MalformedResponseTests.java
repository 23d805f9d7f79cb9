package org.wisteriapost.protocol.http;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Responses that are malformed anywhere, and unusual ones that are not.
 */
class MalformedResponseTests {

	private static final int MAX_REQUEST_BYTES = 8192;

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	private static final String OK = "HTTP/1.1 200 OK\r\n";

	private static final String LENGTH = "Content-Length: 4\r\n";

	private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";

	private final PooledHttpClient caller = PooledHttpClient.create(1);

	private ServerSocket server;

	@BeforeEach
	void start() throws IOException {
		this.server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
	}

	@AfterEach
	void stop() throws IOException {
		this.caller.close();
		this.server.close();
	}

	static Stream<String> malformedStatusLines() {
		return Stream
			.of("HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 20 OK",
					"HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 +200 OK", "HTTP/1.1 -200 OK", "HTTP/1.1  200 OK",
					"HTTP/1.1\t200 OK", "HTTP/1.1 200OK", "HTTP/1.1 200\tOK", "HTTP/1.1 200 O\u0000K",
					"HTTP/1.1 200 O\u0001K", "HTTP/1.1 200 O\rK", "HTTP/1.1", "HTTP/1.1 ", "HTTP/2.0 200 OK",
					"HTTP/0.9 200 OK", "HTTP/1.10 200 OK", "HTTP/1.x 200 OK", "HTTP/11 200 OK", "HTTP/1 200 OK",
					"HTTP/3.1 200 OK", "HTTP/ 200 OK", "HTTPS/1.1 200 OK", "http/1.1 200 OK", "XTTP/1.1 200 OK",
					" HTTP/1.1 200 OK", "ICY 200 OK", "200 OK", "noise", "noise\r\nHTTP/1.1 200 OK")
			.map((line) -> line + "\r\n" + LENGTH + "\r\nbody");
	}

	static Stream<String> malformedFields() {
		return Stream
			.of("noise", "no field at all", ": x", "X Y: z", "X : z", " X: z", "\tX: z", "X\tY: z", "X\u0000Y: z",
					"X\u0001Y: z", "X\u001fY: z", "X\u007fY: z", "X\u0080Y: z", "X\u00e9Y: z", "X\rY: z", "X(Y: z",
					"X,Y: z", "X/Y: z", "X;Y: z", "X=Y: z", "X@Y: z", "X[Y: z", "X{Y: z", "\"X\": z", "X: y\u0000z",
					"X: y\rz", "X: y\u0001z", "X: y\u007fz", "X: y\u000bz", "X: y\r")
			.flatMap(
					(line) -> Stream.of(OK + line + "\r\n" + LENGTH + "\r\nbody", OK + LENGTH + line + "\r\n\r\nbody"));
	}

	static Stream<String> malformedLengths() {
		return Stream.of("Content-Length: x", "Content-Length:", "Content-Length: -4", "Content-Length: +4",
				"Content-Length: 4x", "Content-Length: x4", "Content-Length: 4 4", "Content-Length: 4 x",
				"Content-Length: 0x4", "Content-Length: 4.0", "Content-Length: 4;", "Content-Length: 4,5",
				"Content-Length: 4, ", "Content-Length: \"4\"", "Content-Length: 4\r\nContent-Length: 3",
				"Content-Length: 3\r\nContent-Length: 4", "Content-Length: 4\r\nContent-Length: x",
				"Content-Length: 99999999999999999999", "Content-Length: 18446744073709551620", "Content-Length:\r\n 4",
				"Content-Length: 4\r\n 5", "Content-Length: 1\r\n 4", "Content-Length: 4\r\nX: y\r\nContent-Length: 2",
				"Content-Length: \u00a04", "Content-Length: \u00b2", "Content-Length : 4", "Content Length: 4",
				"Content-Length 4", "Content-Length\u0000: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked",
				"Transfer-Encoding: chunked\r\nContent-Length: 4", "Transfer-Encoding: x\r\nContent-Length: 4",
				"Transfer-Encoding: identity\r\nContent-Length: 4")
			.map((line) -> OK + line + "\r\n\r\nbody");
	}

	static Stream<String> malformedCodings() {
		return Stream
			.of("x", "", "gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked", "chunked;x=y", "identity",
					"identity, chunked", "xchunked", "chunkedx", "chunke", "chunked x", "\"chunked\"", "\u000bchunked",
					"chunked,", ", chunked", "\r\n chunked", "chunked\r\n x", "x\r\nTransfer-Encoding: chunked",
					"chunked\r\nTransfer-Encoding: chunked", "chunked\r\nTransfer-Encoding: identity",
					"chunked\r\nTransfer-Encoding: x")
			.flatMap((coding) -> Stream.of("HTTP/1.1", "HTTP/1.0")
				.map((version) -> version + " 200 OK\r\nTransfer-Encoding: " + coding
						+ "\r\n\r\n4\r\nbody\r\n0\r\n\r\n"));
	}

	static Stream<String> malformedChunks() {
		return Stream
			.of("\r\nbody\r\n0\r\n\r\n", "x\r\nbody\r\n0\r\n\r\n", "-4\r\nbody\r\n0\r\n\r\n", "+4\r\nbody\r\n0\r\n\r\n",
					"0x4\r\nbody\r\n0\r\n\r\n", " 4\r\nbody\r\n0\r\n\r\n", "4 \r\nbody\r\n0\r\n\r\n",
					"4x\r\nbody\r\n0\r\n\r\n", "4 x\r\nbody\r\n0\r\n\r\n", "4,\r\nbody\r\n0\r\n\r\n",
					"4;\u0000\r\nbody\r\n0\r\n\r\n", "4;x\ny\r\nbody\r\n0\r\n\r\n", "4\rbody\r\n0\r\n\r\n",
					"4\nbody\r\n0\r\n\r\n", "4\r\nbody0\r\n\r\n", "4\r\nbodyx\r\n0\r\n\r\n", "4\r\nbody\r\r\n0\r\n\r\n",
					"3\r\nbody\r\n0\r\n\r\n", "5\r\nbody\r\n0\r\n\r\n", "10000000000000004\r\nbody\r\n0\r\n\r\n",
					"ffffffffffffffff\r\nbody\r\n0\r\n\r\n", "4\r\nbody\r\n\r\n0\r\n\r\n", "4\r\nbody\n0\r\n\r\n",
					"4\r\nbody\r\n0\r\nnoise\r\n\r\n", "4\r\nbody\r\n0\r\nX Y: z\r\n\r\n",
					"4\r\nbody\r\n0\r\nX\u0000: z\r\n\r\n", "4\r\nbody\r\n0\r\n: z\r\n\r\n",
					"4\r\nbody\r\n0\r\nX: y\u0000\r\n\r\n", "4\r\nbody\r\n0\r\nContent-Length: 4\r\n\r\n",
					"4\r\nbody\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n0\r\n\rx",
					"4\r\nbody\r\nx\r\n\r\n", "0\r\nbody\r\n0\r\n\r\n", "4\r\nbody\r\n 0\r\n\r\n",
					"4\r\nbody\r\n0x\r\n\r\n")
			.map((chunks) -> CHUNKED + chunks);
	}

	static Stream<Arguments> malformed() {
		return inBothPaces(Stream
			.of(malformedStatusLines(), malformedFields(), malformedLengths(), malformedCodings(), malformedChunks())
			.flatMap((some) -> some));
	}

	static Stream<String> followedByOtherBytes() {
		return Stream.of(OK + "Content-Length: 3\r\n\r\nbody", OK + "Content-Length: 0\r\n\r\nbody",
				OK + LENGTH + "\r\nbody\r\n", OK + LENGTH + "\r\nbodyHTTP", OK + LENGTH + "\r\nbodyHTTPS/1.1 200 OK",
				CHUNKED + CHUNKED + "4\r\nbody\r\n0\r\n\r\n4\r\nmore\r\n0\r\n\r\n",
				OK + "Content-Length: 100000\r\n\r\n" + "x".repeat(100_001), "HTTP/1.1 204 No Content\r\n\r\nbody",
				"HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\nbody");
	}

	static Stream<Arguments> sound() {
		return inBothPaces(Stream.of(OK + LENGTH + "\r\nbody", OK + "content-length:4\r\n\r\nbody",
				OK + "CONTENT-LENGTH: \t 4 \t \r\n\r\nbody", OK + "Content-Length: 0004\r\n\r\nbody",
				OK + LENGTH + LENGTH + "\r\nbody", "HTTP/1.1 200 \r\n" + LENGTH + "\r\nbody",
				"HTTP/1.1 200 all  is\twell: 1 2\r\n" + LENGTH + "\r\nbody",
				"HTTP/1.1 200 \u00e9t\u00e9\r\n" + LENGTH + "\r\nbody", "HTTP/1.1 299 OK\r\n" + LENGTH + "\r\nbody",
				"HTTP/1.1 599 OK\r\n" + LENGTH + "\r\nbody", "HTTP/1.0 200 OK\r\n" + LENGTH + "\r\nbody",
				OK + "X:\r\n" + LENGTH + "\r\nbody", OK + "X: y: z\r\n" + LENGTH + "\r\nbody",
				OK + "X: \u00e9\t\"(,/;=@[\\]{}\r\n" + LENGTH + "\r\nbody",
				OK + "!#$%&'*+-.^_`|~09azAZ: z\r\n" + LENGTH + "\r\nbody",
				OK + "X: y\r\nX: y\r\n" + LENGTH + "\r\nbody", OK + "X: y\r\n z\r\n" + LENGTH + "\r\nbody",
				OK + "X:\r\n\ty\r\n" + LENGTH + "\r\nbody", OK + LENGTH + "X: " + "y".repeat(20000) + "\r\n\r\nbody",
				OK + "Transfer-Encoding: Chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
				OK + "transfer-encoding:\tchunked \r\n\r\n4\r\nbody\r\n0\r\n\r\n",
				CHUNKED + "1\r\nb\r\n003\r\nody\r\n000\r\n\r\n", CHUNKED + "4;x\r\nbody\r\n0;y=z\r\n\r\n",
				CHUNKED + "4 ; x = \"y;\\\" z\"\r\nbody\r\n0\r\n\r\n", CHUNKED + "4\r\nbody\r\n0\r\nX: y\r\nZ:\r\n\r\n",
				OK + "Trailer: X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX: y\r\n\r\n",
				"HTTP/1.1 100 Continue\r\n\r\n" + OK + LENGTH + "\r\nbody",
				"HTTP/1.1 100 Continue\r\nX: y\r\n\r\nHTTP/1.1 100 \r\n\r\n" + CHUNKED + "4\r\nbody\r\n0\r\n\r\n",
				OK + "\r\nbody", OK + "Connection: close\r\n\r\nbody", "HTTP/1.0 200 OK\r\n\r\nbody",
				OK + "Connection: close\r\n" + LENGTH + "\r\nbody",
				OK + "X-Content-Length: 9\r\n" + LENGTH + "\r\nbody",
				OK + "Content-Length-X: x\r\n" + LENGTH + "\r\nbody",
				OK + LENGTH + "\r\nbody" + OK + LENGTH + "\r\nmore",
				CHUNKED + "4\r\nbody\r\n0\r\n\r\n" + OK + LENGTH + "\r\nmore"));
	}

	static Stream<Arguments> withoutBody() {
		return Stream.of("GET 204", "GET 304", "HEAD 200", "HEAD 404")
			.flatMap((kind) -> Stream.of("", "Content-Length: 0\r\n", LENGTH, "Transfer-Encoding: chunked\r\n")
				.map((header) -> Arguments.of(kind.split(" ")[0],
						"HTTP/1.1 " + kind.split(" ")[1] + " X\r\n" + header + "\r\n")));
	}

	private static Stream<Arguments> inBothPaces(Stream<String> responses) {
		return responses.flatMap((response) -> Stream.of(Arguments.of(response, false), Arguments.of(response, true)));
	}

	// Guards against a response that is malformed and is returned, with a body or fields
	// that its server did not mean.
	@ParameterizedTest
	@MethodSource("malformed")
	void malformedResponseFails(String response, boolean byteByByte) {
		serve(response, byteByByte);
		HttpCallException failure = failure();
		assertThat(failure.sent(), equalTo(true));
		// The library may have refused the beginning of a line.
		if (!byteByByte) {
			assertThat(failure.getCause(), instanceOf(MalformedResponseException.class));
		}
	}

	// Guards against a part of a body whose length was damaged, which is returned as the
	// whole.
	@ParameterizedTest
	@MethodSource("followedByOtherBytes")
	void responseFollowedByOtherBytesFails(String response) {
		serve(response, false);
		assertThat(failure().getCause(), instanceOf(MalformedResponseException.class));
	}

	// Guards against an unusual response that is allowed and fails.
	@ParameterizedTest
	@MethodSource("sound")
	void unusualResponseIsReturned(String response, boolean byteByByte) {
		serve(response, byteByByte);
		assertThat(new String(call("GET").body(), StandardCharsets.ISO_8859_1), equalTo("body"));
	}

	// Guards against a response that never has a body and whose length is waited for.
	@ParameterizedTest
	@MethodSource("withoutBody")
	void responseWithoutBodyEndsWithItsHead(String method, String response) {
		serve((socket) -> {
			while (true) {
				answer(socket, response, false);
			}
		});
		for (int i = 0; i < 3; i++) {
			assertThat(call(method).body().length, equalTo(0));
		}
	}

	private HttpResponse call(String method) {
		URI target = URI.create("http://127.0.0.1:" + this.server.getLocalPort() + "/");
		return this.caller.call(HttpCall.of(method, target, TIMEOUT)).join();
	}

	private HttpCallException failure() {
		CompletionException ex = assertThrows(CompletionException.class, () -> call("GET"));
		return (HttpCallException) ex.getCause().getCause();
	}

	private void serve(String response, boolean byteByByte) {
		serve((socket) -> {
			answer(socket, response, byteByByte);
			socket.shutdownOutput();
			socket.getInputStream().read();
		});
	}

	private void serve(Script script) {
		Thread.ofVirtual().start(() -> {
			while (!this.server.isClosed()) {
				try (Socket socket = this.server.accept()) {
					socket.setTcpNoDelay(true);
					script.run(socket);
				}
				catch (IOException ex) {
					// The test is over or the client has closed the connection.
				}
			}
		});
	}

	private static void answer(Socket socket, String response, boolean byteByByte) throws IOException {
		if (socket.getInputStream().read(new byte[MAX_REQUEST_BYTES]) < 0) {
			throw new IOException("closed");
		}
		write(socket.getOutputStream(), response.getBytes(StandardCharsets.ISO_8859_1), byteByByte);
	}

	private static void write(OutputStream out, byte[] response, boolean byteByByte) throws IOException {
		int step = byteByByte ? 1 : response.length;
		for (int i = 0; i < response.length; i += step) {
			out.write(response, i, step);
		}
	}

	/** What a server does on a connection. */
	private interface Script {

		void run(Socket socket) throws IOException;

	}

}
