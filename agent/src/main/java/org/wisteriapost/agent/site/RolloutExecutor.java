package org.wisteriapost.agent.site;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.wisteriapost.agent.transfer.PeerTransferProvider;
import org.wisteriapost.agent.transfer.Progress;
import org.wisteriapost.agent.transfer.Transfer;
import org.wisteriapost.agent.transfer.TransferContext;
import org.wisteriapost.agent.transfer.TransferOptions;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.policy.bundle.WeightFile;
import org.wisteriapost.policy.rollout.OrderOutcome;
import org.wisteriapost.policy.rollout.Rollout;
import org.wisteriapost.policy.rollout.RolloutEffect;
import org.wisteriapost.policy.transfer.LinkShare;
import org.wisteriapost.policy.transfer.TransferLimits;
import org.wisteriapost.protocol.http.HttpCallException;
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.link.Links;
import org.wisteriapost.protocol.outside.Origin;
import org.wisteriapost.protocol.outside.VmList;
import org.wisteriapost.protocol.site.EngineControl;
import org.wisteriapost.protocol.site.EngineStatusCodec;
import org.wisteriapost.protocol.site.SiteProvider;
import org.wisteriapost.protocol.site.SiteSettings;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.Hello;
import org.wisteriapost.protocol.wire.Role;
import org.wisteriapost.protocol.wire.Roster;
import org.wisteriapost.protocol.wire.RosterMember;
import org.wisteriapost.protocol.wire.WeightsNamed;

/**
 * Executes the effects of a {@link Rollout}. Confined to the agent's event loop, on which
 * asynchronous operations also complete.
 */
final class RolloutExecutor implements AutoCloseable {

	private static final int MAX_ORIGIN_READS = 2;

	// Load: 12 to 40 VMs that fetch 64 chunks. With more peers, requests queue
	// behind each other at the uplinks. In scripts/bench weights-sim the fetch takes
	// 1.10 to 1.23 times the transfer time of the link with these limits, 1.25 to
	// 1.42 times with 12 peers and three or four chunks at once.
	private static final int MAX_PEERS = 8;

	// Load: 12 VMs that fetch 2 MB over links of 5 Mbit/s while their engines serve
	// full load. Several chunks may be in progress to one VM, since they are sent in
	// interleaved parts. Whole chunks, or more of the link, delay the engine's
	// requests: 492 of 604 first events were in time with parts and 0.85 of the
	// link, 326 with whole chunks, three at once, and 0.95.
	private static final int MAX_CHUNKS_IN_PROGRESS = 6;

	private static final int MAX_CHUNKS_PER_PEER = 1;

	private static final int MAX_QUEUED_UPLOADS = 24;

	private static final double LINK_SHARE = 0.85;

	private static final double LINK_SHARE_WHILE_LATE = 0.3;

	private static final Duration PROGRESS_DEADLINE = Duration.ofMillis(600);

	private static final Duration ANNOUNCE_INTERVAL = Duration.ofMillis(80);

	private static final Duration VM_LIST_TIMEOUT = Duration.ofMillis(1500);

	private static final int RAREST_SAMPLE_SIZE = 16;

	private final SiteSettings settings;

	private final SiteProvider site;

	private final PooledHttpClient caller;

	private final Links links;

	private final ScheduledExecutorService timer;

	private final Consumer<Runnable> executor;

	private final DecisionLog log;

	private final EngineControl engine;

	private final Rollout rollout;

	private final PaceReporter pace;

	private final Set<Link> entries = new HashSet<>();

	private Optional<ModelTransfer> modelTransfer = Optional.empty();

	private List<VmList.Vm> agents = List.of();

	private Roster lastRoster = Roster.getDefaultInstance();

	private Optional<WeightFile> fetchedFile = Optional.empty();

	private boolean idle;

	private long fetches;

	private long verifications;

	private Optional<CompletableFuture<Void>> currentFetch = Optional.empty();

	RolloutExecutor(SiteSettings settings, SiteProvider site, PooledHttpClient caller, Links links,
			ScheduledExecutorService timer, Consumer<Runnable> executor, DecisionLog log) {
		this.settings = settings;
		this.site = site;
		this.caller = caller;
		this.links = links;
		this.timer = timer;
		this.executor = executor;
		this.log = log;
		this.engine = site.engine(caller, settings.runner().orElseThrow());
		this.rollout = Rollout.create(settings.guarantees().weightsActivationDelay());
		this.pace = new PaceReporter(log);
	}

	void onFrame(Link link, Frame frame) {
		switch (frame.getBodyCase()) {
			case HELLO -> handleHello(link, frame.getHello());
			case WEIGHTS_NAMED -> handleTargetVersion(frame.getWeightsNamed());
			case ROSTER -> handleRoster(frame.getRoster());
			default -> this.modelTransfer.ifPresent((active) -> active.transfer.onFrame(link, frame));
		}
		executeEffects();
	}

	void onClosed(Link link) {
		this.entries.remove(link);
		this.modelTransfer.ifPresent((active) -> active.transfer.onClosed(link));
	}

	void tick() {
		this.modelTransfer.filter((active) -> this.currentFetch.isPresent()).ifPresent((active) -> {
			Progress progress = active.transfer.progress();
			double share = (progress.total() > 0) ? (double) progress.verified() / progress.total() : 0;
			this.rollout.fetchProgressed(share, System.nanoTime());
		});
		this.rollout.tick(System.nanoTime());
		executeEffects();
		if (this.pace.readDue(System.nanoTime())) {
			readPace();
		}
	}

	/**
	 * Returns when the next tick is due if no event arrives before then.
	 */
	long nextTickNanos(long nowNanos) {
		return Math.min(this.rollout.nextNanos(nowNanos), this.pace.nextTickNanos());
	}

	private void handleHello(Link link, Hello hello) {
		if (hello.getRole() == Role.ENTRY) {
			this.entries.add(link);
			this.rollout.lastStatus().ifPresent((tell) -> link.send(engineStateFrame(tell)));
		}
	}

	private void handleTargetVersion(WeightsNamed message) {
		if (this.modelTransfer.isEmpty()) {
			this.modelTransfer = Optional.of(createModelTransfer(message));
			this.modelTransfer.get().transfer.setPeers(this.agents);
		}
		if (message.getModel().equals(this.modelTransfer.get().model)) {
			this.rollout.setTarget(message.getVersion(), System.nanoTime());
		}
	}

	private ModelTransfer createModelTransfer(WeightsNamed message) {
		String address = this.settings.runner().orElseThrow();
		Origin origin = this.site.origin(this.caller, message.getOrigin());
		TransferLimits limits = new TransferLimits(TransferLimits.Distribution.SWARM, 1, MAX_ORIGIN_READS, MAX_PEERS,
				MAX_CHUNKS_IN_PROGRESS, MAX_CHUNKS_PER_PEER, PROGRESS_DEADLINE, ANNOUNCE_INTERVAL, RAREST_SAMPLE_SIZE,
				true, true);
		LinkShare share = new LinkShare(this.settings.linkBytesPerSecond(), LINK_SHARE, LINK_SHARE_WHILE_LATE);
		Hello hello = Hello.newBuilder()
			.setVm(this.settings.host())
			.setPlace(this.settings.failureDomain())
			.setRole(Role.AGENT)
			.build();
		TransferContext context = new TransferContext(Settings.parse("site", ""), this.settings.host(),
				this.settings.failureDomain(), this.links, () -> hello, Frame::newBuilder, (link, frame) -> {
				}, origin, this.site.staging(this.caller, address, message.getModel()), this.timer,
				new SimpleMeterRegistry());
		Transfer transfer = PeerTransferProvider.create(context,
				new TransferOptions(limits, share, MAX_QUEUED_UPLOADS, VM_LIST_TIMEOUT));
		return new ModelTransfer(message.getModel(), origin, transfer);
	}

	// Several entries send the same roster, and sorting hundreds of members by hash takes
	// milliseconds, so a roster equal to the last one is skipped.
	private void handleRoster(Roster message) {
		if (message.equals(this.lastRoster)) {
			return;
		}
		this.lastRoster = message;
		List<VmList.Vm> members = new ArrayList<>();
		for (RosterMember member : message.getMembersList()) {
			members.add(new VmList.Vm(member.getVm(), member.getPlace(), "", "agent", this.settings.service(),
					member.getVm(), this.settings.linkPort(), 0, false));
		}
		Map<String, String> hashes = new HashMap<>();
		members.forEach((vm) -> hashes.put(vm.vm(), Digests.sha256(vm.vm().getBytes())));
		members.sort(Comparator.comparing((vm) -> hashes.get(vm.vm())));
		if (members.equals(this.agents) || members.isEmpty()) {
			return;
		}
		this.agents = members;
		this.modelTransfer.ifPresent((active) -> active.transfer.setPeers(members));
		for (int i = 0; i < members.size(); i++) {
			if (members.get(i).vm().equals(this.settings.host())) {
				this.rollout.setPosition((double) i / members.size());
			}
		}
	}

	private void executeEffects() {
		for (RolloutEffect effect : this.rollout.drain()) {
			if (!(effect instanceof RolloutEffect.ReadReport)) {
				this.log.decision("rollout", "step", effect);
			}
			switch (effect) {
				case RolloutEffect.ReadReport read -> readReport();
				case RolloutEffect.Fetch fetching -> startFetch(fetching.version());
				case RolloutEffect.Abandon abandon -> abandonFetch();
				case RolloutEffect.Verify verify -> verify(verify.version());
				case RolloutEffect.Take take -> sendOrder(take.version(), take.sequence());
				case RolloutEffect.PublishStatus tell -> publishStatus(tell);
			}
		}
		if (this.pace.tellDue(System.nanoTime())) {
			this.rollout.lastStatus().ifPresent(this::publishStatus);
		}
	}

	private void publishStatus(RolloutEffect.PublishStatus status) {
		this.entries.forEach((link) -> link.send(engineStateFrame(status)));
		this.pace.told(this.entries.size(), System.nanoTime());
	}

	private void readPace() {
		this.pace.readStarted(System.nanoTime());
		this.engine.report().whenComplete((report, failure) -> runOnLoop(() -> paceRead(report, failure)));
	}

	private void paceRead(EngineControl.Report report, Throwable failure) {
		if (failure != null) {
			this.pace.readFailed();
			return;
		}
		this.pace.reportRead(report, System.nanoTime());
	}

	private void readReport() {
		this.pace.readStarted(System.nanoTime());
		this.engine.report().whenComplete((report, failure) -> runOnLoop(() -> {
			paceRead(report, failure);
			if (failure != null) {
				this.rollout.reportFailed(System.nanoTime());
				return;
			}
			Integer version = this.modelTransfer.map((active) -> report.versions().get(active.model)).orElse(null);
			updateIdle(report);
			this.rollout.reportReceived((version != null) ? OptionalInt.of(version) : OptionalInt.empty(),
					report.busy(), report.sequence(), report.incarnation(), System.nanoTime());
		}));
	}

	private void updateIdle(EngineControl.Report report) {
		boolean now = report.versions().isEmpty() && report.active() == 0;
		this.modelTransfer.filter((active) -> now != this.idle).ifPresent((active) -> {
			this.idle = now;
			active.transfer.setIdle(now);
		});
	}

	private void abandonFetch() {
		this.fetches++;
		this.currentFetch.ifPresent((running) -> running.cancel(false));
	}

	private void startFetch(int version) {
		this.fetches++;
		long number = this.fetches;
		ModelTransfer active = this.modelTransfer.orElseThrow();
		String path = active.model + "/" + version;
		// Until the new fetch starts, the transfer's progress is that of the previous
		// one.
		this.currentFetch = Optional.empty();
		active.origin.manifest(path).whenComplete((manifest, failure) -> runOnLoop(() -> {
			// A late manifest must not replace the file of a newer fetch: that one's
			// chunks would be overwritten and verified against the wrong hashes.
			if (number != this.fetches) {
				return;
			}
			if (failure != null) {
				this.log.failure("manifest-failed", "version", version, "cause", failure.getMessage());
				this.rollout.fetchEnded(version, false, System.nanoTime());
				return;
			}
			WeightFile wanted = new WeightFile(active.model, Integer.toString(version), path, manifest.etag(),
					manifest.size(), manifest.chunkBytes(), manifest.chunks());
			this.fetchedFile = Optional.of(wanted);
			CompletableFuture<Void> running = active.transfer.fetch(List.of(wanted));
			this.currentFetch = Optional.of(running);
			running.whenComplete((none, broken) -> runOnLoop(() -> {
				if (broken != null) {
					this.log.failure("fetch-failed", "version", version, "cause", broken.getMessage());
				}
				this.rollout.fetchEnded(version, broken == null, System.nanoTime());
			}));
		}));
	}

	private void verify(int version) {
		ModelTransfer active = this.modelTransfer.orElseThrow();
		this.verifications++;
		long number = this.verifications;
		active.transfer.verify(List.of(this.fetchedFile.orElseThrow()))
			.whenComplete((good, failure) -> runOnLoop(() -> {
				// An earlier one says nothing of what was corrupted since it began.
				if (number == this.verifications) {
					this.rollout.verificationEnded(version, failure == null && good, System.nanoTime());
				}
			}));
	}

	private void sendOrder(int version, long sequence) {
		ModelTransfer active = this.modelTransfer.orElseThrow();
		this.engine.switchTo(active.model, version, sequence).whenComplete((reply, failure) -> runOnLoop(() -> {
			this.log.decision("ordered", "version", version, "sequence", sequence, "reply",
					(failure != null) ? failure.getMessage() : reply);
			this.rollout.orderAnswered((failure != null) ? outcomeOf(failure) : outcomeOf(reply), System.nanoTime());
		}));
	}

	private static OrderOutcome outcomeOf(EngineControl.Reply reply) {
		return switch (reply) {
			case BEGUN, IN_FORCE -> OrderOutcome.ACCEPTED;
			case CONFLICT, REJECTED -> OrderOutcome.REFUSED;
		};
	}

	private static OrderOutcome outcomeOf(Throwable failure) {
		return HttpCallException.wasSent(failure) ? OrderOutcome.UNKNOWN : OrderOutcome.REFUSED;
	}

	private void runOnLoop(Runnable task) {
		this.executor.accept(() -> {
			task.run();
			executeEffects();
		});
	}

	private Frame engineStateFrame(RolloutEffect.PublishStatus status) {
		String address = this.settings.runner().orElseThrow();
		return Frame.newBuilder()
			.setEngineState(EngineStatusCodec.encode(address, this.pace.withPace(status.status()), System.nanoTime()))
			.build();
	}

	@Override
	public void close() {
		this.modelTransfer.ifPresent((active) -> active.transfer.close());
	}

	private record ModelTransfer(String model, Origin origin, Transfer transfer) {
	}

}
