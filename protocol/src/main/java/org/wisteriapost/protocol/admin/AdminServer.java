package org.wisteriapost.protocol.admin;

import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import org.xnio.Options;
import org.xnio.XnioWorker;

/**
 * The HTTP server for monitoring: {@code /healthz}, {@code /readyz} and {@code /metrics}.
 */
public final class AdminServer implements HttpHandler, AutoCloseable {

	private final PrometheusMeterRegistry registry;

	private final BooleanSupplier ready;

	private Undertow server;

	private AdminServer(PrometheusMeterRegistry registry, BooleanSupplier ready) {
		this.registry = registry;
		this.ready = ready;
	}

	/**
	 * Starts a server.
	 * @param ready returns whether the process can serve new requests
	 */
	public static AdminServer start(InetSocketAddress address, PrometheusMeterRegistry registry,
			BooleanSupplier ready) {
		return start(address, registry, ready, Undertow.builder().setIoThreads(1).setWorkerThreads(1));
	}

	/**
	 * Starts a server on the threads of an existing worker.
	 */
	public static AdminServer start(InetSocketAddress address, PrometheusMeterRegistry registry, BooleanSupplier ready,
			XnioWorker worker) {
		return start(address, registry, ready, Undertow.builder().setWorker(worker));
	}

	private static AdminServer start(InetSocketAddress address, PrometheusMeterRegistry registry, BooleanSupplier ready,
			Undertow.Builder builder) {
		AdminServer admin = new AdminServer(registry, ready);
		admin.server = builder.addHttpListener(address.getPort(), address.getHostString())
			.setSocketOption(Options.REUSE_ADDRESSES, true)
			.setHandler(admin)
			.build();
		admin.server.start();
		return admin;
	}

	/**
	 * Returns the bound port.
	 */
	public int port() {
		return ((InetSocketAddress) this.server.getListenerInfo().getFirst().getAddress()).getPort();
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		switch (exchange.getRequestPath()) {
			case "/healthz" -> exchange.getResponseSender().send("ok\n");
			case "/readyz" -> ready(exchange);
			case "/metrics" -> metrics(exchange);
			default -> exchange.setStatusCode(StatusCodes.NOT_FOUND);
		}
	}

	@Override
	public void close() {
		this.server.stop();
	}

	private void ready(HttpServerExchange exchange) {
		if (this.ready.getAsBoolean()) {
			exchange.getResponseSender().send("ready\n");
			return;
		}
		exchange.setStatusCode(StatusCodes.SERVICE_UNAVAILABLE);
		exchange.getResponseSender().send("not ready\n");
	}

	private void metrics(HttpServerExchange exchange) {
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; version=0.0.4; charset=utf-8");
		exchange.getResponseSender().send(this.registry.scrape());
	}

}
