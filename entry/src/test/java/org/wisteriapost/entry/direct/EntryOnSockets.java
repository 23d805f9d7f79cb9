package org.wisteriapost.entry.direct;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.hamcrest.Matchers;
import org.wisteriapost.kernel.EventLoop;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.dispatch.DispatchLimits;
import org.wisteriapost.policy.dispatch.Dispatcher;
import org.wisteriapost.policy.fleet.EntryInfo;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.policy.routing.CallLimits;
import org.wisteriapost.policy.routing.Organisation;
import org.wisteriapost.policy.routing.Route;
import org.wisteriapost.policy.routing.Route.WeightedService;
import org.wisteriapost.policy.routing.RouteKind;
import org.wisteriapost.policy.routing.RouteTable;
import org.wisteriapost.policy.routing.ServiceSpec;
import org.wisteriapost.protocol.http.HttpCall;
import org.wisteriapost.protocol.http.HttpResponse;
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.site.DecodedObject;
import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.site.SiteSettings;
import org.wisteriapost.protocol.wire.Frame;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * An entry with the production HTTP server, state thread and calls to runners, without
 * peers and with a fixed store.
 */
final class EntryOnSockets implements AutoCloseable {

	private static final long TICK_MILLIS = 20;

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);

	private static final Duration TARGET = Duration.ofMillis(200);

	// Long enough to wait for a runner that has just turned requests away.
	private static final Duration PATIENT_TARGET = Duration.ofMillis(1600);

	private final PooledHttpClient client = PooledHttpClient.create(1);

	private final PooledHttpClient callers = PooledHttpClient.create(1);

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

	private final ByteArrayOutputStream logged = new ByteArrayOutputStream();

	private final DecisionLog log = DecisionLog.start("test", new PrintStream(this.logged));

	private final FakeObjectStore store = new FakeObjectStore(5);

	private final DirectView view = new DirectView(EntryClocks.SYSTEM);

	private final EventLoop<DirectEvent> loop;

	private final DirectHttpServer server;

	EntryOnSockets(List<String> runnerAddresses) {
		SiteSettings settings = settings();
		DirectView view = this.view;
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(42);
		DispatchLimits limits = new DispatchLimits("p1", 0.2, 100, Duration.ofSeconds(10), Duration.ofSeconds(8));
		FleetProtocol protocol = new FleetProtocol();
		DirectState state = new DirectState(settings, new EntryInfo("a", 1, "127.0.0.1:1", "127.0.0.1:2", "p1", "r1"),
				Dispatcher.create(limits, random), new DirectOutput(this.client, protocol, view::put), this.log,
				DirectMetrics.create(new SimpleMeterRegistry()), random, EntryClocks.SYSTEM, view);
		state.connect(new NoPeers(), this.store, new StoreWatches());
		this.loop = EventLoop.start("entry", 1024, state::apply);
		view.loop(this.loop);
		view.put(new DirectEvent.StoreReachability(ObjectKind.RUNNERS, true));
		for (ObjectKind kind : ObjectKind.inUse(settings.guarantees())) {
			view.put(new DirectEvent.ObjectsListed(kind, objects(kind, runnerAddresses), 5));
		}
		this.server = DirectHttpServer.start(settings, protocol, this.client.worker(), view);
		this.timer.scheduleWithFixedDelay(() -> view.offer(new DirectEvent.Tick()), TICK_MILLIS, TICK_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	private static SiteSettings settings() {
		Optional<InetSocketAddress> anyPort = Optional.of(new InetSocketAddress("127.0.0.1", 0));
		return new SiteSettings("a", "127.0.0.1", "p1", "r1", anyPort, Optional.empty(), Optional.empty(), 1, 1,
				URI.create("http://store.example"), Optional.empty(), "", 1_000_000,
				new SiteSettings.Guarantees(Duration.ofSeconds(8), Duration.ofSeconds(3), Duration.ofSeconds(8), 0.2,
						100, Duration.ofSeconds(10), Duration.ofSeconds(3)));
	}

	private List<ObjectStore.Item> objects(ObjectKind kind, List<String> runnerAddresses) {
		List<ObjectStore.Item> items = new ArrayList<>();
		if (kind == ObjectKind.ROUTES) {
			items.add(this.store.item("current", 1, new DecodedObject.Routes(table())));
		}
		if (kind == ObjectKind.RUNNERS) {
			runnerAddresses.forEach(
					(address) -> items.add(this.store.item(address, 1, new DecodedObject.Runner(new RunnerInfo(address,
							"api", address, "p1", 64, false, 0, Map.of(), 1, RunnerIncarnation.UNKNOWN)))));
		}
		return items;
	}

	private static RouteTable table() {
		Route stream = new Route("stream", "127.0.0.1", "/stream/", RouteKind.STREAM, REQUEST_TIMEOUT, TARGET, 1,
				List.of(new WeightedService("api", 1)), 2, true, true, Duration.ofMillis(400));
		return RouteTable.of(1,
				List.of(stream, patientRoute("plain", RouteKind.IDEMPOTENT, 3),
						patientRoute("once", RouteKind.AT_MOST_ONCE, 1), patientRoute("feed", RouteKind.STREAM, 2)),
				List.of(new ServiceSpec("api", 96, Optional.empty(), Optional.empty())),
				Map.of("key", new Organisation("org", OptionalInt.empty())),
				new CallLimits(16_384, 1 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15)));
	}

	private static Route patientRoute(String name, RouteKind kind, int maxAttempts) {
		return new Route(name, "127.0.0.1", "/" + name + "/", kind, REQUEST_TIMEOUT, PATIENT_TARGET, 1,
				List.of(new WeightedService("api", 1)), maxAttempts, true, true, Duration.ofMillis(400));
	}

	/**
	 * Replaces the runners that the entry knows.
	 */
	void replaceRunners(List<String> runnerAddresses) {
		this.loop
			.put(new DirectEvent.ObjectsListed(ObjectKind.RUNNERS, objects(ObjectKind.RUNNERS, runnerAddresses), 6));
	}

	/**
	 * Sends a request for a stream.
	 */
	CompletableFuture<HttpResponse> request(String attempt) {
		return request("/stream/x", attempt);
	}

	/**
	 * Sends a request to one of the routes {@code /stream/}, {@code /feed/} and
	 * {@code /plain/}, which may be retried, and {@code /once/}, which may not.
	 */
	CompletableFuture<HttpResponse> request(String path, String attempt) {
		URI target = URI.create("http://127.0.0.1:" + port() + path);
		return this.callers.call(HttpCall.of("GET", target, REQUEST_TIMEOUT.plusSeconds(5)).header("attempt", attempt));
	}

	/**
	 * Returns the port for callers.
	 */
	int port() {
		return this.server.ports().getFirst();
	}

	/**
	 * Starts a graceful shutdown; the future completes when the process may exit.
	 */
	CompletableFuture<Void> leave() {
		this.view.put(new DirectEvent.Leave());
		return this.view.termination();
	}

	/**
	 * Waits until no answer is left to be sent.
	 */
	void awaitNoOpenAnswers() throws InterruptedException {
		long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(12);
		while (this.view.openAnswers().count() > 0 && System.nanoTime() < untilNanos) {
			TimeUnit.MILLISECONDS.sleep(10);
		}
		assertThat(this.view.openAnswers().count(), Matchers.equalTo(0));
	}

	/**
	 * Closes the connections, as a process does before it exits.
	 */
	void closeConnections() {
		this.server.close();
		this.client.close();
	}

	/**
	 * Closes the entry and returns the lines that it has logged.
	 */
	List<String> closeAndReadLog() {
		close();
		return this.logged.toString(StandardCharsets.UTF_8).lines().toList();
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
		this.server.close();
		this.loop.close();
		this.client.close();
		this.callers.close();
		this.log.close();
	}

	private static final class NoPeers implements PeerTransport {

		@Override
		public void setDesiredPeers(Map<String, InetSocketAddress> peers) {
		}

		@Override
		public SendResult send(String name, Frame frame) {
			return SendResult.NO_LINK;
		}

		@Override
		public Set<String> linkedEntries() {
			return Set.of();
		}

	}

}
