package org.wisteriapost.entry;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.wisteriapost.protocol.http.HttpResponse;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

class InvalidRequestTests {

	private static final String CHAT = "/v1/chat/completions";

	private static final String VALID_BODY = "{\"model\":\"lm\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";

	@AutoClose
	private final EntryFixture fixture = EntryFixture.start("max-body-bytes = 4096", "body-timeout-ms = 300",
			"max-header-bytes = 4096");

	@ParameterizedTest
	@MethodSource("invalidRequests")
	void invalidRequestIsRefusedWithItsCodeAndStartsNothing(String method, String path, String body,
			List<String> headers, int status, String code) {
		HttpResponse reply = this.fixture.call(method, path, body, headers.toArray(String[]::new)).join();
		assertThat(reply.status(), is(status));
		assertThat(EntryFixture.text(reply), containsString("\"code\":\"" + code + "\""));
		assertThat(EntryFixture.outcome(reply), is("not-run"));
		assertThat(this.fixture.model().calls().size() + this.fixture.plain().calls().size(), is(0));
		assertThat(this.fixture.chat("next", false).join().status(), is(200));
	}

	static Stream<Arguments> invalidRequests() {
		List<String> none = List.of();
		return Stream.of(
				Arguments.of("POST", CHAT, VALID_BODY, List.of("Authorization", "Bearer no"), 401, "token-unknown"),
				Arguments.of("POST", CHAT, VALID_BODY, List.of("Authorization", "Basic x"), 401, "token-unknown"),
				Arguments.of("POST", CHAT, "{\"model\":", none, 400, "body-malformed"),
				Arguments.of("POST", CHAT, "[]", none, 400, "body-malformed"),
				Arguments.of("POST", CHAT, "{\"model\":\"lm\"}", none, 400, "body-malformed"),
				Arguments.of("POST", CHAT, VALID_BODY.replace("lm", "no"), none, 404, "model-unknown"),
				Arguments.of("POST", CHAT, VALID_BODY.replace("lm", "registry"), none, 404, "model-unknown"),
				Arguments.of("POST", CHAT, VALID_BODY.replace("lm", "no"), List.of("Wisteriapost-Service", "lm"), 404,
						"model-unknown"),
				Arguments.of("POST", CHAT, VALID_BODY, List.of("Wisteriapost-Service", "no"), 404, "service-unknown"),
				Arguments.of("POST", CHAT, VALID_BODY, List.of("Wisteriapost-Deadline-Ms", "soon"), 400,
						"header-invalid"),
				Arguments.of("POST", CHAT, VALID_BODY, List.of("Wisteriapost-Deadline-Ms", "-1"), 400,
						"header-invalid"),
				Arguments.of("POST", CHAT, VALID_BODY, List.of("Wisteriapost-Priority", "high"), 400, "header-invalid"),
				Arguments.of("POST", CHAT, "x".repeat(5000), none, 413, "body-too-large"),
				Arguments.of("GET", CHAT, "", none, 405, "method-unknown"),
				Arguments.of("GET", "/nothing", "", none, 404, "path-unknown"),
				Arguments.of("GET", "/services/no/x", "", none, 404, "service-unknown"),
				Arguments.of("GET", "/services/lm/x", "", none, 404, "service-unknown"),
				Arguments.of("POST", "/services/registry/x", "1", none, 400, "idempotency-key-missing"),
				Arguments.of("POST", "/services/registry/x", "1", List.of("Idempotency-Key", "abc"), 400,
						"idempotency-key-without-time"),
				Arguments.of("POST", "/services/registry/x", "1",
						List.of("Idempotency-Key", "abc", "Idempotency-Key-Time", "noon"), 400,
						"idempotency-key-without-time"),
				Arguments.of("POST", "/services/registry/x", "1", List.of("Idempotency-Key", "4102444800000-x"), 400,
						"idempotency-key-ahead"));
	}

	@Test
	void slowBodyTimesOut() throws IOException {
		String answer = sendRaw("POST " + CHAT + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + EntryFixture.TOKEN
				+ "\r\nContent-Length: 100\r\n\r\n{", false);
		assertThat(answer, containsString("body-too-slow"));
		assertThat(this.fixture.model().calls().size(), is(0));
	}

	@Test
	void chunkedBodyPastTheLimitIsRefused() throws IOException {
		String chunk = "1000\r\n" + "x".repeat(4096) + "\r\n";
		String answer = sendRaw("POST " + CHAT + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + EntryFixture.TOKEN
				+ "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + chunk + "0\r\n\r\n", false);
		assertThat(answer, containsString("body-too-large"));
	}

	@ParameterizedTest
	@MethodSource("malformedHttp")
	void malformedHttpStartsNothingAndDoesNotAffectOtherCallers(String bytes) throws IOException {
		sendRaw(bytes, true);
		assertThat(this.fixture.model().calls().size(), is(0));
		assertThat(this.fixture.chat("next", false).join().status(), is(200));
		EntryFixture.await(() -> this.fixture.entry().idle());
	}

	static Stream<String> malformedHttp() {
		String head = "POST " + CHAT + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + EntryFixture.TOKEN + "\r\n";
		return Stream.of("\u0000\u0001\r\n\r\n", "GET\r\n\r\n", head, head + "Content-Length: 500\r\n\r\n" + VALID_BODY,
				head + "Content-Length: many\r\n\r\n", head + "X: " + "y".repeat(9000) + "\r\n\r\n",
				head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n");
	}

	// Returns the entry's answer, or nothing if the caller disconnects after sending.
	private String sendRaw(String request, boolean disconnect) throws IOException {
		try (Socket socket = new Socket("127.0.0.1", this.fixture.entry().httpPort())) {
			socket.setSoTimeout((int) EntryFixture.TIMEOUT.toMillis());
			OutputStream out = socket.getOutputStream();
			out.write(request.getBytes(StandardCharsets.ISO_8859_1));
			out.flush();
			if (disconnect) {
				return "";
			}
			InputStream in = socket.getInputStream();
			StringBuilder answer = new StringBuilder();
			while (!answer.toString().endsWith("}")) {
				int next = in.read();
				if (next < 0) {
					break;
				}
				answer.append((char) next);
			}
			return answer.toString();
		}
	}

}
