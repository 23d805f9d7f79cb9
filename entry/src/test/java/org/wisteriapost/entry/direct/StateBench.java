package org.wisteriapost.entry.direct;

import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.dispatch.DispatchEffect;
import org.wisteriapost.policy.dispatch.DispatchLimits;
import org.wisteriapost.policy.dispatch.Dispatcher;
import org.wisteriapost.policy.fleet.EntryInfo;
import org.wisteriapost.policy.fleet.LinkedEntry;
import org.wisteriapost.policy.fleet.RendezvousHashing;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.policy.fleet.StoreRole;
import org.wisteriapost.policy.fleet.UpstreamSelector;
import org.wisteriapost.policy.routing.CallLimits;
import org.wisteriapost.policy.routing.Organisation;
import org.wisteriapost.policy.routing.Route;
import org.wisteriapost.policy.routing.Route.WeightedService;
import org.wisteriapost.policy.routing.RouteKind;
import org.wisteriapost.policy.routing.RouteTable;
import org.wisteriapost.policy.routing.ServiceSpec;
import org.wisteriapost.protocol.site.CallerFields;
import org.wisteriapost.protocol.site.Declared;
import org.wisteriapost.protocol.site.Follower;
import org.wisteriapost.protocol.site.Kind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.site.SiteSettings;
import org.wisteriapost.protocol.wire.Frame;

/**
 * One entry's state, and a neighbour that may read the store for it. No sockets, no
 * threads, and a clock that the test moves.
 */
final class StateBench implements AutoCloseable {

	static final long MILLI = 1_000_000;

	static final Duration IN_FORCE = Duration.ofSeconds(3);

	static final String HOST = "desk.example";

	static final String TOKEN = "token-of-baobab";

	private static final long TICK = 20 * MILLI;

	private static final int NEIGHBOUR_TICKS = 5;

	private static final List<String> NAMES = RendezvousHashing.rank(List.of("a", "b"), "store");

	/** The neighbour, which by rendezvous reads for both. */
	static final String READER = NAMES.getFirst();

	private static final String SELF = NAMES.getLast();

	private final DecisionLog log = DecisionLog.start("test", new PrintStream(OutputStream.nullOutputStream()));

	private final DeclaredStore store = new DeclaredStore(5);

	private final Following following = new Following();

	private final Queue<DirectEvent> events = new ArrayDeque<>();

	private final List<String> answers = new ArrayList<>();

	private final List<Frame> sent = new ArrayList<>();

	private final DirectView view;

	private final DirectState state;

	private final SiteNews reader;

	private final Queue<Frame> fromReader = new ArrayDeque<>();

	private boolean linked;

	private long now = 100_000 * MILLI;

	private long dayMillis = 1_000_000;

	private long ids;

	private long ticks;

	StateBench() {
		DirectClock clock = new DirectClock(() -> this.now, () -> this.dayMillis);
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(42);
		DispatchLimits limits = new DispatchLimits("p1", 0.2, 100, Duration.ofSeconds(10), Duration.ofSeconds(8));
		this.view = new DirectView(clock);
		this.state = new DirectState(settings(), entry(SELF), Dispatcher.create(limits, random), new Answers(),
				this.log, DirectMetrics.in(new SimpleMeterRegistry()), random, clock, this.view);
		this.state.connect(new Sender(), this.store, this.following);
		this.reader = new SiteNews(this.store, StoreRole.of(READER), UpstreamSelector.of(READER),
				(peer, frame) -> this.fromReader.add(frame), () -> this.now, this.log);
	}

	private static SiteSettings settings() {
		return new SiteSettings(SELF, "127.0.0.1", "p1", "r1", Optional.empty(), Optional.empty(), Optional.empty(), 1,
				1, URI.create("http://store.example"), Optional.empty(), "", 1_000_000,
				new SiteSettings.Bounds(Duration.ofSeconds(8), IN_FORCE, Duration.ofSeconds(8), 0.2, 100,
						Duration.ofSeconds(10), Duration.ofSeconds(3)));
	}

	private static EntryInfo entry(String name) {
		return new EntryInfo(name, 1, "127.0.0.1:1", "127.0.0.1:2", "p1", "r1");
	}

	static RouteTable table(long version, String... paths) {
		List<Route> routes = new ArrayList<>();
		for (String path : paths) {
			routes.add(new Route(path, HOST, path, RouteKind.IDEMPOTENT, Duration.ofSeconds(1), Duration.ofMillis(100),
					1, List.of(new WeightedService("api", 1)), 2, false, false, Duration.ofMillis(400)));
		}
		return RouteTable.of(version, routes, List.of(new ServiceSpec("api", 96, Optional.empty(), Optional.empty())),
				Map.of(TOKEN, new Organisation("baobab", OptionalInt.empty())),
				new CallLimits(16_384, 1 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15)));
	}

	ObjectStore.Item routes(long revision, RouteTable table) {
		return this.store.item("current", revision, new Declared.Routes(table));
	}

	ObjectStore.Item runner(long revision, String address) {
		return this.store.item("r1", revision, new Declared.Runner(new RunnerInfo("r1", "api", address, "p1", 6, false,
				0, Map.of(), revision, RunnerIncarnation.UNKNOWN)));
	}

	/**
	 * Returns enough entries that one of them may read the store for all.
	 */
	List<ObjectStore.Item> entries() {
		List<ObjectStore.Item> entries = new ArrayList<>();
		entries.add(this.store.item(READER, 2, new Declared.Entry(entry(READER))));
		for (int i = 1; i < StoreRole.MAX_ENTRIES_WITHOUT_LEADER; i++) {
			entries.add(this.store.item("n" + i, 2, new Declared.Entry(entry("n" + i))));
		}
		return entries;
	}

	/**
	 * Has both read the same of the store.
	 */
	void bothRead(List<ObjectStore.Item> routes, List<ObjectStore.Item> runners) {
		selfReads(routes, runners);
		readerReads(routes, runners);
	}

	void selfReads(List<ObjectStore.Item> routes, List<ObjectStore.Item> runners) {
		this.events.add(new DirectEvent.StoreReachable(Kind.RUNNERS, true));
		for (Kind kind : Kind.values()) {
			this.events.add(new DirectEvent.AllObjects(kind, of(kind, routes, runners), 5));
		}
		pump();
	}

	void readerReads(List<ObjectStore.Item> routes, List<ObjectStore.Item> runners) {
		this.reader.reachable(true);
		for (Kind kind : Kind.values()) {
			this.reader.read(kind, of(kind, routes, runners), 5);
		}
	}

	private List<ObjectStore.Item> of(Kind kind, List<ObjectStore.Item> routes, List<ObjectStore.Item> runners) {
		return switch (kind) {
			case ROUTES -> routes;
			case RUNNERS -> runners;
			case WEIGHTS -> List.of();
			case ENTRIES -> entries();
		};
	}

	/**
	 * Follows the store, which has these objects.
	 */
	void follow(List<ObjectStore.Item> routes, List<ObjectStore.Item> runners) {
		for (Kind kind : Kind.values()) {
			this.store.listed(kind, of(kind, routes, runners));
			this.following.add(kind, Follower.start(this.store, kind, new InlineTimer(),
					DirectProcess.listener(kind, this.events::add)));
		}
		pump();
	}

	void link(boolean up) {
		this.linked = up;
		apply(new DirectEvent.PeerLink(READER, up));
		if (up) {
			apply(new DirectEvent.PeerMet(READER));
		}
	}

	/**
	 * Runs until the entry has asked its neighbour to read for it and the answer is on
	 * its way.
	 */
	void untilAsked() {
		link(true);
		while (this.fromReader.isEmpty()) {
			tick();
		}
	}

	/**
	 * Hears what the neighbour has sent.
	 */
	void hear() {
		while (!this.fromReader.isEmpty()) {
			apply(new DirectEvent.PeerNews(READER, this.fromReader.remove().getNews()));
		}
	}

	/**
	 * Runs for some time, in which the neighbour is heard.
	 */
	void run(Duration time) {
		for (long i = 0; i < time.toNanos() / TICK; i++) {
			tick();
			hear();
		}
	}

	void tick() {
		this.now += TICK;
		this.dayMillis += TimeUnit.NANOSECONDS.toMillis(TICK);
		this.ticks++;
		if (this.ticks % NEIGHBOUR_TICKS == 0) {
			this.reader.tick(List.of(LinkedEntry.unknown(SELF)), this.now);
		}
		apply(new DirectEvent.Tick());
	}

	/**
	 * Lets time pass without anything being done.
	 */
	void pass(long millis) {
		this.now += millis * MILLI;
		this.dayMillis += millis;
	}

	/**
	 * Suspends the VM, whose monotonic clock stands still.
	 */
	void suspend(Duration time) {
		this.dayMillis += time.toMillis();
	}

	long now() {
		return this.now;
	}

	/**
	 * Applies what the store's followers have said so far.
	 */
	void pump() {
		while (!this.events.isEmpty()) {
			apply(this.events.remove());
		}
	}

	void apply(DirectEvent event) {
		this.state.apply(event);
	}

	/**
	 * Returns what becomes of a request.
	 */
	String request(String path, Optional<String> token) {
		this.answers.clear();
		CallerFields fields = new CallerFields(Optional.of("attempt"), OptionalLong.empty(), 0, 0, OptionalInt.empty(),
				Optional.empty(), Optional.empty());
		apply(new DirectEvent.Arrived(new Arrival(++this.ids, "GET", HOST, path, path, Map.of(), token, fields,
				new byte[0], null, this.now)));
		return this.answers.isEmpty() ? "waits" : this.answers.getLast();
	}

	DeclaredStore store() {
		return this.store;
	}

	SiteNews reader() {
		return this.reader;
	}

	DirectView view() {
		return this.view;
	}

	/**
	 * Returns the frames that were sent to the neighbour.
	 */
	List<Frame> sent() {
		return this.sent;
	}

	@Override
	public void close() {
		this.log.close();
	}

	/** Notes answers by their code. */
	private final class Answers implements CallOutput {

		@Override
		public void send(DirectCall call, DispatchEffect.Send send) {
			StateBench.this.answers.add("sent to " + send.runner().address());
		}

		@Override
		public void stop(DirectCall call) {
		}

		@Override
		public void refuse(DirectCall call, Code code, long retryAfterMillis) {
			StateBench.this.answers.add("refused " + code.name());
		}

		@Override
		public void reject(Arrival arrival, int status, Code code) {
			StateBench.this.answers.add("rejected " + status);
		}

		@Override
		public void refuse(Arrival arrival, Code code, long retryAfterMillis) {
			StateBench.this.answers.add("refused " + code.name());
		}

		@Override
		public void fail(DirectCall call, Code code, boolean timeout) {
			StateBench.this.answers.add("failed " + code.name());
		}

		@Override
		public void passOn(DirectCall call) {
			StateBench.this.answers.add("passed on");
		}

	}

	/** Takes requests to the neighbour, which answers at once. */
	private final class Sender implements PeerSender {

		@Override
		public void desired(Map<String, InetSocketAddress> peers) {
		}

		@Override
		public Sending send(String name, Frame frame) {
			if (!StateBench.this.linked || !name.equals(READER)) {
				return Sending.NO_LINK;
			}
			StateBench.this.sent.add(frame);
			if (frame.hasNewsRequest()) {
				StateBench.this.reader.asked(SELF, frame.getNewsRequest());
			}
			return Sending.SENT;
		}

		@Override
		public Set<String> entries() {
			return StateBench.this.linked ? Set.of(READER) : Set.of();
		}

	}

	/** Runs at once what is due, and never what is due later. */
	private static final class InlineTimer extends ScheduledThreadPoolExecutor {

		private InlineTimer() {
			super(1);
		}

		@Override
		public void execute(Runnable task) {
			task.run();
		}

		@Override
		public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
			return null;
		}

	}

}
