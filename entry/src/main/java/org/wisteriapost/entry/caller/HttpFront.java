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
 * The address that callers connect to.
 */
public final class HttpFront implements HttpHandler, AutoCloseable {

	private static final String ENTRIES = "/v1/entries";

	private static final int IO_THREADS = 2;

	// A body over the limit is refused at the limit, but read on for a while: a caller
	// that
	// is still sending would find its connection reset and never see the answer.
	private static final long READ_ON = 4;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final FrontPort port;

	private final FrontLimits limits;

	private final CallHandler calls;

	private Undertow server;

	private HttpFront(FrontPort port, FrontLimits limits, CallHandler calls) {
		this.port = port;
		this.limits = limits;
		this.calls = calls;
	}

	/**
	 * Returns a running front; throws when the address cannot be taken.
	 * @param tls towards callers, empty for none
	 */
	public static HttpFront start(InetSocketAddress address, FrontLimits limits, Organisations organisations,
			FrontPort port, Optional<ReloadingTls> tls) {
		HttpFront front = new HttpFront(port, limits,
				new CallHandler(new CallCheck(organisations, limits), limits, port));
		Undertow.Builder builder = Undertow.builder();
		if (tls.isPresent()) {
			builder.addHttpsListener(address.getPort(), address.getHostString(), tls.get().context());
		}
		else {
			builder.addHttpListener(address.getPort(), address.getHostString());
		}
		front.server = builder.setIoThreads(IO_THREADS)
			.setWorkerThreads(1)
			.setWorkerOption(Options.CONNECTION_HIGH_WATER, limits.connections())
			.setWorkerOption(Options.CONNECTION_LOW_WATER, limits.connections())
			.setSocketOption(Options.REUSE_ADDRESSES, true)
			.setServerOption(UndertowOptions.MAX_ENTITY_SIZE, READ_ON * limits.bodyBytes())
			.setServerOption(UndertowOptions.MAX_HEADER_SIZE, limits.headerBytes())
			.setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, (int) limits.bodyTimeout().toMillis())
			.setHandler(front)
			.build();
		front.server.start();
		return front;
	}

	/**
	 * Returns the port, also when a free one was chosen.
	 */
	public int port() {
		return ((InetSocketAddress) this.server.getListenerInfo().getFirst().getAddress()).getPort();
	}

	/**
	 * Returns the requests in progress, their answers' last bytes included.
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
		else if (path.equals(CallCheck.CHAT)) {
			chat(exchange);
		}
		else if (path.startsWith(CallCheck.SERVICES)) {
			this.calls.handleRequest(exchange);
		}
		else {
			refuse(exchange, CodedException.of(CallCheck.PATH_UNKNOWN, "see docs/ARCHITECTURE.md for the paths"));
		}
	}

	@Override
	public void close() {
		this.server.stop();
	}

	private void chat(HttpServerExchange exchange) {
		if (!exchange.getRequestMethod().equals(Methods.POST)) {
			refuse(exchange, CodedException.of(CallCheck.METHOD_UNKNOWN, "use POST"));
			return;
		}
		this.calls.handleRequest(exchange);
	}

	private void entries(HttpServerExchange exchange) {
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "max-age=" + this.limits.keepSeconds());
		exchange.getResponseHeaders().put(new HttpString(CallerHeaders.OUTCOME), Outcome.RAN.text());
		exchange.getResponseSender()
			.send(ByteBuffer.wrap(json(new EntriesAnswer(this.port.view().entries(), this.limits.keepSeconds()))));
	}

	private static void refuse(HttpServerExchange exchange, CodedException ex) {
		CallerAnswer answer = new CallerAnswer(exchange, "none", 0);
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> answer.refuse(CallHandler.bad(ex)));
	}

	private static byte[] json(Record value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("a record of texts always encodes", ex);
		}
	}

	/**
	 * The addresses to use.
	 *
	 * @param entries as {@code http://IP:PORT}
	 * @param keepSeconds how long the answer may be kept
	 */
	record EntriesAnswer(List<String> entries, long keepSeconds) {
	}

}
