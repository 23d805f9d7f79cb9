package org.wisteriapost.standin;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;

import org.wisteriapost.protocol.http.HttpCall;
import org.wisteriapost.protocol.http.HttpResponseListener;
import org.wisteriapost.protocol.http.PooledHttpClient;

/**
 * Buffers the response to one call, complete or not.
 */
final class BufferedResponse implements HttpResponseListener {

	private final CountDownLatch completed = new CountDownLatch(1);

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private Map<String, String> headers = Map.of();

	private int status;

	private boolean failed;

	private boolean possiblySent = true;

	/**
	 * Sends the call and waits until the response has ended or failed.
	 */
	static BufferedResponse of(PooledHttpClient caller, HttpCall call) throws InterruptedException {
		BufferedResponse response = new BufferedResponse();
		caller.stream(call, response);
		response.completed.await();
		return response;
	}

	@Override
	public void onHead(int newStatus, Map<String, String> newHeaders) {
		this.status = newStatus;
		this.headers = newHeaders;
	}

	@Override
	public void onData(byte[] data) {
		this.body.writeBytes(data);
	}

	@Override
	public void onEnd() {
		this.completed.countDown();
	}

	@Override
	public void onFailure(boolean requestPossiblySent, Throwable cause) {
		this.failed = true;
		this.possiblySent = requestPossiblySent;
		this.completed.countDown();
	}

	int status() {
		return this.status;
	}

	/** Returns whether the connection failed before the response ended. */
	boolean failed() {
		return this.failed;
	}

	/** Returns whether any byte of the request may have been sent. */
	boolean possiblySent() {
		return this.possiblySent;
	}

	Optional<String> header(String name) {
		return Optional.ofNullable(this.headers.get(name.toLowerCase(Locale.ROOT)));
	}

	byte[] body() {
		return this.body.toByteArray();
	}

	String text() {
		return this.body.toString(StandardCharsets.UTF_8);
	}

}
