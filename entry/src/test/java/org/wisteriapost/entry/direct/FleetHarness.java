package org.wisteriapost.entry.direct;

import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.IntFunction;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.coldstart.ColdStart;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.policy.routing.CallLimits;
import org.wisteriapost.policy.routing.Route;
import org.wisteriapost.policy.routing.Route.WeightedService;
import org.wisteriapost.policy.routing.RouteKind;
import org.wisteriapost.policy.routing.RouteTable;
import org.wisteriapost.policy.routing.ServiceSpec;
import org.wisteriapost.protocol.site.DecodedObject;
import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.wire.Frame;

/**
 * A fleet of entries with their links, the runners of one plain service and the store, in
 * virtual time and without sockets or threads. One seed gives one run.
 */
final class FleetHarness implements AutoCloseable {

	/** Seeds of each case; more are run by hand with {@code -Dwisteriapost.seeds=N}. */
	static final int SEEDS = Integer.getInteger("wisteriapost.seeds", 4);

	static final long MILLI = 1_000_000;

	static final long SECOND = 1000 * MILLI;

	static final String HOST = "desk.example";

	static final String PATH = "/draft/x";

	static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(6);

	static final int RUNNER_SLOTS = 8;

	/** The limit of a request's body is higher by the version of the table. */
	static final int BODY_BYTES = 1 << 20;

	/** How long an entry must have run undisturbed to be held to the limits. */
	static final long CONTACT_NANOS = 3 * SECOND;

	// Time in which heartbeats detect a cut link.
	private static final long LINK_TIMEOUT_NANOS = 3 * SECOND;

	private static final long RECONNECT_NANOS = 250 * MILLI;

	private static final List<String> FAILURE_DOMAINS = List.of("hall-a", "hall-b", "hall-c");

	final UniformRandomProvider random;

	final DecisionLog log = DecisionLog.start("test", new PrintStream(OutputStream.nullOutputStream()));

	/** The activation delay of evacuations by the number of the entry. */
	final IntFunction<Optional<Duration>> evacuationDelay;

	final FakeObjectStore store = new FakeObjectStore(1);

	final Map<String, FleetEntry> entries = new LinkedHashMap<>();

	final Map<String, FleetRunner> runners = new LinkedHashMap<>();

	/** Bytes of all frames that entries sent each other, by the name of the sender. */
	final Map<String, Long> sentBytes = new HashMap<>();

	private final Map<String, List<Long>> crashes = new HashMap<>();

	/** Calls of all entries to the store, where these read by their watches. */
	final Map<ObjectKind, Integer> storeCalls = new EnumMap<>(ObjectKind.class);

	private final FleetObjects objects = new FleetObjects();

	private final PriorityQueue<Task> tasks = new PriorityQueue<>(
			Comparator.comparingLong(Task::atNanos).thenComparingLong(Task::number));

	// Established links as "OPENER>PEER", with the arrival time of the last frame.
	private final Map<String, Long> links = new HashMap<>();

	private final Map<String, Long> cutUntil = new HashMap<>();

	private long now = 100 * SECOND;

	private long taskNumber;

	private boolean storeAway;

	private long tableVersion = 1;

	/** Parts of prompts that crash each runner which begins a request with them. */
	final Set<String> badParts = new HashSet<>();

	/** The time from which poison requests crash runners; before they run well. */
	long poisonFromNanos = Long.MIN_VALUE;

	/**
	 * Entries of a version that knows neither parts of prompts nor epochs of the store.
	 */
	final Set<String> legacyEntries = new HashSet<>();

	/** How long requests may wait at a runner before it begins them. */
	long maxRunnerQueueMillis;

	/** Whether streams begin after some time and last for seconds. */
	boolean longStreams;

	private RouteKind routeKind = RouteKind.IDEMPOTENT;

	/** Slots of runners that register from now on. */
	int runnerSlots = RUNNER_SLOTS;

	/** How runners behave that crash and start again. */
	final Optional<ColdStart> coldStart;

	FleetHarness(int entryCount, int runnerCount, long seed) {
		this(entryCount, runnerCount, seed, (entry) -> Optional.empty(), Optional.empty());
	}

	FleetHarness(int entryCount, int runnerCount, long seed, Optional<ColdStart> coldStart) {
		this(entryCount, runnerCount, seed, (entry) -> Optional.empty(), coldStart);
	}

	/**
	 * Creates a fleet. If its first entry has evacuations, all entries read the store by
	 * their production watches.
	 */
	FleetHarness(int entryCount, int runnerCount, long seed, IntFunction<Optional<Duration>> evacuationDelay) {
		this(entryCount, runnerCount, seed, evacuationDelay, Optional.empty());
	}

	private FleetHarness(int entryCount, int runnerCount, long seed, IntFunction<Optional<Duration>> evacuationDelay,
			Optional<ColdStart> coldStart) {
		this.evacuationDelay = evacuationDelay;
		this.coldStart = coldStart;
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		writeRoutes();
		for (int i = 0; i < runnerCount; i++) {
			FleetRunner runner = new FleetRunner(this, "10.9.0." + i + ":80", failureDomain(i));
			this.runners.put(runner.address(), runner);
			runner.start();
		}
		for (int i = 0; i < entryCount; i++) {
			FleetEntry entry = new FleetEntry(this, "entry-" + i, failureDomain(i), i);
			this.entries.put(entry.name(), entry);
			writeEntry(entry);
		}
		this.entries.values().forEach(FleetEntry::start);
	}

	boolean readsByWatches() {
		return this.evacuationDelay.apply(0).isPresent();
	}

	private static String failureDomain(int number) {
		return FAILURE_DOMAINS.get(number % FAILURE_DOMAINS.size());
	}

	long now() {
		return this.now;
	}

	void after(long delayNanos, Runnable action) {
		this.tasks.add(new Task(this.now + delayNanos, this.taskNumber++, action));
	}

	long between(long minMillis, long maxMillis) {
		return this.random.nextLong(minMillis * MILLI, maxMillis * MILLI);
	}

	void run(Duration time) {
		long until = this.now + time.toNanos();
		while (!this.tasks.isEmpty() && this.tasks.peek().atNanos <= until) {
			Task task = this.tasks.remove();
			this.now = task.atNanos;
			task.action.run();
		}
		this.now = until;
	}

	FleetEntry randomEntry() {
		List<FleetEntry> running = this.entries.values().stream().filter(FleetEntry::runs).toList();
		return running.get(this.random.nextInt(running.size()));
	}

	FleetRunner randomRunner() {
		List<FleetRunner> all = List.copyOf(this.runners.values());
		return all.get(this.random.nextInt(all.size()));
	}

	void recordCrash(String body) {
		this.crashes.computeIfAbsent(body, (key) -> new ArrayList<>()).add(this.now);
	}

	/** Returns when runners have crashed under requests with a body. */
	List<Long> crashes(String body) {
		return this.crashes.getOrDefault(body, List.of());
	}

	/**
	 * Has runners answer with streams from now on that begin after some time and last for
	 * seconds.
	 */
	void answerWithLongStreams() {
		this.longStreams = true;
		this.runnerSlots = 2 * RUNNER_SLOTS;
		this.runners.values().forEach(this::writeRunner);
		answerWithStreams();
	}

	/** Has runners answer with streams of events from now on. */
	void answerWithStreams() {
		this.routeKind = RouteKind.STREAM;
		writeRoutes();
	}

	boolean streams() {
		return this.routeKind == RouteKind.STREAM;
	}

	// Faults.

	/** Kills an entry; it starts again with an empty memory. */
	void restart(FleetEntry entry, long downMillis) {
		closeLinks(entry.name());
		entry.kill();
		after(downMillis * MILLI, () -> {
			entry.start();
			writeEntry(entry);
		});
	}

	/** Drops all frames between two entries for a time. */
	void cut(FleetEntry one, FleetEntry other, long millis) {
		String pair = pair(one.name(), other.name());
		this.cutUntil.put(pair, this.now + millis * MILLI);
		after(LINK_TIMEOUT_NANOS, () -> {
			if (isCut(one.name(), other.name())) {
				closeLink(one.name(), other.name());
				closeLink(other.name(), one.name());
			}
		});
	}

	// Links between entries.

	void connect(FleetEntry opener, String peer) {
		FleetEntry target = this.entries.get(peer);
		if (target == null || !opener.desires(peer) || this.links.containsKey(opener.name() + ">" + peer)) {
			return;
		}
		if (!opener.alive() || !target.alive() || isCut(opener.name(), peer)) {
			after(RECONNECT_NANOS, () -> connect(opener, peer));
			return;
		}
		this.links.put(opener.name() + ">" + peer, this.now);
		after(2 * MILLI, () -> {
			opener.apply(new DirectEvent.PeerLinkChanged(peer, true));
			opener.apply(new DirectEvent.PeerIdentified(peer));
			target.apply(new DirectEvent.PeerIdentified(opener.name()));
		});
	}

	void closeLink(String opener, String peer) {
		if (this.links.remove(opener + ">" + peer) != null) {
			this.entries.get(opener).apply(new DirectEvent.PeerLinkChanged(peer, false));
			after(RECONNECT_NANOS, () -> connect(this.entries.get(opener), peer));
		}
	}

	private void closeLinks(String name) {
		this.entries.keySet().forEach((other) -> {
			closeLink(other, name);
			closeLink(name, other);
		});
	}

	boolean linked(String one, String other) {
		return this.links.containsKey(one + ">" + other) || this.links.containsKey(other + ">" + one);
	}

	PeerTransport.SendResult send(FleetEntry from, String to, Frame frame) {
		String link = this.links.containsKey(from.name() + ">" + to) ? from.name() + ">" + to : to + ">" + from.name();
		if (!this.links.containsKey(link)) {
			return PeerTransport.SendResult.NO_LINK;
		}
		Frame sent = (isLegacy(from.name()) || isLegacy(to)) ? LegacyFrames.of(frame) : frame;
		this.sentBytes.merge(from.name(), (long) frame.getSerializedSize(), Long::sum);
		long arrival = Math.max(this.links.get(link) + 1, this.now + between(1, 4));
		this.links.put(link, arrival);
		FleetEntry target = this.entries.get(to);
		after(arrival - this.now, () -> {
			if (this.links.containsKey(link) && !isCut(from.name(), to)) {
				PeerFrames.event(Optional.of(from.name()), sent).ifPresent(target::apply);
			}
		});
		return PeerTransport.SendResult.SENT;
	}

	private boolean isLegacy(String entry) {
		return this.legacyEntries.contains(entry);
	}

	private boolean isCut(String one, String other) {
		return this.now < this.cutUntil.getOrDefault(pair(one, other), 0L);
	}

	private static String pair(String one, String other) {
		return (one.compareTo(other) < 0) ? one + "|" + other : other + "|" + one;
	}

	// The store.

	FleetObjects objects() {
		return this.objects;
	}

	/** Returns the epoch that an entry reads in the store's answers. */
	long epoch(String entry) {
		return isLegacy(entry) ? ObjectStore.UNKNOWN_EPOCH : this.objects.epoch();
	}

	/**
	 * Takes the store away, and brings it back from a copy. What was written since is
	 * lost, and the revisions are given out again.
	 */
	void restoreStore(FleetObjects.Copy copy, long awayMillis) {
		this.entries.values().forEach((entry) -> entry.store().ifPresent(FleetStore::cutWatches));
		this.storeAway = true;
		after(awayMillis * MILLI, () -> {
			this.storeAway = false;
			this.objects.restore(copy);
		});
	}

	boolean storeAway() {
		return this.storeAway;
	}

	/** Declares a table with the next version. */
	void declareRoutes() {
		this.tableVersion++;
		writeRoutes();
	}

	long tableVersion() {
		return this.tableVersion;
	}

	void writeRoutes() {
		Route route = new Route("draft", HOST, "/draft/", this.routeKind, REQUEST_TIMEOUT, Duration.ofMillis(1500), 1,
				List.of(new WeightedService("api", 1)), 2, true, false, Duration.ofMillis(400));
		RouteTable table = RouteTable.of(this.tableVersion, List.of(route),
				List.of(new ServiceSpec("api", 96, Optional.empty(), Optional.empty(), this.coldStart)), Map.of(),
				new CallLimits(16_384, BODY_BYTES + this.tableVersion, Duration.ofSeconds(3), Duration.ofSeconds(15)));
		write(ObjectKind.ROUTES, "current", new DecodedObject.Routes(table));
	}

	void writeEntry(FleetEntry entry) {
		write(ObjectKind.ENTRIES, entry.name(), new DecodedObject.Entry(entry.info()));
	}

	void writeRunner(FleetRunner runner) {
		write(ObjectKind.RUNNERS, runner.id(), new DecodedObject.Runner(runnerInfo(runner)));
	}

	RunnerInfo runnerInfo(FleetRunner runner) {
		return new RunnerInfo(runner.id(), "api", runner.address(), runner.failureDomain(), this.runnerSlots,
				runner.draining(), runner.coldMillis(), Map.of(), this.objects.revision() + 1,
				RunnerIncarnation.UNKNOWN);
	}

	void removeRunner(String id) {
		// A copy of the store may lack it.
		if (this.objects.list(ObjectKind.RUNNERS).stream().anyMatch((item) -> item.name().equals(id))) {
			announce(ObjectKind.RUNNERS, this.objects.remove(ObjectKind.RUNNERS, id));
		}
	}

	/** Evacuates a failure domain. */
	void evacuate(String failureDomain) {
		write(ObjectKind.EVACUATIONS, failureDomain, new DecodedObject.Evacuation(failureDomain));
	}

	void endEvacuation(String failureDomain) {
		announce(ObjectKind.EVACUATIONS, this.objects.remove(ObjectKind.EVACUATIONS, failureDomain));
	}

	private void write(ObjectKind kind, String name, DecodedObject value) {
		announce(kind, this.objects.write(kind, (revision) -> this.store.item(name, revision, value)));
	}

	private void announce(ObjectKind kind, ObjectStore.Change change) {
		if (readsByWatches()) {
			this.entries.values().forEach((entry) -> entry.store().ifPresent((store) -> store.changed(kind)));
			return;
		}
		this.entries.values()
			.forEach(
					(entry) -> after(between(20, 150), () -> entry.apply(new DirectEvent.ObjectChanged(kind, change))));
	}

	@Override
	public void close() {
		this.log.close();
	}

	/**
	 * An answer to a request: refused, failed or done, with the code of the first two.
	 *
	 * @param result {@code done}, {@code refused CODE} or {@code failed CODE}
	 * @param retryAfterMillis the delay that a refusal names
	 */
	record Answer(String result, long retryAfterMillis) {

		boolean done() {
			return this.result.equals("done");
		}

	}

	private record Task(long atNanos, long number, Runnable action) {
	}

}
