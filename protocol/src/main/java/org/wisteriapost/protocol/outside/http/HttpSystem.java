package org.wisteriapost.protocol.outside.http;

import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.protocol.http.HttpCall;
import org.wisteriapost.protocol.http.HttpCaller;
import org.wisteriapost.protocol.http.HttpFailure;
import org.wisteriapost.protocol.http.HttpReply;

/**
 * One outside system's address and how its calls are sent.
 */
final class HttpSystem {

	/**
	 * An outside system answers in milliseconds; after this long its link counts as dead.
	 */
	static final Duration TIMEOUT = Duration.ofSeconds(4);

	private static final int STATUS_OK = 200;

	private final HttpCaller caller;

	private final String address;

	HttpSystem(HttpCaller caller, URI address) {
		this.caller = caller;
		String text = address.toString();
		this.address = text.endsWith("/") ? text.substring(0, text.length() - 1) : text;
	}

	/**
	 * Returns the call to a path; the path's parts are escaped, its slashes kept.
	 */
	HttpCall request(String method, String path) {
		return request(method, path, "", TIMEOUT);
	}

	HttpCall request(String method, String path, String query, Duration timeout) {
		String escaped = escape(path).replace("%2F", "/");
		String suffix = query.isEmpty() ? "" : "?" + query;
		return HttpCall.of(method, URI.create(this.address + escaped + suffix), timeout);
	}

	static String escape(String text) {
		return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
	}

	/**
	 * Returns what the answer says; fails with a code for any call that had no answer and
	 * for any answer that cannot be read. The future fails with the
	 * {@link CodedException} itself, not wrapped.
	 * @param read throws a coded exception for a status that it does not accept
	 * @param failed the code when no whole answer came
	 */
	<T> CompletableFuture<T> send(HttpCall call, Function<HttpReply, T> read, Function<Throwable, Code> failed) {
		CompletableFuture<T> result = new CompletableFuture<>();
		CompletableFuture<HttpReply> reply = this.caller.call(call);
		reply.whenComplete((answer, failure) -> {
			try {
				if (failure != null) {
					throw CodedException.of(failed.apply(failure), unwrap(failure).getMessage(), failure);
				}
				result.complete(read.apply(answer));
			}
			catch (CodedException ex) {
				result.completeExceptionally(ex);
			}
			catch (RuntimeException ex) {
				String detail = call.method() + " " + call.target() + ": " + ex.getMessage();
				result.completeExceptionally(CodedException.of(failed.apply(ex), detail, ex));
			}
		});
		// A caller that gives up must not leave a waiting watch behind: the platform
		// counts it against its limits.
		result.whenComplete((value, failure) -> {
			if (result.isCancelled()) {
				reply.cancel(false);
			}
		});
		return result;
	}

	/**
	 * Returns the whole body of a 200 as a reader; any other status is the code.
	 */
	static <T> Function<HttpReply, T> body(Class<T> type, Code otherwise) {
		return (reply) -> Json.read(expect(reply, STATUS_OK, otherwise).body(), type);
	}

	static HttpReply expect(HttpReply reply, int status, Code otherwise) {
		if (reply.status() != status) {
			throw CodedException.of(otherwise, "status " + reply.status());
		}
		return reply;
	}

	/**
	 * Returns whether a failed call may have reached the other side; true when in doubt.
	 */
	static boolean sent(Throwable failure) {
		for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
			if (cause instanceof HttpFailure known) {
				return known.sent();
			}
		}
		return true;
	}

	private static Throwable unwrap(Throwable failure) {
		boolean wrapped = failure instanceof CompletionException && failure.getCause() != null;
		return wrapped ? failure.getCause() : failure;
	}

}
