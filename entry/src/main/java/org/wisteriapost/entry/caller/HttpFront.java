package org.wisteriapost.entry.caller;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.protocol.CallerHeaders;
import org.wisteriapost.protocol.tls.ReloadingTls;
import org.xnio.Options;

/**
 * The HTTP server that callers connect to.
 */
public final class HttpFront implements HttpHandler, AutoCloseable {

	private static final String ENTRIES = "/v1/entries";

	private static final int IO_THREADS = 2;

	// A body is refused at the limit, but read up to this multiple of it: a caller that
	// is still sending would otherwise see a connection reset instead of the refusal.
	private static final long REFUSED_BODY_READ_FACTOR = 4;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final CallIntake intake;

	private final HttpLimits limits;

	private final CallHandler calls;

	private Undertow server;

	private HttpFront(CallIntake intake, HttpLimits limits, CallHandler calls) {
		this.intake = intake;
		this.limits = limits;
		this.calls = calls;
	}

	/**
	 * Returns a running server; throws if the address cannot be bound.
	 * @param tls the TLS configuration towards callers, empty for plain HTTP
	 */
	public static HttpFront start(InetSocketAddress address, HttpLimits limits, OrganisationTokens organisations,
			CallIntake intake, Optional<ReloadingTls> tls) {
		HttpFront front = new HttpFront(intake, limits,
				new CallHandler(new CallParser(organisations, limits), limits, intake));
		Undertow.Builder builder = Undertow.builder();
		if (tls.isPresent()) {
			builder.addHttpsListener(address.getPort(), address.getHostString(), tls.get().context());
		}
		else {
			builder.addHttpListener(address.getPort(), address.getHostString());
		}
		front.server = builder.setIoThreads(IO_THREADS)
			.setWorkerThreads(1)
			.setWorkerOption(Options.CONNECTION_HIGH_WATER, limits.maxConnections())
			.setWorkerOption(Options.CONNECTION_LOW_WATER, limits.maxConnections())
			.setSocketOption(Options.REUSE_ADDRESSES, true)
			.setServerOption(UndertowOptions.MAX_ENTITY_SIZE, REFUSED_BODY_READ_FACTOR * limits.maxBodyBytes())
			.setServerOption(UndertowOptions.MAX_HEADER_SIZE, limits.maxHeaderBytes())
			.setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, (int) limits.bodyTimeout().toMillis())
			.setHandler(front)
			.build();
		front.server.start();
		return front;
	}

	/**
	 * Returns the port that the server is bound to.
	 */
	public int port() {
		return ((InetSocketAddress) this.server.getListenerInfo().getFirst().getAddress()).getPort();
	}

	/**
	 * Returns the number of requests whose answers are not completely sent.
	 */
	public int active() {
		return this.calls.active();
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		String path = exchange.getRequestURI();
		if (path.equals(ENTRIES)) {
			entries(exchange);
		}
		else if (path.equals(CallParser.CHAT)) {
			chat(exchange);
		}
		else if (path.startsWith(CallParser.SERVICES)) {
			this.calls.handleRequest(exchange);
		}
		else {
			refuse(exchange, CodedException.of(CallParser.PATH_UNKNOWN, "see docs/ARCHITECTURE.md for the paths"));
		}
	}

	@Override
	public void close() {
		this.server.stop();
	}

	private void chat(HttpServerExchange exchange) {
		if (!exchange.getRequestMethod().equals(Methods.POST)) {
			refuse(exchange, CodedException.of(CallParser.METHOD_UNKNOWN, "use POST"));
			return;
		}
		this.calls.handleRequest(exchange);
	}

	private void entries(HttpServerExchange exchange) {
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "max-age=" + this.limits.addressCacheSeconds());
		exchange.getResponseHeaders().put(new HttpString(CallerHeaders.OUTCOME), Outcome.RAN.text());
		exchange.getResponseSender()
			.send(ByteBuffer
				.wrap(json(new EntriesAnswer(this.intake.view().entries(), this.limits.addressCacheSeconds()))));
	}

	private static void refuse(HttpServerExchange exchange, CodedException ex) {
		CallerAnswer answer = new CallerAnswer(exchange, "none", 0);
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> answer.refuse(CallHandler.invalidRequest(ex)));
	}

	private static byte[] json(Record value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot encode the list of entries", ex);
		}
	}

	/**
	 * The answer that lists the entries' addresses, written as JSON.
	 *
	 * @param entries addresses of the form {@code http://IP:PORT}
	 * @param keepSeconds how long the answer may be cached
	 */
	record EntriesAnswer(List<String> entries, long keepSeconds) {
	}

}
