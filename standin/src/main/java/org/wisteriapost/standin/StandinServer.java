package org.wisteriapost.standin;

import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.SameThreadExecutor;
import org.xnio.IoUtils;

/**
 * The HTTP server of one stand-in; {@code POST /faults} injects faults.
 */
final class StandinServer implements AutoCloseable {

	private static final Set<String> ADMIN = Set.of("/faults", "/counts", "/executions");

	private final BiConsumer<Request, Responder> handler;

	private final FaultInjector faults = new FaultInjector();

	private final Set<ServerConnection> connections = ConcurrentHashMap.newKeySet();

	private final Undertow undertow;

	private volatile boolean closed;

	private StandinServer(String host, int port, BiConsumer<Request, Responder> handler) {
		this.handler = handler;
		this.undertow = Undertow.builder()
			.addHttpListener(port, host)
			.setWorker(StandinThreads.worker())
			.setHandler(this::receive)
			.build();
	}

	/**
	 * Starts a server.
	 * @param port the port, or 0 for any free one
	 */
	static StandinServer start(String host, int port, BiConsumer<Request, Responder> handler) {
		StandinServer server = new StandinServer(host, port, handler);
		server.undertow.start();
		return server;
	}

	int port() {
		return ((InetSocketAddress) this.undertow.getListenerInfo().getFirst().getAddress()).getPort();
	}

	void fault(Fault fault) {
		this.faults.set(fault);
	}

	@Override
	public void close() {
		this.closed = true;
		this.undertow.stop();
		// Undertow only closes its listener; requests on open connections would still
		// be served.
		this.connections.forEach(IoUtils::safeClose);
	}

	private void receive(HttpServerExchange exchange) {
		ServerConnection connection = exchange.getConnection();
		if (this.connections.add(connection)) {
			connection.addCloseListener(this.connections::remove);
		}
		if (this.closed) {
			IoUtils.safeClose(connection);
			return;
		}
		exchange.getRequestReceiver()
			.receiveFullBytes((same, body) -> same.dispatch(SameThreadExecutor.INSTANCE, () -> route(same, body)));
	}

	private void route(HttpServerExchange exchange, byte[] body) {
		Request request = new Request(exchange.getRequestMethod().toString(), exchange.getRequestPath(),
				exchange.getQueryParameters(), exchange.getRequestHeaders(), body);
		if (request.matches("POST", "/faults")) {
			setFault(request, Responder.of(exchange, Fault.Kind.NONE));
			return;
		}
		if (ADMIN.contains(request.path())) {
			handle(request, Responder.of(exchange, Fault.Kind.NONE));
			return;
		}
		Fault fault = this.faults.next(request.path()).orElse(Fault.of(Fault.Kind.NONE));
		Responder responder = Responder.of(exchange, fault.kind());
		switch (fault.kind()) {
			case DOWN -> responder.status(503);
			case REFUSE -> IoUtils.safeClose(exchange.getConnection());
			case SLOW -> StandinThreads.schedule(TimeUnit.MILLISECONDS.toNanos(fault.millis()),
					() -> exchange.getIoThread().execute(() -> handle(request, responder)));
			default -> handle(request, responder);
		}
	}

	private void setFault(Request request, Responder responder) {
		try {
			this.faults.set(Json.read(request.body(), Fault.class));
			responder.status(200);
		}
		catch (IllegalArgumentException ex) {
			responder.text(400, ex.getMessage());
		}
	}

	private void handle(Request request, Responder responder) {
		try {
			this.handler.accept(request, responder);
		}
		catch (IllegalArgumentException ex) {
			responder.text(400, String.valueOf(ex.getMessage()));
		}
		catch (RuntimeException ex) {
			System.getLogger(StandinServer.class.getName())
				.log(System.Logger.Level.ERROR, "standin-failed: " + request.path(), ex);
			responder.text(500, String.valueOf(ex));
		}
	}

}
