package org.wisteriapost.entry.process;

import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.apache.commons.rng.simple.RandomSource;
import org.wisteriapost.entry.EntrySettings;
import org.wisteriapost.entry.caller.CallIntake;
import org.wisteriapost.entry.caller.CallerCall;
import org.wisteriapost.entry.caller.EntryView;
import org.wisteriapost.entry.caller.HttpFront;
import org.wisteriapost.entry.caller.HttpLimits;
import org.wisteriapost.entry.caller.OrganisationTokens;
import org.wisteriapost.entry.claim.ClaimStore;
import org.wisteriapost.entry.link.PeerLink;
import org.wisteriapost.entry.link.PeerLinks;
import org.wisteriapost.entry.link.PeerListener;
import org.wisteriapost.entry.platform.BundleReader;
import org.wisteriapost.entry.platform.PrefixWatch;
import org.wisteriapost.entry.platform.VmListPoller;
import org.wisteriapost.kernel.EventLoop;
import org.wisteriapost.kernel.Invariants;
import org.wisteriapost.kernel.settings.CommonSettings;
import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.policy.bundle.BundleCodec;
import org.wisteriapost.policy.bundle.Head;
import org.wisteriapost.policy.burn.BurnSnapshot;
import org.wisteriapost.policy.burn.ObjectiveSettings;
import org.wisteriapost.policy.claim.ClaimTable;
import org.wisteriapost.policy.membership.Member;
import org.wisteriapost.policy.request.RequestPolicySettings;
import org.wisteriapost.policy.request.RequestStateMachine;
import org.wisteriapost.protocol.admin.AdminServer;
import org.wisteriapost.protocol.link.LinkServer;
import org.wisteriapost.protocol.link.Links;
import org.wisteriapost.protocol.outside.Platform;
import org.wisteriapost.protocol.outside.VmList;
import org.wisteriapost.protocol.tls.TlsSettings;
import org.wisteriapost.protocol.wire.Frame;

/**
 * A running entry: the event loop and its I/O.
 */
public final class EntryProcess implements CallIntake, PeerListener, EntryOutput, AutoCloseable {

	private static final String HEAD = "head";

	private static final String LEAVING = "leaving/";

	// Fine enough for deadlines and queueing times in milliseconds. 50 wake-ups a second
	// stay far below the 1.5 % of a core that the control plane may use.
	private static final long TICK_MILLIS = 20;

	private static final long IDLE_TICK_INTERVAL = 10;

	// An entry that crashes loses at most the service-level counts of this period. With
	// 2,300 entries it causes 38 writes a second, a tenth of the platform's limit.
	private static final long BURN_SNAPSHOT_SECONDS = 60;

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	private final Invariants invariants = Invariants.create();

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "entry-timer");
		thread.setDaemon(true);
		return thread;
	});

	private final CompletableFuture<Void> drained = new CompletableFuture<>();

	private final List<AutoCloseable> closeables = new ArrayList<>();

	private final EntryMetrics metrics;

	private final EventLoop<EntryEvent> loop;

	private final PeerLinks links;

	private final BurnRecorder burn;

	private final BundleReader bundles;

	private volatile EntryView view = EntryView.EMPTY;

	private long ticks;

	private LinkServer linkServer;

	private HttpFront front;

	private AdminServer admin;

	private EntryProcess(Settings settings, Platform platform, Links transport) {
		this.burn = BurnRecorder.of(ObjectiveSettings.read(settings));
		this.metrics = EntryMetrics.of(this.registry, this.burn);
		EntryIdentity identity = new EntryIdentity(CommonSettings.VM.get(settings),
				CommonSettings.FAILURE_DOMAIN.get(settings), EntrySettings.KEEP_SECONDS.get(settings));
		ClaimStore store = ClaimStore.of(platform, (reply) -> put(new EntryEvent.ClaimReplied(reply)));
		long seed = new SecureRandom().nextLong();
		ClaimTable table = ClaimTable.create(EntrySettings.CLAIM_WRITES.get(settings),
				RandomSource.SPLIT_MIX_64.create(seed), System.nanoTime());
		RequestStateMachine machine = RequestStateMachine
			.create(RequestPolicySettings.from(settings, identity.failureDomain()), seed, this.invariants);
		EntryWiring wiring = new EntryWiring(machine, table, store, this.metrics, this.invariants, System::nanoTime,
				System::currentTimeMillis, EntrySettings.MAX_HELD_BYTES.get(settings));
		EntryState state = EntryState.create(identity, this, wiring);
		this.loop = EventLoop.start("entry-loop", EntrySettings.RING_SIZE.get(settings).intValue(), state::apply);
		this.links = PeerLinks.create(transport, this.timer, this);
		this.bundles = BundleReader.of(platform);
		this.metrics.gauge("wisteriapost.entry.requests.active", "Requests in progress.", this,
				(process) -> process.activeRequests());
		this.metrics.gauge("wisteriapost.entry.bundle.generation", "Generation of the bundle in force here.", this,
				(process) -> process.view.generation());
		this.metrics.gauge("wisteriapost.entry.claims.unwritten",
				"Changes of idempotency keys not in the platform yet.", state, EntryState::pendingClaimOperations);
		this.metrics.gauge("wisteriapost.invariant.violations", "Times a promise was found broken.", this.invariants,
				(counts) -> counts.violations().values().stream().mapToLong(Long::longValue).sum());
	}

	/**
	 * Returns a running entry; throws if an address cannot be bound. The caller closes
	 * the platform, the VM list and the transport.
	 */
	public static EntryProcess start(Settings settings, Platform platform, VmList vmList, Links transport) {
		EntryProcess process = new EntryProcess(settings, platform, transport);
		process.closeables(settings, platform, vmList);
		return process;
	}

	/**
	 * Returns the port that callers connect to.
	 */
	public int httpPort() {
		return this.front.port();
	}

	/**
	 * Returns the port that other entries connect to.
	 */
	public int linkPort() {
		return this.linkServer.port();
	}

	/**
	 * Returns the port of the admin server.
	 */
	public int adminPort() {
		return this.admin.port();
	}

	public Invariants invariants() {
		return this.invariants;
	}

	/**
	 * Starts to drain; the future completes when the last answer was sent.
	 */
	public CompletableFuture<Void> drain() {
		put(new EntryEvent.DrainRequested());
		return this.drained;
	}

	/**
	 * Returns the future that completes when this entry has drained, whether by
	 * {@link #drain()} or because its VM is leaving.
	 */
	public CompletableFuture<Void> ended() {
		return this.drained;
	}

	/**
	 * Closes the listener and all connections of callers, who would send requests until
	 * the JVM has exited.
	 */
	public void closeConnections() {
		close(this.front);
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
		this.closeables.reversed().forEach(EntryProcess::close);
		this.links.close();
		this.loop.close();
	}

	@Override
	public boolean submit(CallerCall call) {
		return this.loop.offer(new EntryEvent.CallArrived(call));
	}

	@Override
	public void callerDisconnected(long id) {
		put(new EntryEvent.CallerDisconnected(id));
	}

	@Override
	public void rejected(String code) {
		this.metrics.rejected(code);
	}

	@Override
	public EntryView view() {
		return this.view;
	}

	@Override
	public void onUp(PeerLink peer) {
		put(new EntryEvent.LinkUp(peer));
	}

	@Override
	public void onFrame(PeerLink peer, Frame frame) {
		put(new EntryEvent.FrameArrived(peer, frame));
	}

	@Override
	public void onDown(PeerLink peer) {
		put(new EntryEvent.LinkDown(peer));
	}

	@Override
	public void readBundle(String digest) {
		this.bundles.read(digest)
			.thenAccept((read) -> read.ifPresent((content) -> put(new EntryEvent.BundleRead(content))));
	}

	@Override
	public void reconcileLinks(List<Member> members) {
		this.links.setTargets(members);
	}

	@Override
	public void publish(EntryView next) {
		this.view = next;
	}

	@Override
	public boolean idle() {
		return activeRequests() == 0;
	}

	@Override
	public void drained() {
		this.drained.complete(null);
	}

	private void put(EntryEvent event) {
		this.loop.put(event);
	}

	private int activeRequests() {
		HttpFront now = this.front;
		return (now != null) ? now.active() : 0;
	}

	private void closeables(Settings settings, Platform platform, VmList vmList) {
		try {
			OrganisationTokens organisations = OrganisationTokens.of(settings);
			this.linkServer = register(this.links.listen(new InetSocketAddress(EntrySettings.LINK_HOST.get(settings),
					EntrySettings.LINK_PORT.get(settings).intValue())));
			this.front = register(HttpFront.start(
					new InetSocketAddress(EntrySettings.HTTP_HOST.get(settings),
							EntrySettings.HTTP_PORT.get(settings).intValue()),
					HttpLimits.of(settings), organisations, this, TlsSettings.callers(settings)));
			this.admin = register(AdminServer.start(
					new InetSocketAddress(CommonSettings.ADMIN_HOST.get(settings),
							CommonSettings.ADMIN_PORT.get(settings).intValue()),
					this.registry, () -> this.view.ready()));
			register(PrefixWatch.start(platform, this.timer, HEAD, System::nanoTime, this::headRead));
			register(PrefixWatch.start(platform, this.timer, LEAVING, System::nanoTime, this::leavingMarksRead));
			register(VmListPoller.start(vmList, this.timer, (members) -> put(new EntryEvent.VmListRead(members))));
			this.timer.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
			String vm = CommonSettings.VM.get(settings);
			this.timer.scheduleAtFixedRate(() -> writeBurnSnapshot(platform, vm), BURN_SNAPSHOT_SECONDS,
					BURN_SNAPSHOT_SECONDS, TimeUnit.SECONDS);
			this.timer.scheduleWithFixedDelay(organisations::reload, 5, 5, TimeUnit.SECONDS);
		}
		catch (RuntimeException ex) {
			close();
			throw ex;
		}
	}

	// Only deadlines and queues need the fine tick. An entry without requests uses a
	// coarse one, which is enough for heads and draining.
	private void tick() {
		this.ticks++;
		if (activeRequests() > 0 || this.ticks % IDLE_TICK_INTERVAL == 0) {
			this.loop.offer(new EntryEvent.Tick());
		}
	}

	// A failed write is not retried, since the next snapshot contains the same counts.
	private void writeBurnSnapshot(Platform platform, String vm) {
		BurnSnapshot snapshot = this.burn.snapshot(vm, System.currentTimeMillis());
		platform.put("burn/" + vm, BundleCodec.encode(snapshot), new Platform.Precondition.Anything());
	}

	private <T extends AutoCloseable> T register(T part) {
		this.closeables.add(part);
		return part;
	}

	private void headRead(PrefixWatch.Values read) {
		Head head = Optional.ofNullable(read.values().get(HEAD)).map(BundleCodec::head).orElse(Head.NONE);
		put(new EntryEvent.HeadRead(head, read.asOfNanos()));
	}

	private void leavingMarksRead(PrefixWatch.Values read) {
		// The platform has no delete operation; an empty value revokes a mark.
		Set<String> vms = read.values()
			.entrySet()
			.stream()
			.filter((mark) -> mark.getValue().length > 0)
			.map((mark) -> mark.getKey().substring(LEAVING.length()))
			.collect(Collectors.toSet());
		put(new EntryEvent.LeavingMarksRead(vms));
	}

	private static void close(AutoCloseable part) {
		try {
			part.close();
		}
		catch (Exception ex) {
			System.getLogger(EntryProcess.class.getName()).log(System.Logger.Level.WARNING, "close-failed", ex);
		}
	}

}
