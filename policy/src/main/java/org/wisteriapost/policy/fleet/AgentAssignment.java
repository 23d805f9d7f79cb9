package org.wisteriapost.policy.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Assigns engine agents to entries: to which agents an entry links, and to which of them
 * it sends the list of their peers.
 *
 * With hundreds of agents linked to every entry, each change of the agents would send the
 * whole list from every entry to every agent: 12 MB a change for 49 entries and 110
 * agents, most of it across failure domains. So an entry links to the agents of its own
 * failure domain, and {@value #PEER_LIST_SENDERS} entries send each agent its peers, so
 * that one of them may be dead or hung. Agents of a failure domain without entries are
 * distributed over the entries of the others.
 */
public final class AgentAssignment {

	static final int PEER_LIST_SENDERS = 2;

	private final EntryInfo self;

	private AgentAssignment(EntryInfo self) {
		this.self = self;
	}

	public static AgentAssignment of(EntryInfo self) {
		return new AgentAssignment(self);
	}

	/**
	 * Returns the engines to whose agents this entry links.
	 * @param engines all registered engines
	 * @param otherEntries the other registered entries
	 */
	public List<RunnerInfo> linkedEngines(Collection<RunnerInfo> engines, Collection<EntryInfo> otherEntries) {
		if (!EntryLinks.scopedByFailureDomain(otherEntries.size() + 1)) {
			return List.copyOf(engines);
		}
		Set<String> domainsWithEntries = otherEntries.stream()
			.map(EntryInfo::failureDomain)
			.collect(Collectors.toSet());
		List<String> names = otherEntries.stream().map(EntryInfo::name).toList();
		List<RunnerInfo> chosen = new ArrayList<>();
		for (RunnerInfo engine : engines) {
			boolean local = engine.failureDomain().equals(this.self.failureDomain());
			boolean orphaned = !local && !domainsWithEntries.contains(engine.failureDomain());
			if (local || (orphaned && isAmongFirst(engine, names))) {
				chosen.add(engine);
			}
		}
		return chosen;
	}

	/**
	 * Returns whether this entry sends the agent of an engine the list of its peers.
	 * @param liveEntries the other entries that are live in this entry's view
	 */
	public boolean sendsPeerList(RunnerInfo engine, Collection<EntryInfo> liveEntries) {
		boolean sameDomain = engine.failureDomain().equals(this.self.failureDomain());
		List<String> entriesOfDomain = liveEntries.stream()
			.filter((info) -> info.failureDomain().equals(engine.failureDomain()))
			.map(EntryInfo::name)
			.toList();
		if (!sameDomain && !entriesOfDomain.isEmpty()) {
			return false;
		}
		return isAmongFirst(engine, sameDomain ? entriesOfDomain : liveEntries.stream().map(EntryInfo::name).toList());
	}

	private boolean isAmongFirst(RunnerInfo engine, Collection<String> names) {
		return RendezvousHashing.isAmongFirst(this.self.name(), names, engine.address(), PEER_LIST_SENDERS);
	}

}
