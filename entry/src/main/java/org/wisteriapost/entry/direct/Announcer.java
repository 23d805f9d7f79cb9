package org.wisteriapost.entry.direct;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.wisteriapost.policy.dispatch.Dispatcher;
import org.wisteriapost.policy.fleet.AgentAssignment;
import org.wisteriapost.policy.fleet.EntryInfo;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.policy.fleet.TargetWeights;
import org.wisteriapost.policy.routing.EngineSpec;
import org.wisteriapost.policy.routing.RouteTable;
import org.wisteriapost.protocol.site.SiteSettings;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.Leaving;
import org.wisteriapost.protocol.wire.Roster;
import org.wisteriapost.protocol.wire.RosterMember;
import org.wisteriapost.protocol.wire.WeightsNamed;

/**
 * What an entry tells others: agents which weights are named and who their peers are,
 * other entries that it leaves. Used by the state thread alone.
 */
final class Announcer {

	// Weights that nobody has named yet are the first version.
	private static final int FIRST_VERSION = 1;

	// Of a burst of registrations the last one is enough: each list of peers goes to
	// hundreds of agents.
	private static final long GATHER_NANOS = Duration.ofMillis(200).toNanos();

	private final SiteSettings settings;

	private final AgentAssignment duty;

	private final EntryRoster roster;

	private final Dispatcher dispatcher;

	private final Map<String, Integer> named = new HashMap<>();

	private final Map<String, Frame> told = new HashMap<>();

	private final Set<String> notToldOfLeaving = new HashSet<>();

	private Optional<PeerSender> mesh = Optional.empty();

	private boolean leaves;

	private boolean stale;

	private long relinkedNanos = Long.MIN_VALUE / 2;

	Announcer(SiteSettings settings, EntryInfo self, EntryRoster roster, Dispatcher dispatcher) {
		this.settings = settings;
		this.duty = AgentAssignment.of(self);
		this.roster = roster;
		this.dispatcher = dispatcher;
	}

	void connect(PeerSender links) {
		this.mesh = Optional.of(links);
	}

	/**
	 * Notes named weights and returns whether they are newer than those known.
	 */
	boolean named(TargetWeights weights) {
		if (this.named.getOrDefault(weights.model(), 0) >= weights.version()) {
			return false;
		}
		this.named.put(weights.model(), weights.version());
		return true;
	}

	/**
	 * Says to the other entries that this one leaves: to all that there is a link to,
	 * since one may have linked here before its registration was read, and to those that
	 * link later. Callers would be told of this entry until it has gone.
	 */
	void leaving() {
		this.leaves = true;
		this.mesh.ifPresent((links) -> links.entries().forEach(this::tellLeaving));
	}

	/**
	 * Hears that an entry has said who it is. One whose greeting comes after the notice
	 * was given has not had it: it would go on naming this entry until the link breaks,
	 * and callers would be sent to an entry that takes nothing.
	 */
	void met(String peer) {
		if (this.leaves) {
			tellLeaving(peer);
		}
	}

	// A full link leaves the notice out, and its peer would go on naming this entry to
	// callers. So it is kept until the link takes it; who has no link asks when it has.
	private void tellLeaving(String peer) {
		if (sent(peer, leave())) {
			this.notToldOfLeaving.remove(peer);
			return;
		}
		this.notToldOfLeaving.add(peer);
	}

	private boolean sent(String peer, Frame frame) {
		return this.mesh.map((links) -> links.send(peer, frame) != PeerSender.Sending.LINK_FULL).orElse(true);
	}

	private Frame leave() {
		return Frame.newBuilder().setLeaving(Leaving.newBuilder().setVm(this.settings.name())).build();
	}

	/**
	 * Says all to a peer whose link has come up.
	 */
	void linked(String peer, Optional<RouteTable> known) {
		this.told.keySet().removeIf((key) -> key.startsWith(peer));
		met(peer);
		engines(known).stream()
			.filter((info) -> info.address().equals(peer))
			.findFirst()
			.ifPresent((info) -> tellAgent(info, roster(info.service(), known), known));
	}

	/**
	 * Hears that there are other entries or agents than before.
	 */
	void changed() {
		this.stale = true;
	}

	/**
	 * Links to the entries and agents that there are now, if there are others.
	 */
	void tick(Optional<RouteTable> known, long nowNanos) {
		List.copyOf(this.notToldOfLeaving).forEach(this::tellLeaving);
		if (this.stale && nowNanos - this.relinkedNanos >= GATHER_NANOS) {
			this.stale = false;
			this.relinkedNanos = nowNanos;
			relink(known);
		}
	}

	private void relink(Optional<RouteTable> known) {
		Map<String, InetSocketAddress> peers = new HashMap<>();
		this.roster.toLink().forEach((info) -> peers.put(info.name(), address(info.linkAddress())));
		agents(known)
			.forEach((info) -> peers.put(info.address(), new InetSocketAddress(info.host(), this.settings.linkPort())));
		this.mesh.ifPresent((links) -> links.desired(peers));
		tellAgents(known);
	}

	// The engines to whose agents this entry links.
	private List<RunnerInfo> agents(Optional<RouteTable> known) {
		return this.duty.linkedEngines(engines(known), this.roster.others());
	}

	private List<RunnerInfo> engines(Optional<RouteTable> known) {
		return this.dispatcher.fleetView()
			.runners()
			.stream()
			.filter((info) -> engine(known, info.service()).isPresent())
			.toList();
	}

	private static Optional<EngineSpec> engine(Optional<RouteTable> known, String service) {
		return known.flatMap((table) -> table.service(service)).flatMap((spec) -> spec.engine());
	}

	/**
	 * Tells agents what they have not been told yet.
	 */
	void tellAgents(Optional<RouteTable> known) {
		Map<String, Frame> rosters = new HashMap<>();
		agents(known).forEach((info) -> tellAgent(info,
				rosters.computeIfAbsent(info.service(), (service) -> roster(service, known)), known));
	}

	private Frame roster(String service, Optional<RouteTable> known) {
		Roster.Builder members = Roster.newBuilder();
		engines(known).stream()
			.filter((info) -> info.service().equals(service))
			.sorted(Comparator.comparing(RunnerInfo::address))
			.forEach((info) -> members
				.addMembers(RosterMember.newBuilder().setVm(info.host()).setPlace(info.failureDomain())));
		return Frame.newBuilder().setRoster(members).build();
	}

	private void tellAgent(RunnerInfo runner, Frame roster, Optional<RouteTable> known) {
		Optional<String> origin = known.flatMap(RouteTable::origin).map((spec) -> spec.address());
		Optional<String> model = engine(known, runner.service()).map(EngineSpec::model);
		if (origin.isEmpty() || model.isEmpty() || this.mesh.isEmpty()) {
			return;
		}
		WeightsNamed.Builder weights = WeightsNamed.newBuilder()
			.setModel(model.get())
			.setVersion(this.named.getOrDefault(model.get(), FIRST_VERSION))
			.setOrigin(origin.get());
		if (this.duty.sendsPeerList(runner, this.roster.living())) {
			tellOnce(runner.address(), roster);
		}
		tellOnce(runner.address(), Frame.newBuilder().setWeightsNamed(weights).build());
	}

	// Registrations change all the time, what agents are told of them seldom. Said again
	// each time it took most of the bytes between regions. What a full link left out
	// counts as not said: an engine would keep weights that are over.
	private void tellOnce(String agent, Frame frame) {
		String what = agent + frame.getBodyCase();
		if (frame.equals(this.told.get(what))) {
			return;
		}
		if (sent(agent, frame)) {
			this.told.put(what, frame);
			return;
		}
		this.stale = true;
	}

	private static InetSocketAddress address(String text) {
		int colon = text.lastIndexOf(':');
		return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
	}

}
