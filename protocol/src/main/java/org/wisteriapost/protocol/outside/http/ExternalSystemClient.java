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
import org.wisteriapost.protocol.http.HttpResponse;
import org.wisteriapost.protocol.http.PooledHttpClient;

/**
 * Sends calls to an external system and maps failures to codes.
 */
final class ExternalSystemClient {

	/**
	 * Timeout of a call. External systems normally answer within milliseconds.
	 */
	static final Duration TIMEOUT = Duration.ofSeconds(4);

	private static final int STATUS_OK = 200;

	private final PooledHttpClient caller;

	private final String address;

	ExternalSystemClient(PooledHttpClient caller, URI address) {
		this.caller = caller;
		String text = address.toString();
		this.address = text.endsWith("/") ? text.substring(0, text.length() - 1) : text;
	}

	/**
	 * Returns a call to a path; the segments of the path are escaped.
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
	 * Sends a call and decodes its response. The future fails with an unwrapped
	 * {@link CodedException} when there was no complete response or it could not be
	 * decoded.
	 * @param decode throws a coded exception for an unexpected status
	 * @param failureCode returns the code for a call without a complete response
	 */
	<T> CompletableFuture<T> send(HttpCall call, Function<HttpResponse, T> decode,
			Function<Throwable, Code> failureCode) {
		CompletableFuture<T> result = new CompletableFuture<>();
		CompletableFuture<HttpResponse> reply = this.caller.call(call);
		reply.whenComplete((response, failure) -> {
			try {
				if (failure != null) {
					throw CodedException.of(failureCode.apply(failure), unwrap(failure).getMessage(), failure);
				}
				result.complete(decode.apply(response));
			}
			catch (CodedException ex) {
				result.completeExceptionally(ex);
			}
			catch (RuntimeException ex) {
				String detail = call.method() + " " + call.target() + ": " + ex.getMessage();
				result.completeExceptionally(CodedException.of(failureCode.apply(ex), detail, ex));
			}
		});
		// A cancelled watch must not stay open, since the platform counts it against its
		// limits.
		result.whenComplete((value, failure) -> {
			if (result.isCancelled()) {
				reply.cancel(false);
			}
		});
		return result;
	}

	/**
	 * Returns a decoder of the body of a 200 response; any other status fails with the
	 * code.
	 */
	static <T> Function<HttpResponse, T> body(Class<T> type, Code code) {
		return (reply) -> Json.read(expect(reply, STATUS_OK, code).body(), type);
	}

	static HttpResponse expect(HttpResponse reply, int status, Code code) {
		if (reply.status() != status) {
			throw CodedException.of(code, "status " + reply.status());
		}
		return reply;
	}

	private static Throwable unwrap(Throwable failure) {
		boolean wrapped = failure instanceof CompletionException && failure.getCause() != null;
		return wrapped ? failure.getCause() : failure;
	}

}
