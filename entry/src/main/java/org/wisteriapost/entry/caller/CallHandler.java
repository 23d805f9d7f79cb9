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
 * Takes one request: checks what its head says, reads its body within bounds of size and
 * time, and hands it to the event loop.
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

	private static final Map<Code, Integer> STATUS = Map.of(CallCheck.TOKEN_UNKNOWN, 401, CallCheck.SERVICE_UNKNOWN,
			404, CallCheck.MODEL_UNKNOWN, 404, CallCheck.PATH_UNKNOWN, 404, CallCheck.METHOD_UNKNOWN, 405,
			BODY_TOO_LARGE, 413, BODY_TOO_SLOW, 408);

	private static final int BAD_REQUEST = 400;

	private static final Pattern REQUEST_ID = Pattern.compile("[A-Za-z0-9._-]{1,64}");

	// A full entry frees a slot with each answer that ends.
	private static final long FULL_MILLIS = 200;

	private static final long LEAVING_MILLIS = 1;

	private static final long ABSENT_MILLIS = 1000;

	private final CallCheck check;

	private final FrontLimits limits;

	private final FrontPort port;

	private final AtomicLong ids = new AtomicLong();

	private final AtomicInteger active = new AtomicInteger();

	CallHandler(CallCheck check, FrontLimits limits, FrontPort port) {
		this.check = check;
		this.limits = limits;
		this.port = port;
	}

	/**
	 * Returns the requests in progress.
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
		CallerAnswer answer = new CallerAnswer(exchange, requestId, this.limits.unsentBytes());
		try {
			String organisation = this.check.organisation(exchange);
			Optional<Refusal> refusal = refusal(now, exchange);
			if (refusal.isPresent()) {
				answerNow(exchange, answer, refusal.get());
				return;
			}
			long deadline = this.check.deadline(exchange, nowNanos);
			read(exchange, answer, (body) -> submit(exchange, requestId, organisation, deadline, body, answer));
		}
		catch (CodedException ex) {
			answerNow(exchange, answer, refusal(exchange, ex));
		}
	}

	private Refusal refusal(HttpServerExchange exchange, CodedException ex) {
		if (ex.code().equals(CallCheck.TOKEN_UNKNOWN) && !this.check.mayRejectToken(exchange)) {
			return Refusal.later(TOKEN_DOUBTFUL.name(), TOKEN_DOUBTFUL.summary(), ABSENT_MILLIS);
		}
		return bad(ex);
	}

	private Optional<Refusal> refusal(int now, HttpServerExchange exchange) {
		ServiceView view = this.port.view();
		if (view.leaving()) {
			Refusal leaving = Refusal.later(ENTRY_LEAVING.name(), ENTRY_LEAVING.summary(), LEAVING_MILLIS);
			return Optional.of(new Refusal(leaving.status(), leaving.code(), leaving.message(), leaving.outcome(),
					leaving.retryAfterMillis(), view.entries()));
		}
		if (now > this.limits.streams()) {
			return Optional.of(Refusal.later(ENTRY_FULL.name(), ENTRY_FULL.summary(), FULL_MILLIS));
		}
		if (view.generation() == 0) {
			return Optional.of(Refusal.later(BUNDLE_ABSENT.name(), BUNDLE_ABSENT.summary(), ABSENT_MILLIS));
		}
		if (exchange.getRequestContentLength() > this.limits.bodyBytes()) {
			return Optional.of(bad(CodedException.of(BODY_TOO_LARGE, "the limit is " + this.limits.bodyBytes())));
		}
		return Optional.empty();
	}

	// A body that trickles in holds a slot and its buffer; the timer takes both back.
	private void read(HttpServerExchange exchange, CallerAnswer answer, java.util.function.Consumer<byte[]> next) {
		XnioExecutor.Key timer = exchange.getIoThread()
			.executeAfter(() -> tooSlow(exchange, answer), this.limits.bodyTimeout().toMillis(), TimeUnit.MILLISECONDS);
		exchange.getRequestReceiver().setMaxBufferSize(this.limits.bodyBytes());
		exchange.getRequestReceiver().receiveFullBytes((same, body) -> {
			timer.remove();
			next.accept(body);
		}, (same, ex) -> {
			timer.remove();
			unreadable(exchange, answer, ex);
		});
	}

	private void tooSlow(HttpServerExchange exchange, CallerAnswer answer) {
		exchange.setPersistent(false);
		answer.refuse(
				bad(CodedException.of(BODY_TOO_SLOW, "the limit is " + this.limits.bodyTimeout().toMillis() + " ms")));
	}

	private void unreadable(HttpServerExchange exchange, CallerAnswer answer, IOException ex) {
		if (ex instanceof Receiver.RequestToLargeException || ex instanceof io.undertow.server.RequestTooBigException) {
			exchange.setPersistent(false);
			answerNow(exchange, answer,
					bad(CodedException.of(BODY_TOO_LARGE, "the limit is " + this.limits.bodyBytes())));
			return;
		}
		IoUtils.safeClose(exchange.getConnection());
	}

	private void submit(HttpServerExchange exchange, String requestId, String organisation, long deadlineNanos,
			byte[] body, CallerAnswer answer) {
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
			ServiceView view = this.port.view();
			try {
				CallerCall call = this.check.call(this.ids.incrementAndGet(), requestId, organisation, deadlineNanos,
						exchange, body, view, answer);
				HangUpWatch.start(exchange, () -> this.port.gone(call.id()));
				if (!this.port.submit(call)) {
					this.port.turnedAway(ENTRY_FULL.name());
					answer.refuse(Refusal.later(ENTRY_FULL.name(), ENTRY_FULL.summary(), FULL_MILLIS));
				}
			}
			catch (CodedException ex) {
				Refusal refusal = refusal(ex, view);
				this.port.turnedAway(refusal.code());
				answer.refuse(refusal);
			}
		});
	}

	// What a bundle lacks is wrong only if no newer one has it: see RejectionGuard. The
	// age is that of the bundle it was judged by.
	private static Refusal refusal(CodedException ex, ServiceView view) {
		boolean byBundle = ex.code().equals(CallCheck.SERVICE_UNKNOWN) || ex.code().equals(CallCheck.MODEL_UNKNOWN);
		if (byBundle && !view.mayReject(System.nanoTime(), System.currentTimeMillis())) {
			return Refusal.later(BUNDLE_DOUBTFUL.name(), BUNDLE_DOUBTFUL.summary(), ABSENT_MILLIS);
		}
		return bad(ex);
	}

	private void answerNow(HttpServerExchange exchange, CallerAnswer answer, Refusal refusal) {
		this.port.turnedAway(refusal.code());
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> answer.refuse(refusal));
	}

	static Refusal bad(CodedException ex) {
		return Refusal.bad(STATUS.getOrDefault(ex.code(), BAD_REQUEST), ex.code().name(),
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
