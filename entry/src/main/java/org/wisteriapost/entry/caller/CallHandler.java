package org.wisteriapost.entry.caller;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Pattern;

import io.undertow.io.Receiver;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.SameThreadExecutor;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.protocol.CallerHeaders;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * Handles a caller's request: checks its headers, reads its body within limits of size
 * and time, and submits it to the event loop.
 */
final class CallHandler implements HttpHandler {

	static final Code BODY_TOO_LARGE = Code.error("body-too-large", "The body is over the limit.");

	static final Code BODY_TOO_SLOW = Code.error("body-too-slow", "The body did not come in time.");

	static final Code ENTRY_FULL = Code.refusal("entry-full",
			"The entry has as many requests in progress as it may hold.");

	static final Code ENTRY_LEAVING = Code.refusal("entry-leaving", "The entry is leaving and takes no new requests.");

	static final Code BUNDLE_ABSENT = Code.refusal("bundle-absent", "The entry does not know an accepted bundle yet.");

	static final Code BUNDLE_DOUBTFUL = Code.refusal("bundle-doubtful",
			"The entry's bundle does not have what was asked for and may be old.");

	static final Code TOKEN_DOUBTFUL = Code.refusal("token-doubtful",
			"The bearer token is not known here, and not all files of tokens were read lately.");

	private static final Map<Code, Integer> STATUS = Map.of(CallParser.TOKEN_UNKNOWN, 401, CallParser.SERVICE_UNKNOWN,
			404, CallParser.MODEL_UNKNOWN, 404, CallParser.PATH_UNKNOWN, 404, CallParser.METHOD_UNKNOWN, 405,
			BODY_TOO_LARGE, 413, BODY_TOO_SLOW, 408);

	private static final int BAD_REQUEST = 400;

	private static final Pattern REQUEST_ID = Pattern.compile("[A-Za-z0-9._-]{1,64}");

	// Short, since every answer that ends frees a slot.
	private static final long FULL_RETRY_MILLIS = 200;

	private static final long LEAVING_RETRY_MILLIS = 1;

	private static final long STALE_STATE_RETRY_MILLIS = 1000;

	private final CallParser parser;

	private final HttpLimits limits;

	private final CallIntake intake;

	private final AtomicLong ids = new AtomicLong();

	private final AtomicInteger active = new AtomicInteger();

	CallHandler(CallParser parser, HttpLimits limits, CallIntake intake) {
		this.parser = parser;
		this.limits = limits;
		this.intake = intake;
	}

	/**
	 * Returns the number of requests in progress.
	 */
	int active() {
		return this.active.get();
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		long nowNanos = System.nanoTime();
		int now = this.active.incrementAndGet();
		exchange.addExchangeCompleteListener((done, next) -> {
			this.active.decrementAndGet();
			next.proceed();
		});
		String requestId = requestId(exchange.getRequestHeaders());
		CallerAnswer answer = new CallerAnswer(exchange, requestId, this.limits.maxUnsentBytes());
		try {
			String organisation = this.parser.organisation(exchange);
			Optional<Refusal> refusal = refusal(now, exchange);
			if (refusal.isPresent()) {
				rejectOnIoThread(exchange, answer, refusal.get());
				return;
			}
			long deadline = this.parser.deadline(exchange, nowNanos);
			readBody(exchange, answer, (body) -> submit(exchange, requestId, organisation, deadline, body, answer));
		}
		catch (CodedException ex) {
			rejectOnIoThread(exchange, answer, refusal(exchange, ex));
		}
	}

	private Refusal refusal(HttpServerExchange exchange, CodedException ex) {
		if (ex.code().equals(CallParser.TOKEN_UNKNOWN) && !this.parser.mayRejectToken(exchange)) {
			return Refusal.temporary(TOKEN_DOUBTFUL.name(), TOKEN_DOUBTFUL.summary(), STALE_STATE_RETRY_MILLIS);
		}
		return invalidRequest(ex);
	}

	private Optional<Refusal> refusal(int now, HttpServerExchange exchange) {
		EntryView view = this.intake.view();
		if (view.leaving()) {
			Refusal leaving = Refusal.temporary(ENTRY_LEAVING.name(), ENTRY_LEAVING.summary(), LEAVING_RETRY_MILLIS);
			return Optional.of(new Refusal(leaving.status(), leaving.code(), leaving.message(), leaving.outcome(),
					leaving.retryAfterMillis(), view.entries()));
		}
		if (now > this.limits.maxRequests()) {
			return Optional.of(Refusal.temporary(ENTRY_FULL.name(), ENTRY_FULL.summary(), FULL_RETRY_MILLIS));
		}
		if (view.generation() == 0) {
			return Optional
				.of(Refusal.temporary(BUNDLE_ABSENT.name(), BUNDLE_ABSENT.summary(), STALE_STATE_RETRY_MILLIS));
		}
		if (exchange.getRequestContentLength() > this.limits.maxBodyBytes()) {
			return Optional
				.of(invalidRequest(CodedException.of(BODY_TOO_LARGE, "the limit is " + this.limits.maxBodyBytes())));
		}
		return Optional.empty();
	}

	// The timeout keeps slow senders from occupying request slots and body buffers.
	private void readBody(HttpServerExchange exchange, CallerAnswer answer, java.util.function.Consumer<byte[]> next) {
		XnioExecutor.Key timer = exchange.getIoThread()
			.executeAfter(() -> bodyTimedOut(exchange, answer), this.limits.bodyTimeout().toMillis(),
					TimeUnit.MILLISECONDS);
		exchange.getRequestReceiver().setMaxBufferSize(this.limits.maxBodyBytes());
		exchange.getRequestReceiver().receiveFullBytes((same, body) -> {
			timer.remove();
			next.accept(body);
		}, (same, ex) -> {
			timer.remove();
			bodyReadFailed(exchange, answer, ex);
		});
	}

	private void bodyTimedOut(HttpServerExchange exchange, CallerAnswer answer) {
		exchange.setPersistent(false);
		answer.refuse(invalidRequest(
				CodedException.of(BODY_TOO_SLOW, "the limit is " + this.limits.bodyTimeout().toMillis() + " ms")));
	}

	private void bodyReadFailed(HttpServerExchange exchange, CallerAnswer answer, IOException ex) {
		if (ex instanceof Receiver.RequestToLargeException || ex instanceof io.undertow.server.RequestTooBigException) {
			exchange.setPersistent(false);
			rejectOnIoThread(exchange, answer,
					invalidRequest(CodedException.of(BODY_TOO_LARGE, "the limit is " + this.limits.maxBodyBytes())));
			return;
		}
		IoUtils.safeClose(exchange.getConnection());
	}

	private void submit(HttpServerExchange exchange, String requestId, String organisation, long deadlineNanos,
			byte[] body, CallerAnswer answer) {
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
			EntryView view = this.intake.view();
			try {
				CallerCall call = this.parser.parse(this.ids.incrementAndGet(), requestId, organisation, deadlineNanos,
						exchange, body, view, answer);
				DisconnectWatch.start(exchange, () -> this.intake.callerDisconnected(call.id()));
				if (!this.intake.submit(call)) {
					this.intake.rejected(ENTRY_FULL.name());
					answer.refuse(Refusal.temporary(ENTRY_FULL.name(), ENTRY_FULL.summary(), FULL_RETRY_MILLIS));
				}
			}
			catch (CodedException ex) {
				Refusal refusal = refusal(ex, view);
				this.intake.rejected(refusal.code());
				answer.refuse(refusal);
			}
		});
	}

	// A service or model that the bundle lacks may be in a newer one, so it is rejected
	// for good only by a recent bundle; see RejectionGuard. The permit must be that of
	// the view which the request was checked against.
	private static Refusal refusal(CodedException ex, EntryView view) {
		boolean byBundle = ex.code().equals(CallParser.SERVICE_UNKNOWN) || ex.code().equals(CallParser.MODEL_UNKNOWN);
		if (byBundle && !view.mayReject(System.nanoTime(), System.currentTimeMillis())) {
			return Refusal.temporary(BUNDLE_DOUBTFUL.name(), BUNDLE_DOUBTFUL.summary(), STALE_STATE_RETRY_MILLIS);
		}
		return invalidRequest(ex);
	}

	private void rejectOnIoThread(HttpServerExchange exchange, CallerAnswer answer, Refusal refusal) {
		this.intake.rejected(refusal.code());
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> answer.refuse(refusal));
	}

	static Refusal invalidRequest(CodedException ex) {
		return Refusal.invalidRequest(STATUS.getOrDefault(ex.code(), BAD_REQUEST), ex.code().name(),
				ex.code().summary() + " " + ex.getMessage());
	}

	private static String requestId(HeaderMap headers) {
		String given = headers.getFirst(CallerHeaders.REQUEST_ID);
		if (given != null && REQUEST_ID.matcher(given).matches()) {
			return given;
		}
		return UUID.randomUUID().toString();
	}

}
