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
 * One entry's process: its real state, with the I/O around it in virtual time.
 */
final class SoakEntry extends SoakProcess implements EntryOutput {

	private static final long TICK_NANOS = 20 * VirtualTime.MILLI;

	private static final long LOOK_NANOS = VirtualTime.SECOND / 2;

	private static final double CLAIM_WRITES = 50;

	private static final long MAX_HELD_BYTES = 1 << 20;

	private final SoakWorld world;

	private final VirtualTime time;

	private final EntryState state;

	private final LockstepLoop<EntryEvent> loop;

	private final Map<String, SoakLink> byVm = new LinkedHashMap<>();

	private final Set<SoakAnswer> open = new LinkedHashSet<>();

	private EntryView view = EntryView.EMPTY;

	SoakEntry(SoakWorld world, String name, String place) {
		super(name, place);
		this.world = world;
		this.time = world.time();
		long seed = this.time.random().nextLong();
		ClaimStore store = ClaimStore.of(world.platform(),
				(reply) -> this.time.after(0, () -> hear(new EntryEvent.ClaimReplied(reply))));
		EntryWiring wiring = new EntryWiring(
				RequestStateMachine.create(RequestPolicySettings.defaults(), seed, world.invariants()),
				ClaimTable.create(CLAIM_WRITES, RandomSource.SPLIT_MIX_64.create(seed), this.time.now()), store,
				EntryMetrics.of(new SimpleMeterRegistry()), world.invariants(), this.time::now, this.time::wallMillis,
				MAX_HELD_BYTES);
		this.state = EntryState.create(new EntryIdentity(name, place, 1), this, wiring);
		this.loop = LockstepLoop.start(name, this.state::apply, world.invariants());
		tick();
		look();
	}

	EntryView view() {
		return this.view;
	}

	/**
	 * Takes a caller's request.
	 */
	void call(CallerCall call, SoakAnswer answer) {
		this.open.add(answer);
		hear(new EntryEvent.CallArrived(call));
	}

	void hangUp(long id) {
		hear(new EntryEvent.CallerDisconnected(id));
	}

	boolean waitsFor(SoakAnswer answer) {
		return this.open.contains(answer);
	}

	void answered(SoakAnswer answer) {
		this.open.remove(answer);
	}

	@Override
	void leave() {
		super.leave();
		hear(new EntryEvent.DrainRequested());
	}

	@Override
	void end() {
		super.end();
		List.copyOf(this.open).forEach(SoakAnswer::connectionLost);
		this.open.clear();
		this.time.after(0, this.loop::close);
	}

	@Override
	public void readBundle(String digest) {
		Platform platform = this.world.platform();
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
						.thenAccept((read) -> read.ifPresent((content) -> hear(new EntryEvent.BundleRead(content)))));
	}

	@Override
	public void reconcileLinks(List<Member> members) {
		Set<String> wanted = members.stream().map(Member::vm).collect(Collectors.toSet());
		this.time.after(0, () -> {
			this.byVm.forEach((vm, link) -> {
				if (!wanted.contains(vm)) {
					link.cut();
				}
			});
			this.byVm.values().removeIf((link) -> !link.open());
			members.forEach(this::connect);
		});
	}

	@Override
	public void publish(EntryView next) {
		this.view = next;
	}

	@Override
	public boolean idle() {
		return this.open.isEmpty();
	}

	@Override
	public void drained() {
		this.time.after(0, () -> {
			this.world.invariants().holds(this.open.isEmpty(), "drain-cuts-nothing", name());
			this.world.ledger().count("entriesDrained");
			end();
			this.world.entryEnded(this);
		});
	}

	/**
	 * Takes a link that another entry has made.
	 */
	void accept(SoakLink link) {
		linked(link);
		up(link.two(), PeerLink.incoming(link.two()));
	}

	private void connect(Member member) {
		if (!alive() || this.byVm.containsKey(member.vm())) {
			return;
		}
		this.world.vm(member.vm()).ifPresent((vm) -> {
			SoakLink link = link(member);
			up(link.one(), PeerLink.outgoing(link.one(), member.vm(), Role.AGENT));
			vm.accept(link);
		});
		this.world.entry(member.vm()).filter((other) -> other != this).ifPresent((other) -> {
			SoakLink link = link(member);
			up(link.one(), PeerLink.outgoing(link.one(), member.vm(), Role.ENTRY));
			other.accept(link);
		});
	}

	private SoakLink link(Member member) {
		SoakLink link = new SoakLink(this.time);
		this.byVm.put(member.vm(), link);
		linked(link);
		return link;
	}

	private void up(SoakLink.Side side, PeerLink peer) {
		side.hears((frame) -> hear(new EntryEvent.FrameArrived(peer, frame)),
				() -> hear(new EntryEvent.LinkDown(peer)));
		hear(new EntryEvent.LinkUp(peer));
	}

	private void hear(EntryEvent event) {
		step(() -> this.loop.apply(event));
	}

	private void tick() {
		if (alive()) {
			hear(new EntryEvent.Tick());
			this.time.after(TICK_NANOS, this::tick);
		}
	}

	private void look() {
		if (!alive()) {
			return;
		}
		long asked = this.time.now();
		this.world.platform().get("head").thenAccept((stored) -> {
			Head head = stored.map((one) -> BundleCodec.head(one.value())).orElse(Head.NONE);
			this.time.after(0, () -> hear(new EntryEvent.HeadRead(head, asked)));
		});
		List<Member> members = this.world.members();
		this.time.after(VirtualTime.SECOND, () -> hear(new EntryEvent.VmListRead(members)));
		this.time.after(LOOK_NANOS, this::look);
	}

}
