package org.wisteriapost.entry.direct;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wisteriapost.kernel.EventLoop;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.dispatch.DispatchLimits;
import org.wisteriapost.policy.dispatch.Dispatcher;
import org.wisteriapost.policy.fleet.EntryInfo;
import org.wisteriapost.protocol.admin.AdminServer;
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.link.Links;
import org.wisteriapost.protocol.site.CallProtocol;
import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.site.SiteProvider;
import org.wisteriapost.protocol.site.SiteSettings;
import org.wisteriapost.protocol.site.StoreListener;
import org.wisteriapost.protocol.site.StoreWatcher;

/**
 * A running entry.
 *
 * One I/O thread serves callers, runners and the store, so an answer passes from a
 * runner's connection to the caller's without changing threads. Decisions are made on one
 * state thread.
 */
public final class DirectProcess implements AutoCloseable {

	private static final int EVENT_RING_SIZE = 4096;

	private static final long TICK_MILLIS = 20;

	private final PooledHttpClient caller;

	private final DirectOutput output;

	private final Links links;

	private final ScheduledExecutorService timer;

	private final EventLoop<DirectEvent> loop;

	private final PeerLinkManager mesh;

	private final DirectHttpServer httpServer;

	private final AdminServer admin;

	private final DirectView view;

	private final DecisionLog log;

	private boolean closed;

	private DirectProcess(PooledHttpClient caller, DirectOutput output, Links links, ScheduledExecutorService timer,
			EventLoop<DirectEvent> loop, PeerLinkManager mesh, DirectHttpServer httpServer, AdminServer admin,
			DirectView view, DecisionLog log) {
		this.caller = caller;
		this.output = output;
		this.links = links;
		this.timer = timer;
		this.loop = loop;
		this.mesh = mesh;
		this.httpServer = httpServer;
		this.admin = admin;
		this.view = view;
		this.log = log;
	}

	/**
	 * Starts an entry.
	 * @param out receives the decision log
	 */
	public static DirectProcess start(SiteSettings settings, SiteProvider site, PrintStream out) {
		DecisionLog log = DecisionLog.start(settings.name(), out);
		PooledHttpClient caller = PooledHttpClient.create(1);
		Links links = Links.plain(1);
		ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1, Thread.ofPlatform().daemon().factory());
		ObjectStore store = site.store(caller, settings);
		CallProtocol dialect = site.callProtocol();
		DirectView view = new DirectView(EntryClocks.SYSTEM);
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(System.nanoTime());
		EntryInfo self = self(settings, random);
		PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
		DirectOutput output = new DirectOutput(caller, dialect, view::put);
		DirectState state = new DirectState(settings, self, Dispatcher.create(limits(settings), random), output, log,
				DirectMetrics.create(registry), random, EntryClocks.SYSTEM, view);
		EventLoop<DirectEvent> loop = EventLoop.start("entry", EVENT_RING_SIZE, state::apply);
		view.loop(loop);
		PeerLinkManager mesh = PeerLinkManager.start(links, new InetSocketAddress(settings.host(), settings.linkPort()),
				settings.name(), settings.failureDomain(), timer, view::put, log);
		StoreWatches following = new StoreWatches();
		state.connect(mesh, store, following);
		DirectHttpServer httpServer = DirectHttpServer.start(settings, dialect, caller.worker(), view);
		AdminServer admin = AdminServer.start(new InetSocketAddress(settings.host(), settings.adminPort()), registry,
				view::ready, caller.worker());
		for (ObjectKind kind : ObjectKind.inUse(settings.guarantees())) {
			following.add(kind, StoreWatcher.start(store, kind, timer, listener(kind, view::put)));
		}
		timer.scheduleWithFixedDelay(() -> view.offer(new DirectEvent.Tick()), TICK_MILLIS, TICK_MILLIS,
				TimeUnit.MILLISECONDS);
		log.decision("started", "role", "entry", "place", settings.failureDomain());
		return new DirectProcess(caller, output, links, timer, loop, mesh, httpServer, admin, view, log);
	}

	private static EntryInfo self(SiteSettings settings, UniformRandomProvider random) {
		InetSocketAddress front = settings.callerAddress().orElseThrow();
		return new EntryInfo(settings.name(), random.nextLong(Long.MAX_VALUE),
				front.getHostString() + ":" + front.getPort(), settings.host() + ":" + settings.linkPort(),
				settings.failureDomain(), settings.region());
	}

	private static DispatchLimits limits(SiteSettings settings) {
		SiteSettings.Guarantees bounds = settings.guarantees();
		return new DispatchLimits(settings.failureDomain(), bounds.maxRetryShare(), bounds.retryBurst(),
				bounds.retryWindow(), bounds.weightsActivationDelay(), settings.regions(), bounds.coldStartBound(),
				false);
	}

	/**
	 * Returns a listener that turns a {@link StoreWatcher}'s callbacks into events.
	 */
	static StoreListener listener(ObjectKind kind, Consumer<DirectEvent> events) {
		return new StoreListener() {

			@Override
			public void onEpoch(long epoch) {
				events.accept(new DirectEvent.StoreEpochRead(kind, epoch));
			}

			@Override
			public void onSnapshot(List<ObjectStore.Item> items, long at) {
				events.accept(new DirectEvent.ObjectsListed(kind, items, at));
			}

			@Override
			public void onChange(ObjectStore.Change change) {
				events.accept(new DirectEvent.ObjectChanged(kind, change));
			}

			@Override
			public void onConfirmed(long asOfNanos) {
				events.accept(new DirectEvent.StoreConfirmed(kind, asOfNanos));
			}

			@Override
			public void onPossiblyStale() {
				events.accept(new DirectEvent.StoreWatchLost());
			}

			@Override
			public void onReachabilityChanged(boolean reachable) {
				events.accept(new DirectEvent.StoreReachability(kind, reachable));
			}

		};
	}

	/**
	 * Starts a graceful shutdown; the future completes when the process may exit.
	 */
	public CompletableFuture<Void> leave() {
		this.view.put(new DirectEvent.Leave());
		return termination();
	}

	/**
	 * Returns a future that completes when the process may exit: the last answers that
	 * were decided on are handed to their connections.
	 */
	public CompletableFuture<Void> termination() {
		return this.view.termination().thenCompose((ended) -> this.output.carriedOut());
	}

	/**
	 * Closes the listeners and all connections to callers and runners.
	 *
	 * The JVM takes some 300 ms to exit while I/O threads wait for events, and the
	 * operating system takes requests for it until then.
	 */
	public void closeConnections() {
		this.httpServer.close();
		// A listener can't be closed once the threads of the client, which it shares,
		// have ended.
		this.admin.close();
		this.caller.close();
	}

	/**
	 * Logs that the settings file was read again.
	 */
	public void reloaded(String outcome) {
		this.log.decision("settings-read", "outcome", outcome);
	}

	// While connections are open, requests are still refused.
	@Override
	public synchronized void close() {
		if (this.closed) {
			return;
		}
		this.closed = true;
		closeConnections();
		this.timer.shutdownNow();
		this.mesh.close();
		this.loop.close();
		this.links.close();
		this.log.close();
	}

}
