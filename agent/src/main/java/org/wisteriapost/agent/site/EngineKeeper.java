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
import org.wisteriapost.agent.transfer.PeerTransfers;
import org.wisteriapost.agent.transfer.Progress;
import org.wisteriapost.agent.transfer.Transfer;
import org.wisteriapost.agent.transfer.TransferContext;
import org.wisteriapost.agent.transfer.TransferOptions;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.policy.bundle.WeightFile;
import org.wisteriapost.policy.rollout.Rollout;
import org.wisteriapost.policy.rollout.RolloutEffect;
import org.wisteriapost.policy.transfer.LinkShare;
import org.wisteriapost.policy.transfer.TransferLimits;
import org.wisteriapost.protocol.http.HttpCaller;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.link.Links;
import org.wisteriapost.protocol.outside.Origin;
import org.wisteriapost.protocol.outside.VmList;
import org.wisteriapost.protocol.site.EngineControl;
import org.wisteriapost.protocol.site.EngineFrames;
import org.wisteriapost.protocol.site.SiteProvider;
import org.wisteriapost.protocol.site.SiteSettings;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.Hello;
import org.wisteriapost.protocol.wire.Role;
import org.wisteriapost.protocol.wire.Roster;
import org.wisteriapost.protocol.wire.RosterMember;
import org.wisteriapost.protocol.wire.WeightsNamed;

/**
 * Carries out a {@link Rollout}'s decisions. Runs on the agent's one state thread; what
 * ends elsewhere comes back to it.
 */
final class EngineKeeper implements AutoCloseable {

	private static final int ORIGIN_READS = 2;

	// In virtual time, 12 to 40 VMs that fetch 64 pieces have them after 1.10 to 1.23
	// times what the link alone takes with these two, 1.25 to 1.42 with twelve
	// neighbours and three or four pieces at once (scripts/bench weights-sim). More
	// neighbours queue at each other.
	private static final int NEIGHBOURS = 8;

	// Pieces go out in parts by turns (PacedReplies), so several can be on their way
	// to one VM without holding up its engine's requests. On a link of 5 Mbit/s, while
	// 12 VMs fetch 2 MB under full load, 492 of 604 first events are in time with
	// parts and 0.85 of the link, 326 with whole pieces, three at once and 0.95.
	private static final int OUTSTANDING = 6;

	private static final int PER_PEER = 1;

	private static final int UPLOADS_WAITING = 24;

	private static final double LINK_SHARE = 0.85;

	private static final double LINK_SHARE_LATE = 0.3;

	private static final Duration PROGRESS_DEADLINE = Duration.ofMillis(600);

	private static final Duration ANNOUNCE_INTERVAL = Duration.ofMillis(80);

	private static final Duration ALONE_AFTER = Duration.ofMillis(1500);

	private static final int RAREST_OF = 16;

	private final SiteSettings settings;

	private final SiteProvider site;

	private final HttpCaller caller;

	private final Links links;

	private final ScheduledExecutorService timer;

	private final Consumer<Runnable> loop;

	private final DecisionLog log;

	private final EngineControl engine;

	private final Rollout rollout;

	private final Set<Link> entries = new HashSet<>();

	private Optional<Weights> weights = Optional.empty();

	private List<VmList.Vm> roster = List.of();

	private Roster lastRoster = Roster.getDefaultInstance();

	private Optional<WeightFile> file = Optional.empty();

	private boolean idle;

	private Optional<CompletableFuture<Void>> fetch = Optional.empty();

	EngineKeeper(SiteSettings settings, SiteProvider site, HttpCaller caller, Links links,
			ScheduledExecutorService timer, Consumer<Runnable> loop, DecisionLog log) {
		this.settings = settings;
		this.site = site;
		this.caller = caller;
		this.links = links;
		this.timer = timer;
		this.loop = loop;
		this.log = log;
		this.engine = site.engine(caller, settings.runner().orElseThrow());
		this.rollout = Rollout.create(settings.bounds().weightsInForce());
	}

	void heard(Link link, Frame frame) {
		switch (frame.getBodyCase()) {
			case HELLO -> hello(link, frame.getHello());
			case WEIGHTS_NAMED -> named(frame.getWeightsNamed());
			case ROSTER -> roster(frame.getRoster());
			default -> this.weights.ifPresent((known) -> known.transfer.onFrame(link, frame));
		}
		carryOut();
	}

	void closed(Link link) {
		this.entries.remove(link);
		this.weights.ifPresent((known) -> known.transfer.onClosed(link));
	}

	void tick() {
		this.weights.filter((known) -> this.fetch.isPresent()).ifPresent((known) -> {
			Progress progress = known.transfer.progress();
			double share = (progress.total() > 0) ? (double) progress.verified() / progress.total() : 0;
			this.rollout.fetchProgressed(share, System.nanoTime());
		});
		this.rollout.tick(System.nanoTime());
		carryOut();
	}

	/**
	 * Returns when the next tick is due if nothing is heard until then.
	 */
	long nextNanos(long nowNanos) {
		return this.rollout.nextNanos(nowNanos);
	}

	private void hello(Link link, Hello hello) {
		if (hello.getRole() == Role.ENTRY) {
			this.entries.add(link);
			this.rollout.lastStatus().ifPresent((tell) -> link.send(state(tell)));
		}
	}

	private void named(WeightsNamed message) {
		if (this.weights.isEmpty()) {
			this.weights = Optional.of(weights(message));
			this.weights.get().transfer.peers(this.roster);
		}
		if (message.getModel().equals(this.weights.get().model)) {
			this.rollout.setTarget(message.getVersion(), System.nanoTime());
		}
	}

	private Weights weights(WeightsNamed message) {
		String address = this.settings.runner().orElseThrow();
		Origin origin = this.site.origin(this.caller, message.getOrigin());
		TransferLimits limits = new TransferLimits(TransferLimits.Distribution.SWARM, 1, ORIGIN_READS, NEIGHBOURS,
				OUTSTANDING, PER_PEER, PROGRESS_DEADLINE, ANNOUNCE_INTERVAL, RAREST_OF, true, true);
		LinkShare share = new LinkShare(this.settings.linkBytesPerSecond(), LINK_SHARE, LINK_SHARE_LATE);
		Hello hello = Hello.newBuilder()
			.setVm(this.settings.host())
			.setPlace(this.settings.place())
			.setRole(Role.AGENT)
			.build();
		TransferContext context = new TransferContext(Settings.parse("site", ""), this.settings.host(),
				this.settings.place(), this.links, () -> hello, Frame::newBuilder, (link, frame) -> {
				}, origin, this.site.staging(this.caller, address, message.getModel()), this.timer,
				new SimpleMeterRegistry());
		Transfer transfer = PeerTransfers.create(context,
				new TransferOptions(limits, share, UPLOADS_WAITING, ALONE_AFTER));
		return new Weights(message.getModel(), origin, transfer);
	}

	// Several entries send the same list, and ordering hundreds by their hashes takes
	// milliseconds, so only a list that differs from the last one is looked at.
	private void roster(Roster message) {
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
		if (members.equals(this.roster) || members.isEmpty()) {
			return;
		}
		this.roster = members;
		this.weights.ifPresent((known) -> known.transfer.peers(members));
		for (int i = 0; i < members.size(); i++) {
			if (members.get(i).vm().equals(this.settings.host())) {
				this.rollout.setPosition((double) i / members.size());
			}
		}
	}

	private void carryOut() {
		for (RolloutEffect effect : this.rollout.drain()) {
			if (!(effect instanceof RolloutEffect.ReadReport)) {
				this.log.decision("rollout", "step", effect);
			}
			switch (effect) {
				case RolloutEffect.ReadReport read -> report();
				case RolloutEffect.Fetch fetching -> fetch(fetching.version());
				case RolloutEffect.Abandon abandon -> this.fetch.ifPresent((running) -> running.cancel(false));
				case RolloutEffect.Verify verify -> verify(verify.version());
				case RolloutEffect.Take take -> take(take.version(), take.sequence());
				case RolloutEffect.PublishStatus tell -> this.entries.forEach((link) -> link.send(state(tell)));
			}
		}
	}

	private void report() {
		this.engine.report().whenComplete((report, failure) -> back(() -> {
			if (failure != null) {
				this.rollout.reportFailed(System.nanoTime());
				return;
			}
			Integer version = this.weights.map((known) -> report.versions().get(known.model)).orElse(null);
			idle(report);
			this.rollout.reportReceived((version != null) ? OptionalInt.of(version) : OptionalInt.empty(),
					report.busy(), report.sequence(), report.start(), System.nanoTime());
		}));
	}

	private void idle(EngineControl.Report report) {
		boolean now = report.versions().isEmpty() && report.active() == 0;
		this.weights.filter((known) -> now != this.idle).ifPresent((known) -> {
			this.idle = now;
			known.transfer.idle(now);
		});
	}

	private void fetch(int version) {
		Weights known = this.weights.orElseThrow();
		String path = known.model + "/" + version;
		// Until the new fetch begins, what the transfer tells is the end of the last one.
		this.fetch = Optional.empty();
		known.origin.manifest(path).whenComplete((manifest, failure) -> back(() -> {
			if (failure != null) {
				this.log.failure("manifest-failed", "version", version, "cause", failure.getMessage());
				this.rollout.fetchEnded(version, false, System.nanoTime());
				return;
			}
			WeightFile wanted = new WeightFile(known.model, Integer.toString(version), path, manifest.etag(),
					manifest.size(), manifest.chunkBytes(), manifest.chunks());
			this.file = Optional.of(wanted);
			CompletableFuture<Void> running = known.transfer.fetch(List.of(wanted));
			this.fetch = Optional.of(running);
			running.whenComplete((none, broken) -> back(() -> {
				if (broken != null) {
					this.log.failure("fetch-failed", "version", version, "cause", broken.getMessage());
				}
				this.rollout.fetchEnded(version, broken == null, System.nanoTime());
			}));
		}));
	}

	private void verify(int version) {
		Weights known = this.weights.orElseThrow();
		known.transfer.verify(List.of(this.file.orElseThrow()))
			.whenComplete((good, failure) -> back(
					() -> this.rollout.verificationEnded(version, failure == null && good, System.nanoTime())));
	}

	private void take(int version, long sequence) {
		Weights known = this.weights.orElseThrow();
		this.engine.take(known.model, version, sequence).whenComplete((reply, failure) -> back(() -> {
			this.log.decision("ordered", "version", version, "sequence", sequence, "reply",
					(failure != null) ? failure.getMessage() : reply);
			// An order without an answer may have been taken: the report will tell.
			boolean begun = failure != null || reply == EngineControl.Reply.BEGUN
					|| reply == EngineControl.Reply.IN_FORCE;
			this.rollout.orderAnswered(begun, System.nanoTime());
		}));
	}

	private void back(Runnable task) {
		this.loop.accept(() -> {
			task.run();
			carryOut();
		});
	}

	private Frame state(RolloutEffect.PublishStatus tell) {
		String address = this.settings.runner().orElseThrow();
		return Frame.newBuilder().setEngineState(EngineFrames.of(address, tell.status(), System.nanoTime())).build();
	}

	@Override
	public void close() {
		this.weights.ifPresent((known) -> known.transfer.close());
	}

	private record Weights(String model, Origin origin, Transfer transfer) {
	}

}
