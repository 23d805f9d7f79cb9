package org.wisteriapost.standin;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;

import org.wisteriapost.protocol.http.HttpCall;
import org.wisteriapost.protocol.http.HttpCaller;
import org.wisteriapost.protocol.http.HttpListener;

/**
 * What came back of one call, whole or not.
 */
final class CollectedAnswer implements HttpListener {

	private final CountDownLatch over = new CountDownLatch(1);

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private Map<String, String> headers = Map.of();

	private int status;

	private boolean failed;

	private boolean sent = true;

	/**
	 * Returns the answer once it has ended, well or not.
	 */
	static CollectedAnswer of(HttpCaller caller, HttpCall call) throws InterruptedException {
		CollectedAnswer answer = new CollectedAnswer();
		caller.stream(call, answer);
		answer.over.await();
		return answer;
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
		this.over.countDown();
	}

	@Override
	public void onFailure(boolean mayBeSent, Throwable cause) {
		this.failed = true;
		this.sent = mayBeSent;
		this.over.countDown();
	}

	int status() {
		return this.status;
	}

	/** Returns whether the connection ended before the answer did. */
	boolean failed() {
		return this.failed;
	}

	/** Returns whether any byte of the request may have left. */
	boolean sent() {
		return this.sent;
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
