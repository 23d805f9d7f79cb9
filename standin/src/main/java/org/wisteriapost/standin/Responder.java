package org.wisteriapost.standin;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.xnio.IoUtils;

/**
 * Sends the response to one request, from any thread, subject to an injected fault.
 */
final class Responder {

	private static final byte[] EMPTY_BODY = new byte[0];

	private final HttpServerExchange exchange;

	private final Fault.Kind fault;

	private Responder(HttpServerExchange exchange, Fault.Kind fault) {
		this.exchange = exchange;
		this.fault = fault;
	}

	static Responder of(HttpServerExchange exchange, Fault.Kind fault) {
		return new Responder(exchange, fault);
	}

	void status(int status) {
		bytes(status, Map.of(), EMPTY_BODY);
	}

	void text(int status, String text) {
		bytes(status, Map.of("Content-Type", "text/plain"), text.getBytes(StandardCharsets.UTF_8));
	}

	void json(int status, Object value) {
		bytes(status, Map.of("Content-Type", "application/json"), Json.write(value));
	}

	void bytes(int status, Map<String, String> headers, byte[] body) {
		ResponseBodyStream stream = stream(status, headers, body.length);
		stream.push(body);
		stream.end();
	}

	/**
	 * Starts a response whose body is written in chunks.
	 * @param length of the body, or -1 if it is unknown
	 */
	ResponseBodyStream stream(int status, Map<String, String> headers, long length) {
		this.exchange.getIoThread().execute(() -> startResponse(status, headers, length));
		return ResponseBodyStream.of(this.exchange, length, this.fault);
	}

	/** Closes the connection without a response. */
	void closeConnection() {
		IoUtils.safeClose(this.exchange.getConnection());
	}

	/** Runs a task if the client closes the connection before the response has ended. */
	Runnable onDisconnect(Runnable action) {
		return DisconnectDetector.start(this.exchange, action);
	}

	private void startResponse(int status, Map<String, String> headers, long length) {
		if (this.fault == Fault.Kind.LOSE_ANSWERS) {
			closeConnection();
			return;
		}
		this.exchange.setStatusCode(status);
		headers.forEach((name, value) -> this.exchange.getResponseHeaders().put(new HttpString(name), value));
		if (length >= 0) {
			this.exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, length);
		}
	}

	static byte[] corrupted(byte[] data) {
		byte[] other = Arrays.copyOf(data, data.length);
		if (other.length > 0) {
			other[other.length / 2] ^= 1;
		}
		return other;
	}

}
