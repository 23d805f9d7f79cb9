package org.wisteriapost.entry.direct;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.coldstart.ColdStartBound;
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
import org.wisteriapost.protocol.site.CallerRequestFields;
import org.wisteriapost.protocol.site.DecodedObject;
import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.site.SiteSettings;
import org.wisteriapost.protocol.site.StoreWatcher;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.LoadReport;

/**
 * Runs one entry's state machine and a peer that may lead it, without sockets or threads
 * and with a clock that the test advances.
 */
final class EntryStateFixture implements AutoCloseable {

	static final long MILLI = 1_000_000;

	static final Duration ACTIVATION_DELAY = Duration.ofSeconds(3);

	static final String HOST = "desk.example";

	static final String TOKEN = "token-of-baobab";

	private static final long TICK = 20 * MILLI;

	private static final int LEADER_TICKS = 5;

	private static final List<String> NAMES = RendezvousHashing.rank(List.of("a", "b"), "store");

	/** The peer, which rendezvous hashing makes the leader of both. */
	static final String LEADER = NAMES.getFirst();

	private static final String SELF = NAMES.getLast();

	private final ByteArrayOutputStream logged = new ByteArrayOutputStream();

	private final DecisionLog log = DecisionLog.start("test", new PrintStream(this.logged));

	private final SimpleMeterRegistry meters = new SimpleMeterRegistry();

	private final FakeObjectStore store = new FakeObjectStore(5);

	private final StoreWatches following = new StoreWatches();

	private final Queue<DirectEvent> events = new ArrayDeque<>();

	private final List<String> answers = new ArrayList<>();

	private final List<Frame> sentFrames = new ArrayList<>();

	private final Set<ObjectKind> leaderKinds;

	private final DirectView view;

	private final Optional<Duration> evacuationDelay;

	private List<ObjectStore.Item> evacuations = List.of();

	private final Dispatcher dispatcher;

	private final DirectState state;

	private final StoreReplication leader;

	private final Queue<Frame> fromLeader = new ArrayDeque<>();

	private boolean linked;

	private long now = 100_000 * MILLI;

	private long wallMillis = 1_000_000;

	private long ids;

	private long ticks;

	EntryStateFixture() {
		this(Optional.empty());
	}

	EntryStateFixture(Optional<Duration> evacuationDelay) {
		this(evacuationDelay, evacuationDelay.isPresent());
	}

	/**
	 * Creates an entry and its leader.
	 * @param leaderHasEvacuations whether the leader knows that kind and uses it
	 */
	EntryStateFixture(Optional<Duration> evacuationDelay, boolean leaderHasEvacuations) {
		this.evacuationDelay = evacuationDelay;
		this.leaderKinds = EnumSet.allOf(ObjectKind.class);
		if (!leaderHasEvacuations) {
			this.leaderKinds.remove(ObjectKind.EVACUATIONS);
		}
		EntryClocks clocks = new EntryClocks(() -> this.now, () -> this.wallMillis);
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(42);
		DispatchLimits limits = new DispatchLimits("p1", 0.2, 100, Duration.ofSeconds(10), Duration.ofSeconds(8));
		this.view = new DirectView(clocks);
		this.dispatcher = Dispatcher.create(limits, random);
		this.state = new DirectState(settings(), entry(SELF), this.dispatcher, new AnswerRecorder(this.answers),
				this.log, DirectMetrics.create(this.meters), random, clocks, this.view);
		this.state.connect(new Sender(), this.store, this.following);
		this.leader = new StoreReplication(this.store, StoreRole.of(LEADER), UpstreamSelector.of(LEADER),
				this.leaderKinds, (peer, frame) -> this.fromLeader.add(frame), () -> this.now, this.log);
	}

	private SiteSettings settings() {
		return new SiteSettings(SELF, "127.0.0.1", "p1", "r1", Optional.empty(), Optional.empty(), Optional.empty(), 1,
				1, URI.create("http://store.example"), Optional.empty(), "", 1_000_000,
				new SiteSettings.Guarantees(Duration.ofSeconds(8), ACTIVATION_DELAY, Duration.ofSeconds(8), 0.2, 100,
						Duration.ofSeconds(10), Duration.ofSeconds(3), ColdStartBound.STRICT, this.evacuationDelay));
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
		return this.store.item("current", revision, new DecodedObject.Routes(table));
	}

	ObjectStore.Item runner(long revision, String address) {
		return this.store.item("r1", revision, new DecodedObject.Runner(new RunnerInfo("r1", "api", address, "p1", 6,
				false, 0, Map.of(), revision, RunnerIncarnation.UNKNOWN)));
	}

	Set<ObjectKind> kinds() {
		return ObjectKind.inUse(settings().guarantees());
	}

	/**
	 * Sets the evacuations that the next listings contain.
	 */
	EntryStateFixture evacuations(ObjectStore.Item... items) {
		this.evacuations = List.of(items);
		return this;
	}

	ObjectStore.Item evacuation(long revision, String failureDomain) {
		return this.store.item(failureDomain, revision, new DecodedObject.Evacuation(failureDomain));
	}

	/**
	 * Delivers a load report of the leader.
	 */
	void receiveLoadReport(LoadReport report) {
		this.state.apply(new DirectEvent.PeerLoadReported(LEADER, report));
	}

	Set<String> contended() {
		return this.dispatcher.contention().services(this.now);
	}

	/**
	 * Returns enough entries for one of them to lead the others.
	 */
	List<ObjectStore.Item> entries() {
		List<ObjectStore.Item> entries = new ArrayList<>();
		entries.add(this.store.item(LEADER, 2, new DecodedObject.Entry(entry(LEADER))));
		for (int i = 1; i < StoreRole.MAX_ENTRIES_WITHOUT_LEADER; i++) {
			entries.add(this.store.item("n" + i, 2, new DecodedObject.Entry(entry("n" + i))));
		}
		return entries;
	}

	/**
	 * Delivers the same listing of the store to the entry and to its leader.
	 */
	void listOnBoth(List<ObjectStore.Item> routes, List<ObjectStore.Item> runners) {
		listOnSelf(routes, runners);
		listOnLeader(routes, runners);
	}

	void listOnSelf(List<ObjectStore.Item> routes, List<ObjectStore.Item> runners) {
		this.events.add(new DirectEvent.StoreReachability(ObjectKind.RUNNERS, true));
		for (ObjectKind kind : kinds()) {
			this.events.add(new DirectEvent.ObjectsListed(kind, of(kind, routes, runners), 5));
		}
		applyStoreEvents();
	}

	void listOnLeader(List<ObjectStore.Item> routes, List<ObjectStore.Item> runners) {
		this.leader.storeReachable(true);
		for (ObjectKind kind : this.leaderKinds) {
			this.leader.applyFromStore(kind, of(kind, routes, runners), 5);
		}
	}

	private List<ObjectStore.Item> of(ObjectKind kind, List<ObjectStore.Item> routes, List<ObjectStore.Item> runners) {
		return switch (kind) {
			case ROUTES -> routes;
			case RUNNERS -> runners;
			case WEIGHTS -> List.of();
			case ENTRIES -> entries();
			case EVACUATIONS -> this.evacuations;
		};
	}

	/**
	 * Makes the entry follow a store that holds the given objects.
	 */
	void followStore(List<ObjectStore.Item> routes, List<ObjectStore.Item> runners) {
		for (ObjectKind kind : kinds()) {
			this.store.setListing(kind, of(kind, routes, runners));
			this.following.add(kind, StoreWatcher.start(this.store, kind, new InlineTimer(),
					DirectProcess.listener(kind, this.events::add)));
		}
		applyStoreEvents();
	}

	void link(boolean up) {
		this.linked = up;
		apply(new DirectEvent.PeerLinkChanged(LEADER, up));
		if (up) {
			apply(new DirectEvent.PeerIdentified(LEADER));
		}
	}

	/**
	 * Runs until the entry has subscribed to its leader and the reply is in transit.
	 */
	void runUntilSubscribed() {
		link(true);
		while (this.fromLeader.isEmpty()) {
			tick();
		}
	}

	/**
	 * Delivers the frames that the leader has sent.
	 */
	void deliverUpdates() {
		while (!this.fromLeader.isEmpty()) {
			apply(new DirectEvent.PeerStateUpdated(LEADER, this.fromLeader.remove().getNews()));
		}
	}

	/**
	 * Runs for some time, during which the leader's frames are delivered.
	 */
	void run(Duration time) {
		for (long i = 0; i < time.toNanos() / TICK; i++) {
			tick();
			deliverUpdates();
		}
	}

	void tick() {
		this.now += TICK;
		this.wallMillis += TimeUnit.NANOSECONDS.toMillis(TICK);
		this.ticks++;
		if (this.ticks % LEADER_TICKS == 0) {
			this.leader.tick(List.of(LinkedEntry.unknown(SELF)), this.now);
		}
		apply(new DirectEvent.Tick());
	}

	/**
	 * Advances the clocks without applying any event.
	 */
	void advanceClocks(long millis) {
		this.now += millis * MILLI;
		this.wallMillis += millis;
	}

	/**
	 * Suspends the VM: only its wall clock advances.
	 */
	void suspend(Duration time) {
		this.wallMillis += time.toMillis();
	}

	long now() {
		return this.now;
	}

	/**
	 * Applies the pending events from the store.
	 */
	void applyStoreEvents() {
		while (!this.events.isEmpty()) {
			apply(this.events.remove());
		}
	}

	void apply(DirectEvent event) {
		this.state.apply(event);
	}

	/**
	 * Sends a request and returns its result.
	 */
	String request(String path, Optional<String> token) {
		this.answers.clear();
		CallerRequestFields fields = new CallerRequestFields(Optional.of("attempt"), OptionalLong.empty(), 0, 0,
				OptionalInt.empty(), Optional.empty(), Optional.empty());
		apply(new DirectEvent.RequestArrived(new IncomingRequest(++this.ids, "GET", HOST, path, path, Map.of(), token,
				fields, new byte[0], null, this.now)));
		return this.answers.isEmpty() ? "waits" : this.answers.getLast();
	}

	FakeObjectStore store() {
		return this.store;
	}

	StoreReplication leader() {
		return this.leader;
	}

	DirectView view() {
		return this.view;
	}

	/**
	 * Returns the frames that were sent to the leader.
	 */
	List<Frame> sentFrames() {
		return this.sentFrames;
	}

	SimpleMeterRegistry meters() {
		return this.meters;
	}

	/**
	 * Closes the log and returns its lines.
	 */
	List<String> logLines() {
		this.log.close();
		return this.logged.toString(StandardCharsets.UTF_8).lines().toList();
	}

	@Override
	public void close() {
		this.log.close();
	}

	/** Delivers frames to the leader, which handles them at once. */
	private final class Sender implements PeerTransport {

		@Override
		public void setDesiredPeers(Map<String, InetSocketAddress> peers) {
		}

		@Override
		public SendResult send(String name, Frame frame) {
			if (!EntryStateFixture.this.linked || !name.equals(LEADER)) {
				return SendResult.NO_LINK;
			}
			EntryStateFixture.this.sentFrames.add(frame);
			if (frame.hasNewsRequest()) {
				EntryStateFixture.this.leader.requestReceived(SELF, frame.getNewsRequest());
			}
			return SendResult.SENT;
		}

		@Override
		public Set<String> linkedEntries() {
			return EntryStateFixture.this.linked ? Set.of(LEADER) : Set.of();
		}

	}

}
