package org.wisteriapost.entry.direct;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.Set;
import java.util.function.Consumer;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.policy.coldstart.ColdStartBound;
import org.wisteriapost.policy.dispatch.DispatchEffect;
import org.wisteriapost.policy.dispatch.DispatchLimits;
import org.wisteriapost.policy.dispatch.DispatchOutcome;
import org.wisteriapost.policy.dispatch.Dispatcher;
import org.wisteriapost.policy.fleet.EntryInfo;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.policy.region.RegionMap;
import org.wisteriapost.protocol.http.BufferQuota;
import org.wisteriapost.protocol.site.CallerRequestFields;
import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.site.SiteSettings;
import org.wisteriapost.protocol.wire.Frame;

/**
 * An entry of a {@link FleetHarness}: the production state machine with simulated I/O.
 */
final class FleetEntry implements CallOutput, PeerTransport {

	/** Applies to runners of services that declare a cold start. */
	static final ColdStartBound COLD_START_BOUND = new ColdStartBound(1.5, 5);

	private static final BufferQuota NO_LIMIT = BufferQuota.of(Long.MAX_VALUE);

	private static final long TICK_NANOS = 20 * FleetHarness.MILLI;

	private final FleetHarness fleet;

	private final String name;

	private final String failureDomain;

	private final int number;

	private final Queue<DirectEvent> whileFrozen = new ArrayDeque<>();

	private final Set<String> desiredPeers = new HashSet<>();

	private final Map<Long, Consumer<FleetHarness.Answer>> waitingCallers = new HashMap<>();

	private Optional<DirectState> state = Optional.empty();

	private DirectView view;

	// Present in fleets whose entries read the store by their production watches.
	private Optional<FleetStore> store = Optional.empty();

	private long incarnation;

	private long disturbedNanos;

	private long frozenUntil;

	private long lastRequest;

	FleetEntry(FleetHarness fleet, String name, String failureDomain, int number) {
		this.fleet = fleet;
		this.name = name;
		this.failureDomain = failureDomain;
		this.number = number;
	}

	String name() {
		return this.name;
	}

	EntryInfo info() {
		return new EntryInfo(this.name, this.incarnation, "10.0.0." + this.number + ":1",
				"10.0.0." + this.number + ":2", this.failureDomain, this.failureDomain);
	}

	boolean alive() {
		return this.state.isPresent();
	}

	boolean runs() {
		return alive() && this.fleet.now() >= this.frozenUntil;
	}

	/**
	 * Returns whether the entry has run undisturbed for long enough to be held to limits.
	 */
	boolean inTouch() {
		return runs() && this.fleet.now() - this.disturbedNanos >= FleetHarness.CONTACT_NANOS;
	}

	boolean desires(String peer) {
		return this.desiredPeers.contains(peer);
	}

	void start() {
		this.incarnation++;
		this.disturbedNanos = this.fleet.now();
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(this.fleet.random.nextLong());
		EntryClocks clocks = new EntryClocks(this.fleet::now, () -> this.fleet.now() / FleetHarness.MILLI);
		this.view = new DirectView(clocks);
		DispatchLimits limits = new DispatchLimits(this.failureDomain, 0.2, 100, Duration.ofSeconds(10),
				Duration.ofSeconds(8), RegionMap.NONE, COLD_START_BOUND, false);
		DirectState started = new DirectState(settings(), info(), Dispatcher.create(limits, random), this,
				this.fleet.log, DirectMetrics.create(new SimpleMeterRegistry()), random, clocks, this.view);
		this.state = Optional.of(started);
		long current = this.incarnation;
		if (this.fleet.readsByWatches()) {
			this.store = Optional.of(new FleetStore(this.fleet, this.name));
			started.connect(this, this.store.get(),
					this.store.get().startWatches(ObjectKind.inUse(settings().guarantees()), this::apply));
		}
		else {
			started.connect(this, this.fleet.store, new StoreWatches());
			this.fleet.after(this.fleet.between(50, 200), () -> readStore(current));
		}
		this.fleet.after(this.fleet.random.nextLong(TICK_NANOS), () -> tick(current));
	}

	void kill() {
		this.disturbedNanos = this.fleet.now();
		this.state = Optional.empty();
		this.store.ifPresent(FleetStore::close);
		this.desiredPeers.clear();
		this.whileFrozen.clear();
		this.fleet.runners.values().forEach((runner) -> runner.abandon(this));
		Map<Long, Consumer<FleetHarness.Answer>> callers = Map.copyOf(this.waitingCallers);
		this.waitingCallers.clear();
		callers.values().forEach((caller) -> caller.accept(new FleetHarness.Answer("cut", 0)));
	}

	/** Returns the version of the table in force; 0 without one. */
	long tableVersion() {
		return this.view.limits().map((limits) -> limits.maxBodyBytes() - FleetHarness.BODY_BYTES).orElse(0L);
	}

	boolean ready() {
		return this.view.ready();
	}

	boolean servesOlderTableThan(long version) {
		return ready() && tableVersion() < version;
	}

	Optional<FleetStore> store() {
		return this.store;
	}

	void freeze(long millis) {
		this.frozenUntil = this.fleet.now() + millis * FleetHarness.MILLI;
		this.fleet.after(millis * FleetHarness.MILLI, () -> {
			this.disturbedNanos = this.fleet.now();
			while (alive() && !this.whileFrozen.isEmpty()) {
				this.state.get().apply(this.whileFrozen.remove());
			}
		});
	}

	private SiteSettings settings() {
		return new SiteSettings(this.name, "10.0.0." + this.number, this.failureDomain, this.failureDomain,
				Optional.empty(), Optional.empty(), Optional.empty(), 1, 1, URI.create("http://store.example"),
				Optional.empty(), "", 1_000_000,
				new SiteSettings.Guarantees(Duration.ofSeconds(8), Duration.ofSeconds(3), Duration.ofSeconds(8), 0.2,
						100, Duration.ofSeconds(10), Duration.ofSeconds(3), ColdStartBound.STRICT,
						this.fleet.evacuationDelay.apply(this.number)));
	}

	private void readStore(long startedAs) {
		if (startedAs != this.incarnation) {
			return;
		}
		apply(new DirectEvent.StoreReachability(ObjectKind.RUNNERS, true));
		for (ObjectKind kind : ObjectKind.inUse(settings().guarantees())) {
			apply(new DirectEvent.ObjectsListed(kind, this.fleet.objects().list(kind),
					this.fleet.objects().revision()));
		}
	}

	private void tick(long startedAs) {
		if (alive() && startedAs == this.incarnation) {
			if (runs()) {
				apply(new DirectEvent.Tick());
			}
			this.fleet.after(TICK_NANOS, () -> tick(startedAs));
		}
	}

	void apply(DirectEvent event) {
		if (alive() && !runs()) {
			this.whileFrozen.add(event);
			return;
		}
		this.state.ifPresent((machine) -> machine.apply(event));
	}

	/**
	 * Sends a request; the answer is passed to the caller once.
	 */
	void request(String body, Consumer<FleetHarness.Answer> caller) {
		request(body, Optional.empty(), caller);
	}

	/**
	 * Sends a request whose caller names the parts of its prompt.
	 */
	void request(String body, Optional<String> prompt, Consumer<FleetHarness.Answer> caller) {
		long id = ++this.lastRequest;
		this.waitingCallers.put(id, caller);
		CallerRequestFields fields = new CallerRequestFields(Optional.of(this.name + "-" + id), OptionalLong.empty(), 0,
				0, OptionalInt.empty(), prompt, Optional.empty());
		apply(new DirectEvent.RequestArrived(
				new IncomingRequest(id, "POST", FleetHarness.HOST, FleetHarness.PATH, FleetHarness.PATH, Map.of(),
						Optional.empty(), fields, body.getBytes(StandardCharsets.UTF_8), null, this.fleet.now())));
	}

	private void answer(long request, FleetHarness.Answer answer) {
		Optional.ofNullable(this.waitingCallers.remove(request)).ifPresent((caller) -> caller.accept(answer));
	}

	// What a runner reports of a dispatch.

	void head(DirectCall call, int dispatch, RunnerInfo runner, boolean leaving, OptionalDouble rateLimit) {
		Map<String, String> headers = new HashMap<>();
		headers.put("attempt", call.job().attemptId());
		if (leaving) {
			headers.put("leaving", "1");
		}
		if (runner.coldMillis() > 0) {
			headers.put("cold", Long.toString(runner.coldMillis()));
		}
		rateLimit.ifPresent((limit) -> headers.put("limit", Double.toString(limit)));
		new ResponseForwarder(call, dispatch, runner, new FleetProtocol(), this::apply, NO_LIMIT).onHead(200, headers,
				List.of());
	}

	void done(DirectCall call, int dispatch) {
		answer(call.request().id(), new FleetHarness.Answer("done", 0));
		apply(DirectEvent.DispatchEnded.withoutConnection(call, dispatch, DispatchOutcome.DONE, "status 200"));
	}

	/**
	 * Reports an event of a stream.
	 */
	void event(DirectCall call, int dispatch) {
		if (alive() && call.job().dispatchNumber() == dispatch) {
			call.job().recordEvents(1, Optional.empty(), this.fleet.now());
			apply(new DirectEvent.FirstEventForwarded(call, dispatch));
		}
	}

	/**
	 * Reports a rejection by a runner that wants no requests for a time.
	 */
	void turnedAway(DirectCall call, int dispatch, RunnerInfo runner, long restMillis) {
		Map<String, String> headers = Map.of("attempt", call.job().attemptId(), "rest", Long.toString(restMillis));
		new ResponseForwarder(call, dispatch, runner, new FleetProtocol(), this::apply, NO_LIMIT).onHead(503, headers,
				List.of());
	}

	void misdirected(DirectCall call, int dispatch) {
		apply(DirectEvent.DispatchEnded.withoutConnection(call, dispatch, DispatchOutcome.MISDIRECTED, "status 421"));
	}

	/**
	 * Reports a failed connection.
	 * @param sent whether the request had been sent
	 */
	void connectionFailed(DirectCall call, int dispatch, boolean sent) {
		new ResponseForwarder(call, dispatch, null, null, this::apply, NO_LIMIT).onFailure(sent,
				new IOException("Connection reset by peer"));
	}

	@Override
	public void send(DirectCall call, DispatchEffect.Send send) {
		int dispatch = send.dispatch();
		FleetRunner runner = this.fleet.runners.get(send.runner().address());
		this.fleet.after(this.fleet.between(1, 3), () -> runner.accept(this, call, dispatch, send.runner().id()));
	}

	@Override
	public void check(RunnerInfo runner) {
		boolean accepts = this.fleet.runners.get(runner.address()).up();
		this.fleet.after(this.fleet.between(1, 3), () -> apply(new DirectEvent.RunnerChecked(runner, accepts)));
	}

	@Override
	public void stop(DirectCall call, int dispatch) {
		this.fleet.runners.values().forEach((runner) -> runner.cancel(call, dispatch));
	}

	@Override
	public void refuse(DirectCall call, Code code, long retryAfterMillis) {
		answer(call.request().id(), new FleetHarness.Answer("refused " + code.name(), retryAfterMillis));
	}

	@Override
	public void refuse(IncomingRequest request, Code code, long retryAfterMillis) {
		answer(request.id(), new FleetHarness.Answer("refused " + code.name(), retryAfterMillis));
	}

	@Override
	public void reject(IncomingRequest request, int status, Code code) {
		answer(request.id(), new FleetHarness.Answer("rejected " + code.name(), 0));
	}

	@Override
	public void fail(DirectCall call, Code code, boolean timeout) {
		answer(call.request().id(), new FleetHarness.Answer("failed " + code.name(), 0));
	}

	@Override
	public void forwardRunnerFailure(DirectCall call) {
		answer(call.request().id(), new FleetHarness.Answer("failed by the runner", 0));
	}

	// Links.

	@Override
	public void setDesiredPeers(Map<String, InetSocketAddress> peers) {
		Set<String> before = Set.copyOf(this.desiredPeers);
		this.desiredPeers.clear();
		this.desiredPeers.addAll(peers.keySet());
		before.stream()
			.filter((peer) -> !peers.containsKey(peer))
			.forEach((peer) -> this.fleet.closeLink(this.name, peer));
		peers.keySet().forEach((peer) -> this.fleet.connect(this, peer));
	}

	@Override
	public SendResult send(String peer, Frame frame) {
		return this.fleet.send(this, peer, frame);
	}

	@Override
	public Set<String> linkedEntries() {
		Set<String> linked = new HashSet<>(this.fleet.entries.keySet());
		linked.removeIf((other) -> !this.fleet.linked(this.name, other));
		return linked;
	}

}
