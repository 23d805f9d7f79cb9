package org.wisteriapost.policy.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Which agents an entry links to, and which of them it tells who their peers are.
 *
 * Load: hundreds of agents, each linked to every entry. Harm prevented: a list of all
 * agents goes from every entry to every agent whenever one comes or goes, which for 49
 * entries and 110 agents is 12 MB a change, most of it between places. Here entries link
 * to the agents of their own place, and two of them tell each agent its peers, so that
 * one may be dead or frozen. Agents of a place without entries are shared out over the
 * entries elsewhere.
 */
public final class AgentDuty {

	static final int TELLERS = 2;

	private final EntryInfo self;

	private AgentDuty(EntryInfo self) {
		this.self = self;
	}

	/**
	 * Returns the duty of one entry.
	 */
	public static AgentDuty of(EntryInfo self) {
		return new AgentDuty(self);
	}

	/**
	 * Returns the engines to whose agents this entry links.
	 * @param engines all there are
	 * @param registered the other registered entries
	 */
	public List<RunnerInfo> linked(Collection<RunnerInfo> engines, Collection<EntryInfo> registered) {
		if (!EntryLinks.byPlace(registered.size() + 1)) {
			return List.copyOf(engines);
		}
		Set<String> places = registered.stream().map(EntryInfo::place).collect(Collectors.toSet());
		List<String> names = registered.stream().map(EntryInfo::name).toList();
		List<RunnerInfo> chosen = new ArrayList<>();
		for (RunnerInfo engine : engines) {
			boolean near = engine.place().equals(this.self.place());
			boolean orphaned = !near && !places.contains(engine.place());
			if (near || (orphaned && first(engine, names))) {
				chosen.add(engine);
			}
		}
		return chosen;
	}

	/**
	 * Returns whether this entry tells the agent beside an engine who its peers are.
	 * @param living the other entries that live, as far as is known here
	 */
	public boolean tells(RunnerInfo engine, Collection<EntryInfo> living) {
		boolean own = engine.place().equals(this.self.place());
		List<String> near = living.stream()
			.filter((info) -> info.place().equals(engine.place()))
			.map(EntryInfo::name)
			.toList();
		if (!own && !near.isEmpty()) {
			return false;
		}
		return first(engine, own ? near : living.stream().map(EntryInfo::name).toList());
	}

	private boolean first(RunnerInfo engine, Collection<String> names) {
		return Rendezvous.among(this.self.name(), names, engine.address(), TELLERS);
	}

}
