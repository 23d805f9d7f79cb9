package org.wisteriapost.entry.direct;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

import org.wisteriapost.policy.dispatch.Dispatcher;
import org.wisteriapost.policy.dispatch.EngineStatus;
import org.wisteriapost.policy.dispatch.InFlightLoad;
import org.wisteriapost.policy.dispatch.RunnerLoad;
import org.wisteriapost.policy.fleet.EntryInfo;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.protocol.site.EngineFrames;
import org.wisteriapost.protocol.wire.EngineState;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.PlaceState;

/**
 * Tells the other places what the entries of this one have in flight and how the engines
 * here are, and passes on what other places tell. Used by the state thread alone.
 *
 * Load: dozens of entries in several places. Harm prevented: each of them tells each
 * entry of the other places its own part, which comes once in 1.4 s with 49 entries and
 * takes a fifth of what the links between places carry. One entry a place sums it up and
 * sends it to one of each other place, which passes it on to its neighbours: each change
 * crosses a link once, a quarter of a second old.
 */
final class PlaceNews {

	static final int TICKS = 10;

	// All is said again this often; what is not said for two and a half seconds is
	// forgotten.
	static final int FULL_TICKS = 50;

	private final EntryRoster roster;

	private final String place;

	private final Dispatcher dispatcher;

	private final BiConsumer<String, Frame> sender;

	private final Map<Told, InFlightLoad> loads = new HashMap<>();

	private final Map<String, EngineStatus> words = new HashMap<>();

	private final Map<String, EngineState> heard = new HashMap<>();

	/**
	 * Returns the news of one entry.
	 * @param sender sends a frame to an entry by name
	 */
	PlaceNews(String place, EntryRoster roster, Dispatcher dispatcher, BiConsumer<String, Frame> sender) {
		this.place = place;
		this.roster = roster;
		this.dispatcher = dispatcher;
		this.sender = sender;
	}

	/**
	 * Sends what is due.
	 * @param ticks counts the ticks of the entry, 20 ms each
	 */
	void tick(long ticks, long nowNanos) {
		if (ticks % TICKS != 0) {
			return;
		}
		if (!this.roster.byPlace() || !this.roster.speaks()) {
			this.loads.clear();
			this.words.clear();
			return;
		}
		boolean full = ticks % FULL_TICKS == 0;
		PlaceState state = changes(full, nowNanos);
		if (state.getLoadsCount() > 0 || state.getEnginesCount() > 0) {
			Frame frame = Frame.newBuilder().setPlaceState(state).build();
			elsewhere().values().forEach((info) -> this.sender.accept(info.name(), frame));
		}
	}

	/**
	 * Hears what an entry says of a place, passes it on if that is due, and returns what
	 * is new of engines.
	 */
	List<EngineState> heard(String peer, PlaceState state, long nowNanos) {
		Optional<String> from = this.roster.placeOf(peer);
		boolean foreign = from.equals(Optional.of(state.getPlace()));
		boolean passedOn = from.equals(Optional.of(this.place));
		if (state.getPlace().equals(this.place) || !(foreign || passedOn)) {
			return List.of();
		}
		if (foreign) {
			Frame frame = Frame.newBuilder().setPlaceState(state).build();
			this.roster.near().forEach((info) -> this.sender.accept(info.name(), frame));
		}
		state.getLoadsList()
			.forEach((load) -> this.dispatcher.updateFailureDomainLoad(state.getPlace(), LoadFrames.read(load),
					nowNanos));
		return state.getEnginesList()
			.stream()
			.filter((one) -> !one.equals(this.heard.put(one.getAddress(), one)))
			.toList();
	}

	private PlaceState changes(boolean full, long nowNanos) {
		PlaceState.Builder state = PlaceState.newBuilder().setPlace(this.place);
		for (RunnerLoad one : this.dispatcher.fleetView().failureDomainLoad(nowNanos)) {
			InFlightLoad before = this.loads.put(new Told(one.runnerId(), one.incarnation()), one.load());
			boolean changed = !one.load().equals((before != null) ? before : InFlightLoad.NONE);
			if (changed || (full && one.load().requests() > 0)) {
				state.addLoads(LoadFrames.of(one));
			}
		}
		this.dispatcher.fleetView().engineStatuses().forEach((address, word) -> {
			if (!word.equals(this.words.put(address, word)) || full) {
				state.addEngines(EngineFrames.of(address, word, nowNanos));
			}
		});
		return state.build();
	}

	// One living entry of each other place to which there is a link.
	private Map<String, EntryInfo> elsewhere() {
		Map<String, EntryInfo> chosen = new LinkedHashMap<>();
		for (EntryInfo info : this.roster.living()) {
			if (!info.failureDomain().equals(this.place)) {
				chosen.putIfAbsent(info.failureDomain(), info);
			}
		}
		return chosen;
	}

	/**
	 * What others were told of.
	 *
	 * @param runner its id
	 * @param start which start of it
	 */
	private record Told(String runner, RunnerIncarnation start) {
	}

}
