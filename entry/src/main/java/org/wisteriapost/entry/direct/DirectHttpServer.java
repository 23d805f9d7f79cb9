package org.wisteriapost.entry.direct;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.io.Receiver;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import org.wisteriapost.entry.caller.CallerAnswer;
import org.wisteriapost.entry.caller.DisconnectWatch;
import org.wisteriapost.entry.caller.Refusal;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.policy.region.DirectoryQuery;
import org.wisteriapost.policy.routing.CallLimits;
import org.wisteriapost.protocol.site.CallProtocol;
import org.wisteriapost.protocol.site.CallerRequestFields;
import org.wisteriapost.protocol.site.SiteSettings;
import org.xnio.IoUtils;
import org.xnio.XnioWorker;

/**
 * The HTTP listeners of an entry: one for callers' requests, one for readiness checks and
 * one for the directory of entry addresses.
 */
final class DirectHttpServer implements AutoCloseable {

	static final Code ATTEMPT_MISSING = Code.error("attempt-missing", "The request does not name its attempt.");

	private static final Code HEAD_TOO_LARGE = Code.error("head-too-large", "The request's head is over the limit.");

	private static final Code CONTENT_TOO_LARGE = Code.error("content-too-large",
			"The request's body is over the limit.");

	private static final Code LOOP_FULL = Code.refusal("loop-full", "The entry has as much to do as it may hold.");

	private static final int BAD_REQUEST = 400;

	private static final int TOO_LARGE = 413;

	private static final int HEAD_LARGE = 431;

	private static final int UNAVAILABLE = 503;

	private static final int OK = 200;

	// Limits the memory held for one slow caller, at some hundred events.
	private static final long MAX_UNSENT_BYTES = 256 << 10;

	// The parser's limit is above any declared one, which is checked separately.
	private static final int MAX_PARSED_HEADER_BYTES = 64 << 10;

	// The same for a body. What a caller sends beyond a declared limit is read up to
	// this, since it would otherwise see a reset instead of the rejection.
	private static final long MAX_READ_BODY_BYTES = 64L << 20;

	// Twice the usual idle limit of callers, so that a connection is not closed while a
	// caller is about to reuse it.
	private static final int IDLE_TIMEOUT_MILLIS = 60_000;

	private static final long SHORT_RETRY_MILLIS = 300;

	// How long callers may cache a directory answer. Some cache it three times as long;
	// GracefulShutdown accepts requests for that time.
	private static final int DIRECTORY_TTL_SECONDS = 1;

	private final EntryHandle entry;

	private final CallProtocol dialect;

	private final AtomicLong requestIds = new AtomicLong();

	private Undertow server;

	private DirectHttpServer(EntryHandle entry, CallProtocol dialect) {
		this.entry = entry;
		this.dialect = dialect;
	}

	static DirectHttpServer start(SiteSettings settings, CallProtocol dialect, XnioWorker worker, EntryHandle entry) {
		DirectHttpServer httpServer = new DirectHttpServer(entry, dialect);
		Undertow.Builder builder = Undertow.builder()
			.setWorker(worker)
			.setServerOption(UndertowOptions.DECODE_URL, false)
			.setServerOption(UndertowOptions.ALLOW_UNESCAPED_CHARACTERS_IN_URL, true)
			.setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
			.setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
			.setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_PARSED_HEADER_BYTES)
			.setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_READ_BODY_BYTES)
			.setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
			.setSocketOption(org.xnio.Options.REUSE_ADDRESSES, true);
		settings.callerAddress().ifPresent((address) -> listen(builder, address, httpServer::handleCall));
		settings.readinessAddress().ifPresent((address) -> listen(builder, address, httpServer::handleReadiness));
		settings.directoryAddress().ifPresent((address) -> listen(builder, address, httpServer::handleDirectory));
		httpServer.server = builder.build();
		httpServer.server.start();
		return httpServer;
	}

	private static void listen(Undertow.Builder builder, InetSocketAddress address, HttpHandler handler) {
		builder.addListener(new Undertow.ListenerBuilder().setType(Undertow.ListenerType.HTTP)
			.setHost(address.getHostString())
			.setPort(address.getPort())
			.setRootHandler(handler));
	}

	/**
	 * Returns the bound ports, in the order of the settings.
	 */
	List<Integer> ports() {
		return this.server.getListenerInfo()
			.stream()
			.map((info) -> ((InetSocketAddress) info.getAddress()).getPort())
			.toList();
	}

	@Override
	public void close() {
		this.server.stop();
	}

	private void handleReadiness(HttpServerExchange exchange) {
		boolean pathMatches = exchange.getRequestURI().equals(this.dialect.readinessPath());
		exchange.setStatusCode((pathMatches && this.entry.ready()) ? OK : UNAVAILABLE);
		exchange.endExchange();
	}

	private void handleDirectory(HttpServerExchange exchange) {
		List<String> addresses = this.entry.addresses(directoryQuery(exchange));
		if (!exchange.getRequestURI().equals(this.dialect.directoryPath()) || addresses.isEmpty()) {
			exchange.setStatusCode(UNAVAILABLE);
			exchange.endExchange();
			return;
		}
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseSender()
			.send(ByteBuffer.wrap(this.dialect.encodeDirectory(addresses, DIRECTORY_TTL_SECONDS)));
	}

	private DirectoryQuery directoryQuery(HttpServerExchange exchange) {
		Optional<String> host = parameter(exchange, this.dialect.hostParameter()).flatMap(DirectHttpServer::decoded);
		Optional<String> region = parameter(exchange, this.dialect.regionParameter())
			.flatMap(DirectHttpServer::decoded);
		return new DirectoryQuery(host.map(DirectHttpServer::hostName), region,
				parameter(exchange, this.dialect.failureDomainParameter()));
	}

	private static Optional<String> parameter(HttpServerExchange exchange, String name) {
		return Optional.ofNullable(exchange.getQueryParameters().get(name)).map(Deque::peekFirst);
	}

	// The server does not decode queries, which are forwarded to runners as sent.
	private static Optional<String> decoded(String value) {
		try {
			return Optional.of(URLDecoder.decode(value, StandardCharsets.UTF_8));
		}
		catch (IllegalArgumentException ex) {
			// A malformed parameter is treated as absent.
			return Optional.empty();
		}
	}

	private void handleCall(HttpServerExchange exchange) {
		long now = System.nanoTime();
		if (this.entry.leaving()) {
			exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
		}
		CallerRequestFields fields = this.dialect.parseRequest((name) -> exchange.getRequestHeaders().getFirst(name));
		CallerAnswer answer = CallerAnswer.withFractionalRetryAfter(exchange, fields.attemptId().orElse("none"),
				MAX_UNSENT_BYTES);
		Optional<CallLimits> limits = this.entry.limits();
		if (limits.isPresent() && headBytes(exchange) > limits.get().maxHeaderBytes()) {
			rejectOverLimit(exchange, answer, limits, HEAD_LARGE, HEAD_TOO_LARGE);
			return;
		}
		long maxBodyBytes = limits.map(CallLimits::maxBodyBytes).orElse(4L << 20);
		if (exchange.getRequestContentLength() > maxBodyBytes) {
			exchange.setPersistent(false);
			rejectOverLimit(exchange, answer, limits, TOO_LARGE, CONTENT_TOO_LARGE);
			return;
		}
		if (fields.attemptId().isEmpty()) {
			refuse(exchange, answer, BAD_REQUEST, ATTEMPT_MISSING);
			return;
		}
		exchange.getRequestReceiver().setMaxBufferSize((int) Math.min(Integer.MAX_VALUE, maxBodyBytes));
		exchange.getRequestReceiver()
			.receiveFullBytes((same, body) -> submit(exchange, fields, body, answer, now),
					(same, ex) -> onReadFailure(exchange, answer, limits, ex));
	}

	private void submit(HttpServerExchange exchange, CallerRequestFields fields, byte[] body, CallerAnswer answer,
			long now) {
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
			IncomingRequest request = readRequest(exchange, fields, body, answer, now);
			Runnable answerSent = this.entry.openAnswers().begin();
			exchange.addExchangeCompleteListener((done, next) -> {
				answerSent.run();
				next.proceed();
			});
			if (!this.entry.offer(new DirectEvent.RequestArrived(request))) {
				answer.refuse(Refusal.temporary(LOOP_FULL.name(), LOOP_FULL.summary(), SHORT_RETRY_MILLIS));
				return;
			}
			DisconnectWatch.start(exchange, () -> {
				answerSent.run();
				this.entry.put(new DirectEvent.CallerDisconnected(request.id()));
			});
		});
	}

	private IncomingRequest readRequest(HttpServerExchange exchange, CallerRequestFields fields, byte[] body,
			CallerAnswer answer, long now) {
		HeaderValues connection = exchange.getRequestHeaders().get(Headers.CONNECTION);
		List<String> connectionOptions = HopByHopHeaders
			.connectionOptions((connection != null) ? connection : List.of());
		Map<String, String> headers = new LinkedHashMap<>();
		for (HeaderValues header : exchange.getRequestHeaders()) {
			String name = header.getHeaderName().toString();
			String lower = name.toLowerCase(Locale.ROOT);
			if (IncomingRequest.isEndToEnd(lower, connectionOptions) && !this.dialect.isReservedHeader(lower)) {
				headers.put(name, String.join(", ", header));
			}
		}
		String path = exchange.getRequestURI();
		String query = exchange.getQueryString();
		return new IncomingRequest(this.requestIds.incrementAndGet(), exchange.getRequestMethod().toString(),
				host(exchange), path, query.isEmpty() ? path : path + "?" + query, headers, token(exchange), fields,
				body, answer, now);
	}

	private static String host(HttpServerExchange exchange) {
		return hostName(Optional.ofNullable(exchange.getRequestHeaders().getFirst(Headers.HOST)).orElse(""));
	}

	private static String hostName(String host) {
		int colon = host.lastIndexOf(':');
		return ((colon > 0) ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
	}

	private static Optional<String> token(HttpServerExchange exchange) {
		String value = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
		if (value == null || !value.regionMatches(true, 0, "Bearer ", 0, 7)) {
			return Optional.empty();
		}
		return Optional.of(value.substring(7).trim());
	}

	private static int headBytes(HttpServerExchange exchange) {
		int bytes = exchange.getRequestURI().length() + exchange.getQueryString().length();
		for (HeaderValues header : exchange.getRequestHeaders()) {
			for (String value : header) {
				bytes += header.getHeaderName().length() + value.length() + 4;
			}
		}
		return bytes;
	}

	private void onReadFailure(HttpServerExchange exchange, CallerAnswer answer, Optional<CallLimits> limits,
			IOException ex) {
		exchange.setPersistent(false);
		if (ex instanceof Receiver.RequestToLargeException || ex instanceof RequestTooBigException) {
			rejectOverLimit(exchange, answer, limits, TOO_LARGE, CONTENT_TOO_LARGE);
			return;
		}
		IoUtils.safeClose(exchange.getConnection());
	}

	// Rejects only if the applied limit is still current and confirmed recently enough;
	// otherwise a raised limit might not have arrived yet (see RejectionGuard) and the
	// request is refused as not run. The limit can change while a body is received. It
	// is read after the permit is checked, so it is at least as recent.
	private void rejectOverLimit(HttpServerExchange exchange, CallerAnswer answer, Optional<CallLimits> appliedLimits,
			int status, Code code) {
		if (this.entry.mayReject() && appliedLimits.isPresent() && appliedLimits.equals(this.entry.limits())) {
			refuse(exchange, answer, status, code);
			return;
		}
		Code doubtful = RequestAdmission.TABLE_DOUBTFUL;
		exchange.dispatch(SameThreadExecutor.INSTANCE,
				() -> answer.refuse(Refusal.temporary(doubtful.name(), doubtful.summary(), SHORT_RETRY_MILLIS)));
	}

	private static void refuse(HttpServerExchange exchange, CallerAnswer answer, int status, Code code) {
		exchange.dispatch(SameThreadExecutor.INSTANCE,
				() -> answer.refuse(Refusal.invalidRequest(status, code.name(), code.summary())));
	}

}
