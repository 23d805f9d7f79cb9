package org.wisteriapost.standin;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.xnio.IoUtils;

/**
 * Answers one request, from any thread, as its fault says.
 */
final class Responder {

	private static final byte[] NOTHING = new byte[0];

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
		whole(status, Map.of(), NOTHING);
	}

	void text(int status, String text) {
		whole(status, Map.of("Content-Type", "text/plain"), text.getBytes(StandardCharsets.UTF_8));
	}

	void json(int status, Object value) {
		whole(status, Map.of("Content-Type", "application/json"), Json.write(value));
	}

	void whole(int status, Map<String, String> headers, byte[] body) {
		BodyStream stream = stream(status, headers, body.length);
		stream.push(body);
		stream.end();
	}

	/**
	 * Returns the body of an answer that is written piece by piece.
	 * @param length of the body, or -1 when it is not known
	 */
	BodyStream stream(int status, Map<String, String> headers, long length) {
		this.exchange.getIoThread().execute(() -> head(status, headers, length));
		return BodyStream.of(this.exchange, length, this.fault);
	}

	/** Closes the connection without an answer. */
	void cut() {
		IoUtils.safeClose(this.exchange.getConnection());
	}

	/** Runs a task when the caller closes the connection before the answer has ended. */
	Runnable onGone(Runnable gone) {
		return CloseWatch.start(this.exchange, gone);
	}

	private void head(int status, Map<String, String> headers, long length) {
		if (this.fault == Fault.Kind.LOSE_ANSWERS) {
			cut();
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
