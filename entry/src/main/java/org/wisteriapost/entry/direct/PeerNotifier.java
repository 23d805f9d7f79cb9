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
import org.wisteriapost.protocol.wire.TableInForce;
import org.wisteriapost.protocol.wire.WeightsNamed;

/**
 * Sends notifications to peers: target weights and the peer list to agents, and the
 * notice that this entry leaves to other entries. Confined to the state thread.
 */
final class PeerNotifier {

	// The target version of a model for which no target weights were published.
	private static final int INITIAL_VERSION = 1;

	// Coalesces bursts of registrations, since each peer list is sent to hundreds of
	// agents.
	private static final long RELINK_INTERVAL_NANOS = Duration.ofMillis(200).toNanos();

	private final SiteSettings settings;

	private final AgentAssignment assignment;

	private final EntryRegistry registry;

	private final Dispatcher dispatcher;

	private final Map<String, Integer> targetVersions = new HashMap<>();

	private final Map<String, Frame> lastSent = new HashMap<>();

	private final Set<String> pendingLeaving = new HashSet<>();

	private Optional<PeerTransport> transport = Optional.empty();

	private boolean leavingAnnounced;

	private boolean relinkPending;

	private long lastRelinkNanos = Long.MIN_VALUE / 2;

	PeerNotifier(SiteSettings settings, EntryInfo self, EntryRegistry registry, Dispatcher dispatcher) {
		this.settings = settings;
		this.assignment = AgentAssignment.of(self);
		this.registry = registry;
		this.dispatcher = dispatcher;
	}

	void setTransport(PeerTransport transport) {
		this.transport = Optional.of(transport);
	}

	/**
	 * Records target weights and returns whether they are newer than those known.
	 */
	boolean updateTargetVersion(TargetWeights weights) {
		if (this.targetVersions.getOrDefault(weights.model(), 0) >= weights.version()) {
			return false;
		}
		this.targetVersions.put(weights.model(), weights.version());
		return true;
	}

	/**
	 * Announces to the other entries that this one leaves. The notice goes to all linked
	 * entries, since a peer may have linked here before its registration was read, and to
	 * those that link later. Without it peers would advertise this entry to callers until
	 * it has ended.
	 */
	void announceLeaving() {
		this.leavingAnnounced = true;
		this.transport.ifPresent((links) -> links.linkedEntries().forEach(this::sendLeaving));
	}

	/**
	 * Handles the greeting of another entry. A peer that greets after the leaving notice
	 * was sent has not received it: it would advertise this entry until the link breaks,
	 * and callers would be directed to an entry that accepts no requests.
	 */
	void greetingReceived(String peer) {
		if (this.leavingAnnounced) {
			sendLeaving(peer);
		}
	}

	/**
	 * Sends the version of the table in force to another entry, which may have just
	 * started and have read an older one.
	 */
	void sendTable(String peer, Optional<RouteTable> table) {
		table.ifPresent((one) -> trySend(peer,
				Frame.newBuilder().setTableInForce(TableInForce.newBuilder().setVersion(one.version())).build()));
	}

	// A full link drops the notice, and its peer would go on advertising this entry to
	// callers. So the notice stays pending until the link accepts it. A peer without a
	// link gets it when its link is established.
	private void sendLeaving(String peer) {
		if (trySend(peer, leavingFrame())) {
			this.pendingLeaving.remove(peer);
			return;
		}
		this.pendingLeaving.add(peer);
	}

	private boolean trySend(String peer, Frame frame) {
		return this.transport.map((links) -> links.send(peer, frame) != PeerTransport.SendResult.LINK_FULL)
			.orElse(true);
	}

	private Frame leavingFrame() {
		return Frame.newBuilder().setLeaving(Leaving.newBuilder().setVm(this.settings.name())).build();
	}

	/**
	 * Sends the current state to a peer whose link was established.
	 */
	void linkEstablished(String peer, Optional<RouteTable> table) {
		this.lastSent.keySet().removeIf((key) -> key.startsWith(peer));
		greetingReceived(peer);
		engines(table).stream()
			.filter((info) -> info.address().equals(peer))
			.findFirst()
			.ifPresent((info) -> notifyAgent(info, peerListFrame(info.service(), table), table));
	}

	/**
	 * Schedules an update of the links and peer lists after the set of entries or agents
	 * has changed.
	 */
	void peersChanged() {
		this.relinkPending = true;
	}

	/**
	 * Retries pending notices, and updates the links when the set of entries or agents
	 * has changed.
	 */
	void tick(Optional<RouteTable> table, long nowNanos) {
		List.copyOf(this.pendingLeaving).forEach(this::sendLeaving);
		if (this.relinkPending && nowNanos - this.lastRelinkNanos >= RELINK_INTERVAL_NANOS) {
			this.relinkPending = false;
			this.lastRelinkNanos = nowNanos;
			relink(table);
		}
	}

	private void relink(Optional<RouteTable> table) {
		Map<String, InetSocketAddress> peers = new HashMap<>();
		this.registry.linkTargets().forEach((info) -> peers.put(info.name(), address(info.linkAddress())));
		linkedEngines(table)
			.forEach((info) -> peers.put(info.address(), new InetSocketAddress(info.host(), this.settings.linkPort())));
		this.transport.ifPresent((links) -> links.setDesiredPeers(peers));
		notifyAgents(table);
	}

	// Returns the engines whose agents this entry links to.
	private List<RunnerInfo> linkedEngines(Optional<RouteTable> table) {
		return this.assignment.linkedEngines(engines(table), this.registry.registeredPeers());
	}

	private List<RunnerInfo> engines(Optional<RouteTable> table) {
		return this.dispatcher.fleetView()
			.runners()
			.stream()
			.filter((info) -> engineSpec(table, info.service()).isPresent())
			.toList();
	}

	private static Optional<EngineSpec> engineSpec(Optional<RouteTable> known, String service) {
		return known.flatMap((table) -> table.service(service)).flatMap((spec) -> spec.engine());
	}

	/**
	 * Sends agents what has changed since it was last sent to them.
	 */
	void notifyAgents(Optional<RouteTable> table) {
		Map<String, Frame> peerLists = new HashMap<>();
		linkedEngines(table).forEach((info) -> notifyAgent(info,
				peerLists.computeIfAbsent(info.service(), (service) -> peerListFrame(service, table)), table));
	}

	private Frame peerListFrame(String service, Optional<RouteTable> table) {
		Roster.Builder members = Roster.newBuilder();
		engines(table).stream()
			.filter((info) -> info.service().equals(service))
			.sorted(Comparator.comparing(RunnerInfo::address))
			.forEach((info) -> members
				.addMembers(RosterMember.newBuilder().setVm(info.host()).setPlace(info.failureDomain())));
		return Frame.newBuilder().setRoster(members).build();
	}

	private void notifyAgent(RunnerInfo runner, Frame peerList, Optional<RouteTable> table) {
		Optional<String> origin = table.flatMap(RouteTable::origin).map((spec) -> spec.address());
		Optional<String> model = engineSpec(table, runner.service()).map(EngineSpec::model);
		if (origin.isEmpty() || model.isEmpty() || this.transport.isEmpty()) {
			return;
		}
		WeightsNamed.Builder weights = WeightsNamed.newBuilder()
			.setModel(model.get())
			.setVersion(this.targetVersions.getOrDefault(model.get(), INITIAL_VERSION))
			.setOrigin(origin.get());
		if (this.assignment.sendsPeerList(runner, this.registry.livePeers())) {
			sendIfChanged(runner.address(), peerList);
		}
		sendIfChanged(runner.address(), Frame.newBuilder().setWeightsNamed(weights).build());
	}

	// Registrations change often, what agents need from them seldom. Sending it each
	// time took most of the bandwidth between regions. A frame that a full link dropped
	// counts as not sent: otherwise an engine would keep superseded weights.
	private void sendIfChanged(String agent, Frame frame) {
		String key = agent + frame.getBodyCase();
		if (frame.equals(this.lastSent.get(key))) {
			return;
		}
		if (trySend(agent, frame)) {
			this.lastSent.put(key, frame);
			return;
		}
		this.relinkPending = true;
	}

	private static InetSocketAddress address(String text) {
		int colon = text.lastIndexOf(':');
		return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
	}

}
