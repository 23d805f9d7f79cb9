package org.wisteriapost.entry.process;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.wisteriapost.entry.link.PeerLink;
import org.wisteriapost.protocol.wire.Role;

/**
 * The links over which a Hello has come.
 */
final class PeerTable {

	private final Set<PeerLink> links = new LinkedHashSet<>();

	void add(PeerLink peer) {
		this.links.add(peer);
	}

	/**
	 * Removes a link; false when no Hello had come over it.
	 */
	boolean remove(PeerLink peer) {
		return this.links.remove(peer);
	}

	/**
	 * Returns whether there is a link to a VM.
	 */
	boolean linked(String vm) {
		return this.links.stream().anyMatch((peer) -> peer.vm().equals(vm));
	}

	/**
	 * Returns how many links lead to agents.
	 */
	long agents() {
		return this.links.stream().filter((peer) -> peer.role() == Role.AGENT).count();
	}

	List<PeerLink> all() {
		return new ArrayList<>(this.links);
	}

}
