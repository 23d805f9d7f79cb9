package org.wisteriapost.entry.process;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.wisteriapost.entry.link.PeerLink;
import org.wisteriapost.protocol.wire.Role;

/**
 * The links whose peer has sent a valid Hello.
 */
final class PeerTable {

	private final Set<PeerLink> links = new LinkedHashSet<>();

	void add(PeerLink peer) {
		this.links.add(peer);
	}

	/**
	 * Removes a link; returns false if it was not in the table.
	 */
	boolean remove(PeerLink peer) {
		return this.links.remove(peer);
	}

	boolean isLinked(String vm) {
		return this.links.stream().anyMatch((peer) -> peer.vm().equals(vm));
	}

	/**
	 * Returns the number of links to agents.
	 */
	long agentLinks() {
		return this.links.stream().filter((peer) -> peer.role() == Role.AGENT).count();
	}

	/**
	 * Returns the names of the linked entries.
	 */
	Set<String> linkedEntries() {
		return this.links.stream()
			.filter((peer) -> peer.role() == Role.ENTRY)
			.map(PeerLink::vm)
			.collect(Collectors.toSet());
	}

	/**
	 * Returns a link to an entry.
	 */
	Optional<PeerLink> entry(String vm) {
		return this.links.stream().filter((peer) -> peer.role() == Role.ENTRY && peer.vm().equals(vm)).findFirst();
	}

	List<PeerLink> all() {
		return new ArrayList<>(this.links);
	}

}
