package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

import org.wisteriapost.policy.dispatch.Dispatcher;
import org.wisteriapost.policy.dispatch.EngineStatus;
import org.wisteriapost.policy.dispatch.InFlightLoad;
import org.wisteriapost.policy.dispatch.LoadReportInterval;
import org.wisteriapost.policy.dispatch.RunnerLoad;
import org.wisteriapost.policy.fleet.EntryInfo;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.policy.pace.PaceStatement;
import org.wisteriapost.protocol.site.EngineStatusCodec;
import org.wisteriapost.protocol.wire.EngineState;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.PlaceState;

/**
 * Relays the in-flight load and the engine statuses of this failure domain to the others,
 * and distributes what their relays send. Confined to the state thread.
 *
 * With dozens of entries in several failure domains, direct reports from each entry to
 * each remote one would arrive only once in 1.4 s at 49 entries and take a fifth of the
 * links between failure domains. So one entry per failure domain, the relay, sends the
 * sum to one entry of each other failure domain, which forwards it to its peers there:
 * each change crosses a link once, within a quarter of a second.
 */
final class FailureDomainRelay {

	// How often unchanged state is repeated. Receivers discard state that was not
	// repeated for two and a half seconds.
	static final int FULL_REPORT_INTERVAL_TICKS = 50;

	private long nextReportTicks;

	private long nextFullReportTicks;

	private final EntryRegistry registry;

	private final String failureDomain;

	private final Dispatcher dispatcher;

	private final BiConsumer<String, Frame> sender;

	private final Map<RunnerKey, InFlightLoad> reportedLoads = new HashMap<>();

	private final Map<String, EngineStatus> reportedStatuses = new HashMap<>();

	private final Map<String, EngineState> receivedStates = new HashMap<>();

	/**
	 * Creates the relay of one entry.
	 * @param sender sends a frame to an entry by name
	 */
	FailureDomainRelay(String failureDomain, EntryRegistry registry, Dispatcher dispatcher,
			BiConsumer<String, Frame> sender) {
		this.failureDomain = failureDomain;
		this.registry = registry;
		this.dispatcher = dispatcher;
		this.sender = sender;
	}

	/**
	 * Sends the changes that are due, if this entry is the relay.
	 * @param ticks counts the ticks of the entry, 20 ms each
	 */
	void tick(long ticks, long nowNanos) {
		if (ticks < this.nextReportTicks) {
			return;
		}
		int interval = LoadReportInterval.relayTicks(this.registry.failureDomainPeers().size());
		this.nextReportTicks = ticks + interval;
		if (!this.registry.scopedByFailureDomain() || !this.registry.isRelay()) {
			this.reportedLoads.clear();
			this.reportedStatuses.clear();
			return;
		}
		boolean full = ticks >= this.nextFullReportTicks;
		this.nextFullReportTicks = full ? ticks + FULL_REPORT_INTERVAL_TICKS : this.nextFullReportTicks;
		PlaceState state = changes(full, Duration.ofMillis((long) interval * LoadReportInterval.TICK_MILLIS), nowNanos);
		if (state.getLoadsCount() > 0 || state.getEnginesCount() > 0) {
			Frame frame = Frame.newBuilder().setPlaceState(state).build();
			remoteReceivers().values().forEach((info) -> this.sender.accept(info.name(), frame));
		}
	}

	/**
	 * Applies the state of another failure domain, forwards it to the peers of this one
	 * if it came from outside, and returns the engine statuses that have changed.
	 */
	List<EngineState> stateReceived(String peer, PlaceState state, long nowNanos) {
		Optional<String> from = this.registry.failureDomainOf(peer);
		boolean fromOutside = from.equals(Optional.of(state.getPlace()));
		boolean forwarded = from.equals(Optional.of(this.failureDomain));
		if (state.getPlace().equals(this.failureDomain) || !(fromOutside || forwarded)) {
			return List.of();
		}
		if (fromOutside) {
			Frame frame = Frame.newBuilder().setPlaceState(state).build();
			this.registry.failureDomainPeers().forEach((info) -> this.sender.accept(info.name(), frame));
		}
		state.getLoadsList()
			.forEach((load) -> this.dispatcher.peerLoads()
				.updateFailureDomain(state.getPlace(), LoadReportCodec.decode(load), nowNanos));
		return state.getEnginesList()
			.stream()
			.filter((one) -> !one.equals(this.receivedStates.put(one.getAddress(), one)))
			.toList();
	}

	private PlaceState changes(boolean full, Duration interval, long nowNanos) {
		PlaceState.Builder state = PlaceState.newBuilder().setPlace(this.failureDomain);
		for (RunnerLoad one : this.dispatcher.fleetView().failureDomainLoad(nowNanos)) {
			InFlightLoad before = this.reportedLoads.put(new RunnerKey(one.runnerId(), one.incarnation()), one.load());
			boolean changed = !one.load().equals((before != null) ? before : InFlightLoad.NONE);
			if (changed || (full && one.load().requests() > 0)) {
				state.addLoads(LoadReportCodec.encode(one));
			}
		}
		this.dispatcher.fleetView().engineStatuses().forEach((address, known) -> {
			EngineStatus status = PaceStatement.worthRelaying(interval) ? known : known.withPace(Optional.empty());
			if (!status.equals(this.reportedStatuses.put(address, status)) || full) {
				state.addEngines(EngineStatusCodec.encode(address, status, nowNanos));
			}
		});
		return state.build();
	}

	// Returns one linked live entry of each other failure domain.
	private Map<String, EntryInfo> remoteReceivers() {
		Map<String, EntryInfo> chosen = new LinkedHashMap<>();
		for (EntryInfo info : this.registry.livePeers()) {
			if (!info.failureDomain().equals(this.failureDomain)) {
				chosen.putIfAbsent(info.failureDomain(), info);
			}
		}
		return chosen;
	}

	/**
	 * The key of a reported load.
	 */
	private record RunnerKey(String runnerId, RunnerIncarnation incarnation) {
	}

}
