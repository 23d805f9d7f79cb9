package org.wisteriapost.policy.transfer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The peers this VM connects to, and the state of each connection.
 */
final class PeerConnections {

	private static final long RECONNECT_DELAY_NANOS = Duration.ofMillis(500).toNanos();

	private final Peer self;

	private final TransferLimits limits;

	private final ChunkSelector selector;

	private final Map<String, PeerState> peers = new LinkedHashMap<>();

	PeerConnections(Peer self, TransferLimits limits, ChunkSelector selector) {
		this.self = self;
		this.limits = limits;
		this.selector = selector;
	}

	Collection<PeerState> all() {
		return this.peers.values();
	}

	Optional<PeerState> peer(String vm) {
		return Optional.ofNullable(this.peers.get(vm));
	}

	/**
	 * Returns how many peers a chunk is being requested or resumed from.
	 */
	int sourceCount(int chunk) {
		int count = 0;
		for (PeerState peer : this.peers.values()) {
			count += peer.isSourceOf(chunk) ? 1 : 0;
		}
		return count;
	}

	/**
	 * Returns how many requests are unanswered.
	 */
	int pendingRequests() {
		int count = 0;
		for (PeerState peer : this.peers.values()) {
			count += peer.pending().size();
		}
		return count;
	}

	/**
	 * Returns how many chunks are being requested or partially received.
	 */
	int chunksInProgress() {
		int count = 0;
		for (PeerState peer : this.peers.values()) {
			count += peer.pending().size() + peer.partial().size();
		}
		return count;
	}

	/**
	 * Returns how many abandoned requests that were sent since a time may still be
	 * answered.
	 */
	int abandonedRequests(long since, long now) {
		int count = 0;
		for (PeerState peer : this.peers.values()) {
			count += peer.abandoned(since, now);
		}
		return count;
	}

	/**
	 * Returns the connected peers that must not be relied on to read their chunks.
	 */
	Set<String> failingPeers(long now) {
		Set<String> failing = new HashSet<>();
		for (PeerState peer : this.peers.values()) {
			if (peer.failing(now)) {
				failing.add(peer.vm());
			}
		}
		return failing;
	}

	/**
	 * Selects the peers to connect to and returns the chunks whose source is no longer
	 * connected.
	 * @param additional peers to connect to besides the selected ones, also beyond their
	 * maximum
	 */
	List<Integer> updatePeers(List<Peer> seen, Set<String> additional, long now, List<TransferEffect> effects) {
		Set<String> chosen = new LinkedHashSet<>(PeerSelection.choose(this.self, seen, this.limits));
		chosen.addAll(additional);
		List<Integer> released = new ArrayList<>();
		for (PeerState peer : List.copyOf(this.peers.values())) {
			if (!chosen.contains(peer.vm())) {
				released.addAll(linkDown(peer, now));
				this.peers.remove(peer.vm());
				effects.add(new TransferEffect.Disconnect(peer.vm()));
			}
		}
		for (Peer peer : seen) {
			if (chosen.contains(peer.vm()) && !this.peers.containsKey(peer.vm())) {
				this.peers.put(peer.vm(), new PeerState(peer, peer.failureDomain().equals(this.self.failureDomain())));
				effects.add(new TransferEffect.Connect(peer.vm()));
			}
		}
		return released;
	}

	void linkUp(PeerState peer, long now) {
		peer.linkUp();
		peer.countedAsHolder(peer.mayCountAgain(now));
	}

	/**
	 * Marks a link as disconnected and returns the chunks that were requested over it.
	 */
	Set<Integer> linkDown(PeerState peer, long now) {
		stopCounting(peer);
		peer.held().clear();
		Set<Integer> released = peer.abandonRequests();
		peer.linkDown(now + RECONNECT_DELAY_NANOS);
		return released;
	}

	/**
	 * Returns whether every connected peer has reported its chunks or is unreachable.
	 */
	boolean allReported() {
		return this.peers.values().stream().allMatch(PeerState::reported);
	}

	/**
	 * Records chunks that a peer holds and returns those that may now be requested from
	 * it.
	 */
	BitSet addHeld(PeerState peer, BitSet chunks) {
		peer.markFetching();
		BitSet added = (BitSet) chunks.clone();
		added.andNot(peer.held());
		peer.reported(true);
		peer.held().or(added);
		if (!peer.countedAsHolder()) {
			return new BitSet();
		}
		this.selector.addHolder(added);
		return added;
	}

	void removeHeld(PeerState peer, int chunk) {
		if (peer.countedAsHolder() && peer.held().get(chunk)) {
			BitSet one = new BitSet();
			one.set(chunk);
			this.selector.removeHolder(one);
		}
		peer.held().clear(chunk);
	}

	/**
	 * Removes a peer from the holder counts.
	 */
	void stopCounting(PeerState peer) {
		if (peer.countedAsHolder()) {
			this.selector.removeHolder(peer.held());
			peer.countedAsHolder(false);
		}
	}

	void tick(long now, List<TransferEffect> effects) {
		for (PeerState peer : this.peers.values()) {
			if (peer.mayCountAgain(now)) {
				peer.countedAsHolder(true);
				this.selector.addHolder(peer.held());
			}
			if (peer.reconnectDue(now)) {
				peer.linkDown(now + RECONNECT_DELAY_NANOS);
				effects.add(new TransferEffect.Connect(peer.vm()));
			}
		}
	}

}
