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
import org.wisteriapost.entry.caller.CallerCall;
import org.wisteriapost.entry.caller.FrontLimits;
import org.wisteriapost.entry.caller.FrontPort;
import org.wisteriapost.entry.caller.HttpFront;
import org.wisteriapost.entry.caller.Organisations;
import org.wisteriapost.entry.caller.ServiceView;
import org.wisteriapost.entry.claim.ClaimStore;
import org.wisteriapost.entry.link.PeerLink;
import org.wisteriapost.entry.link.PeerLinks;
import org.wisteriapost.entry.link.PeerListener;
import org.wisteriapost.entry.platform.BundleReader;
import org.wisteriapost.entry.platform.PrefixWatch;
import org.wisteriapost.entry.platform.VmPoll;
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
 * One running entry: the event loop and the I/O around it.
 */
public final class EntryProcess implements FrontPort, PeerListener, EntryOutput, AutoCloseable {

	private static final String HEAD = "head";

	private static final String LEAVING = "leaving/";

	// Fine enough for deadlines and queues of milliseconds; 50 wake-ups a second stay far
	// below the 1.5 % of a core that control may cost.
	private static final long TICK_MILLIS = 20;

	private static final long IDLE_TICKS = 10;

	// An entry that dies takes at most this much of its service-level figures with it;
	// 2,300 entries then write 38 times a second, a tenth of what the platform takes.
	private static final long BURN_SECONDS = 60;

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	private final Invariants invariants = Invariants.create();

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "entry-timer");
		thread.setDaemon(true);
		return thread;
	});

	private final CompletableFuture<Void> drained = new CompletableFuture<>();

	private final List<AutoCloseable> open = new ArrayList<>();

	private final EntryMetrics metrics;

	private final EventLoop<EntryEvent> loop;

	private final PeerLinks links;

	private final BurnRecorder burn;

	private final BundleReader bundles;

	private volatile ServiceView view = ServiceView.EMPTY;

	private long ticks;

	private LinkServer linkServer;

	private HttpFront front;

	private AdminServer admin;

	private EntryProcess(Settings settings, Platform platform, Links transport) {
		this.burn = BurnRecorder.of(ObjectiveSettings.read(settings));
		this.metrics = EntryMetrics.of(this.registry, this.burn);
		Identity identity = new Identity(CommonSettings.VM.get(settings), CommonSettings.PLACE.get(settings),
				EntrySettings.KEEP_SECONDS.get(settings));
		ClaimStore store = ClaimStore.of(platform, (reply) -> put(new EntryEvent.ClaimAnswered(reply)));
		long seed = new SecureRandom().nextLong();
		ClaimTable table = ClaimTable.create(EntrySettings.CLAIM_WRITES.get(settings),
				RandomSource.SPLIT_MIX_64.create(seed), System.nanoTime());
		RequestStateMachine machine = RequestStateMachine.create(RequestPolicySettings.from(settings, identity.place()),
				seed, this.invariants);
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
				"Changes of idempotency keys not in the platform yet.", state, EntryState::unwrittenClaims);
		this.metrics.gauge("wisteriapost.invariant.violations", "Times a promise was found broken.", this.invariants,
				(counts) -> counts.violations().values().stream().mapToLong(Long::longValue).sum());
	}

	/**
	 * Returns a running entry; throws when an address cannot be taken. The platform, the
	 * VM list and the links stay the caller's to close.
	 */
	public static EntryProcess start(Settings settings, Platform platform, VmList vmList, Links transport) {
		EntryProcess process = new EntryProcess(settings, platform, transport);
		process.open(settings, platform, vmList);
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
	 * Returns the port for monitoring.
	 */
	public int adminPort() {
		return this.admin.port();
	}

	/**
	 * Returns the counts of broken promises.
	 */
	public Invariants invariants() {
		return this.invariants;
	}

	/**
	 * Starts to leave; the future completes when the last answer has gone out.
	 */
	public CompletableFuture<Void> drain() {
		put(new EntryEvent.DrainAsked());
		return this.drained;
	}

	/**
	 * Returns the future that completes when this entry has drained, for whatever reason.
	 */
	public CompletableFuture<Void> ended() {
		return this.drained;
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
		this.open.reversed().forEach(EntryProcess::close);
		this.links.close();
		this.loop.close();
	}

	@Override
	public boolean submit(CallerCall call) {
		return this.loop.offer(new EntryEvent.CallArrived(call));
	}

	@Override
	public void gone(long id) {
		put(new EntryEvent.CallerLeft(id));
	}

	@Override
	public void turnedAway(String code) {
		this.metrics.turnedAway(code);
	}

	@Override
	public ServiceView view() {
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
	public void keepLinks(List<Member> members) {
		this.links.keep(members);
	}

	@Override
	public void publish(ServiceView next) {
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

	private void open(Settings settings, Platform platform, VmList vmList) {
		try {
			Organisations organisations = Organisations.of(settings);
			this.linkServer = kept(this.links.listen(new InetSocketAddress(EntrySettings.LINK_HOST.get(settings),
					EntrySettings.LINK_PORT.get(settings).intValue())));
			this.front = kept(HttpFront.start(
					new InetSocketAddress(EntrySettings.HTTP_HOST.get(settings),
							EntrySettings.HTTP_PORT.get(settings).intValue()),
					FrontLimits.of(settings), organisations, this, TlsSettings.callers(settings)));
			this.admin = kept(AdminServer.start(
					new InetSocketAddress(CommonSettings.ADMIN_HOST.get(settings),
							CommonSettings.ADMIN_PORT.get(settings).intValue()),
					this.registry, () -> this.view.ready()));
			kept(PrefixWatch.start(platform, this.timer, HEAD, System::nanoTime, this::headRead));
			kept(PrefixWatch.start(platform, this.timer, LEAVING, System::nanoTime, this::marksRead));
			kept(VmPoll.start(vmList, this.timer, (members) -> put(new EntryEvent.VmsRead(members))));
			this.timer.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
			String vm = CommonSettings.VM.get(settings);
			this.timer.scheduleAtFixedRate(() -> writeBurn(platform, vm), BURN_SECONDS, BURN_SECONDS, TimeUnit.SECONDS);
			this.timer.scheduleWithFixedDelay(organisations::reload, 5, 5, TimeUnit.SECONDS);
		}
		catch (RuntimeException ex) {
			close();
			throw ex;
		}
	}

	// Deadlines and queues need the fine tick; an entry without requests has neither, and
	// heads and draining are content with the coarse one.
	private void tick() {
		this.ticks++;
		if (activeRequests() > 0 || this.ticks % IDLE_TICKS == 0) {
			this.loop.offer(new EntryEvent.Tick());
		}
	}

	// Lost writes are not repeated: the next snapshot says all that this one did.
	private void writeBurn(Platform platform, String vm) {
		BurnSnapshot snapshot = this.burn.snapshot(vm, System.currentTimeMillis());
		platform.put("burn/" + vm, BundleCodec.encode(snapshot), new Platform.Expected.Anything());
	}

	private <T extends AutoCloseable> T kept(T part) {
		this.open.add(part);
		return part;
	}

	private void headRead(PrefixWatch.Values read) {
		Head head = Optional.ofNullable(read.values().get(HEAD)).map(BundleCodec::head).orElse(Head.NONE);
		put(new EntryEvent.HeadRead(head, read.asOfNanos()));
	}

	private void marksRead(PrefixWatch.Values read) {
		// There is no delete in the platform's calls; an empty value takes a mark back.
		Set<String> vms = read.values()
			.entrySet()
			.stream()
			.filter((mark) -> mark.getValue().length > 0)
			.map((mark) -> mark.getKey().substring(LEAVING.length()))
			.collect(Collectors.toSet());
		put(new EntryEvent.MarksRead(vms));
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
