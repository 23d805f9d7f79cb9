package org.wisteriapost.standin.soak;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.apache.commons.rng.simple.RandomSource;
import org.wisteriapost.entry.caller.CallerCall;
import org.wisteriapost.entry.caller.EntryView;
import org.wisteriapost.entry.claim.ClaimStore;
import org.wisteriapost.entry.link.PeerLink;
import org.wisteriapost.entry.platform.BundleContent;
import org.wisteriapost.entry.process.EntryEvent;
import org.wisteriapost.entry.process.EntryIdentity;
import org.wisteriapost.entry.process.EntryMetrics;
import org.wisteriapost.entry.process.EntryOutput;
import org.wisteriapost.entry.process.EntryState;
import org.wisteriapost.entry.process.EntryWiring;
import org.wisteriapost.policy.bundle.BundleCodec;
import org.wisteriapost.policy.bundle.Head;
import org.wisteriapost.policy.claim.ClaimTable;
import org.wisteriapost.policy.membership.Member;
import org.wisteriapost.policy.request.RequestPolicySettings;
import org.wisteriapost.policy.request.RequestStateMachine;
import org.wisteriapost.protocol.outside.Platform;
import org.wisteriapost.protocol.wire.Role;

/**
 * The process of an entry: the production state machine, with simulated I/O in virtual
 * time.
 */
final class SoakEntry extends SoakProcess implements EntryOutput {

	private static final long TICK_NANOS = 20 * VirtualTime.MILLI;

	private static final long READ_INTERVAL_NANOS = VirtualTime.SECOND / 2;

	private static final double CLAIM_WRITES_PER_SECOND = 50;

	private static final long MAX_BUFFERED_BYTES = 1 << 20;

	private final SoakFleet fleet;

	private final VirtualTime time;

	private final EntryState state;

	private final LockstepLoop<EntryEvent> loop;

	private final Map<String, SoakLink> linksByVm = new LinkedHashMap<>();

	private final Set<SoakResponse> pendingResponses = new LinkedHashSet<>();

	private final long startedNanos;

	private EntryView view = EntryView.EMPTY;

	SoakEntry(SoakFleet fleet, String name, String failureDomain) {
		super(name, failureDomain);
		this.fleet = fleet;
		this.time = fleet.time();
		this.startedNanos = this.time.nowNanos();
		long seed = this.time.random().nextLong();
		ClaimStore store = ClaimStore.of(fleet.platform(),
				(reply) -> this.time.after(0, () -> apply(new EntryEvent.ClaimReplied(reply))));
		EntryWiring wiring = new EntryWiring(
				RequestStateMachine.create(RequestPolicySettings.defaults(), seed, fleet.invariants()),
				ClaimTable.create(CLAIM_WRITES_PER_SECOND, RandomSource.SPLIT_MIX_64.create(seed),
						this.time.nowNanos()),
				store, EntryMetrics.of(new SimpleMeterRegistry()), fleet.invariants(), this.time::nowNanos,
				this.time::wallMillis, MAX_BUFFERED_BYTES);
		this.state = EntryState.create(new EntryIdentity(name, failureDomain, 1), this, wiring);
		this.loop = LockstepLoop.start(name, this.state::apply, fleet.invariants());
		tick();
		readHeadAndVms();
	}

	/**
	 * Returns for how long the process has run.
	 */
	long aliveNanos() {
		return this.time.nowNanos() - this.startedNanos;
	}

	EntryView view() {
		return this.view;
	}

	void call(CallerCall call, SoakResponse answer) {
		this.pendingResponses.add(answer);
		apply(new EntryEvent.CallArrived(call));
	}

	void disconnectCaller(long id) {
		apply(new EntryEvent.CallerDisconnected(id));
	}

	boolean pending(SoakResponse answer) {
		return this.pendingResponses.contains(answer);
	}

	void answered(SoakResponse answer) {
		this.pendingResponses.remove(answer);
	}

	@Override
	void leave() {
		super.leave();
		apply(new EntryEvent.DrainRequested());
	}

	@Override
	void end() {
		super.end();
		List.copyOf(this.pendingResponses).forEach(SoakResponse::connectionLost);
		this.pendingResponses.clear();
		this.time.after(0, this.loop::close);
	}

	@Override
	public void readBundle(String digest) {
		Platform platform = this.fleet.platform();
		String prefix = "approvals/" + digest + "/";
		this.time
			.after(0,
					() -> platform.get("bundles/" + digest)
						.thenCombine(platform.list(prefix), (content,
								approvals) -> content.map((stored) -> new BundleContent(digest, stored.value(),
										approvals.items()
											.stream()
											.collect(Collectors.toMap((one) -> one.key().substring(prefix.length()),
													Platform.Stored::value)))))
						.thenAccept((read) -> read.ifPresent((content) -> apply(new EntryEvent.BundleRead(content)))));
	}

	@Override
	public void reconcileLinks(List<Member> members) {
		Set<String> wanted = members.stream().map(Member::vm).collect(Collectors.toSet());
		this.time.after(0, () -> {
			this.linksByVm.forEach((vm, link) -> {
				if (!wanted.contains(vm)) {
					link.cut();
				}
			});
			this.linksByVm.values().removeIf((link) -> !link.open());
			members.forEach(this::connect);
		});
	}

	@Override
	public void publish(EntryView next) {
		this.view = next;
	}

	@Override
	public boolean idle() {
		return this.pendingResponses.isEmpty();
	}

	@Override
	public void drained() {
		this.time.after(0, () -> {
			this.fleet.invariants().holds(this.pendingResponses.isEmpty(), "drain-cuts-nothing", name());
			this.fleet.ledger().count("entriesDrained");
			end();
			this.fleet.entryEnded(this);
		});
	}

	/**
	 * Accepts a link that another entry has opened.
	 */
	void accept(SoakLink link) {
		addLink(link);
		linkUp(link.acceptor(), PeerLink.incoming(link.acceptor()));
	}

	private void connect(Member member) {
		if (!alive() || this.linksByVm.containsKey(member.vm())) {
			return;
		}
		this.fleet.vm(member.vm()).ifPresent((vm) -> {
			SoakLink link = link(member);
			linkUp(link.dialer(), PeerLink.outgoing(link.dialer(), member.vm(), Role.AGENT));
			vm.accept(link);
		});
		this.fleet.entry(member.vm()).filter((other) -> other != this).ifPresent((other) -> {
			SoakLink link = link(member);
			linkUp(link.dialer(), PeerLink.outgoing(link.dialer(), member.vm(), Role.ENTRY));
			other.accept(link);
		});
	}

	private SoakLink link(Member member) {
		SoakLink link = new SoakLink(this.time);
		this.linksByVm.put(member.vm(), link);
		addLink(link);
		return link;
	}

	private void linkUp(SoakLink.LinkEnd linkEnd, PeerLink peer) {
		linkEnd.listen((frame) -> apply(new EntryEvent.FrameArrived(peer, frame)),
				() -> apply(new EntryEvent.LinkDown(peer)));
		apply(new EntryEvent.LinkUp(peer));
	}

	private void apply(EntryEvent event) {
		step(() -> this.loop.apply(event));
	}

	private void tick() {
		if (alive()) {
			apply(new EntryEvent.Tick());
			this.time.after(TICK_NANOS, this::tick);
		}
	}

	private void readHeadAndVms() {
		if (!alive()) {
			return;
		}
		long requestedNanos = this.time.nowNanos();
		this.fleet.platform().get("head").thenAccept((stored) -> {
			Head head = stored.map((one) -> BundleCodec.head(one.value())).orElse(Head.NONE);
			this.time.after(0, () -> apply(new EntryEvent.HeadRead(head, requestedNanos)));
		});
		List<Member> members = this.fleet.members();
		this.time.after(VirtualTime.SECOND, () -> apply(new EntryEvent.VmListRead(members)));
		this.time.after(READ_INTERVAL_NANOS, this::readHeadAndVms);
	}

}
