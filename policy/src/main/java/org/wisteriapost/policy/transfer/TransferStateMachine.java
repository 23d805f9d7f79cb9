package org.wisteriapost.policy.transfer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.Invariants;

/**
 * The state machine of one fetch: computes for each event the effects that the I/O layer
 * must carry out. Used by one thread.
 */
public final class TransferStateMachine {

	/** A peer sent wrong bytes. */
	public static final Code PEER_CORRUPT = Code.warning("peer-chunk-corrupt",
			"A peer sent a chunk whose hash is wrong; it was dropped and the peer is left alone for a while.");

	/** The origin sent wrong bytes several times. */
	public static final Code ORIGIN_CORRUPT = Code.error("origin-chunk-corrupt",
			"The origin keeps sending a chunk whose hash is not the bundle's.");

	/** A peer's link is open but nothing comes. */
	public static final Code PEER_STALLED = Code.warning("peer-stalled",
			"A peer's link is open but its answers do not come; its chunks are fetched elsewhere.");

	/** The source name of chunks that were read from the origin. */
	public static final String ORIGIN = "";

	private static final long CORRUPTION_BACKOFF_NANOS = Duration.ofSeconds(30).toNanos();

	private static final int MAX_ORIGIN_CORRUPTIONS = 3;

	private final ChunkIndex chunks;

	private final TransferLimits limits;

	private final Invariants invariants;

	private final LocalChunks localChunks;

	private final PeerConnections connections;

	private final Map<Integer, Integer> originCorruptions = new HashMap<>();

	private final ChunkSelector selector;

	private final CrossDomainRequests crossDomain;

	private final OriginReadScheduler originReads;

	private final RequestTimeout timeout;

	private final PeerRequests requests;

	private List<Peer> peers = List.of();

	private Set<String> failing = Set.of();

	private long announcedAt = Long.MIN_VALUE / 2;

	private boolean started;

	private boolean peersReported;

	private long startedAt;

	private long lastTickAt;

	private boolean ended;

	private boolean complete;

	private TransferStateMachine(ChunkIndex chunks, Peer self, TransferLimits limits, UniformRandomProvider random,
			Invariants invariants) {
		this.chunks = chunks;
		this.limits = limits;
		this.invariants = invariants;
		this.localChunks = new LocalChunks(chunks);
		this.selector = new ChunkSelector(chunks.count(), limits, random);
		this.connections = new PeerConnections(self, limits, this.selector);
		this.crossDomain = new CrossDomainRequests(chunks, self);
		this.timeout = new RequestTimeout(limits.minTimeout());
		this.requests = new PeerRequests(chunks, limits, invariants, this.localChunks, this.connections, this.selector,
				this.timeout, this::makeRequestable);
		int firstChunk = (chunks.count() > 0) ? random.nextInt(chunks.count()) : 0;
		this.originReads = new OriginReadScheduler(chunks, limits, new RendezvousRanking(chunks, self), this.selector,
				firstChunk);
	}

	/**
	 * Returns a machine that waits for {@link TransferEvent.StoreScanned}.
	 * @param random breaks ties between chunks and between peers
	 * @param invariants counts invariant violations
	 */
	public static TransferStateMachine create(ChunkIndex chunks, Peer self, TransferLimits limits,
			UniformRandomProvider random, Invariants invariants) {
		return new TransferStateMachine(chunks, self, limits, random, invariants);
	}

	/**
	 * Returns how many chunks are verified and stored.
	 */
	public int verifiedCount() {
		return this.localChunks.held().cardinality();
	}

	/**
	 * Returns the chunks that are verified and stored.
	 */
	public BitSet heldChunks() {
		return (BitSet) this.localChunks.held().clone();
	}

	/**
	 * Applies one event and returns the resulting effects.
	 * @param now the monotonic clock in nanoseconds
	 */
	public List<TransferEffect> apply(TransferEvent event, long now) {
		List<TransferEffect> effects = new ArrayList<>();
		switch (event) {
			case TransferEvent.PeersChanged seen -> onPeersChanged(seen.peers(), now, effects);
			case TransferEvent.LinkUp up ->
				this.connections.peer(up.vm()).ifPresent((peer) -> this.connections.linkUp(peer, now));
			case TransferEvent.LinkDown down -> this.connections.peer(down.vm())
				.ifPresent((peer) -> this.connections.linkDown(peer, now).forEach(this::makeRequestable));
			case TransferEvent.PeerHolds holds ->
				this.connections.peer(holds.vm()).ifPresent((peer) -> onPeerHolds(peer, holds.chunks(), now));
			case TransferEvent.PeerNotFetching idle -> this.connections.peer(idle.vm()).ifPresent((peer) -> {
				peer.reported(true);
				peer.markNotFetching(now);
			});
			case TransferEvent.StoreScanned held -> onStoreScanned(held.chunks(), now, effects);
			case TransferEvent.PartReceived part -> this.connections.peer(part.vm())
				.ifPresent((peer) -> this.requests.onPartReceived(peer, part, now, effects));
			case TransferEvent.Verified verified -> onVerified(verified.chunk(), verified.source(), now, effects);
			case TransferEvent.Corrupt corrupt -> onCorrupt(corrupt.chunk(), corrupt.source(), now, effects);
			case TransferEvent.Refused refused -> this.connections.peer(refused.vm())
				.ifPresent((peer) -> this.requests.onRefused(peer, refused, now, effects));
			case TransferEvent.OriginReadFailed failed -> onOriginFailed(failed, now, effects);
			case TransferEvent.Stored stored -> onStored(stored.chunk(), effects);
			case TransferEvent.Lost lost -> onLost(lost.chunk());
			case TransferEvent.RateSet rate -> this.requests.setRate(rate.bytesPerSecond(), now);
			case TransferEvent.Tick tick -> onTick(now, effects);
		}
		updateRanks(now);
		sendRequests(now, effects);
		announce(now, effects);
		return effects;
	}

	private void onPeersChanged(List<Peer> seen, long now, List<TransferEffect> effects) {
		this.peers = seen;
		this.failing = Set.of();
		this.originReads.updateRanks(this.peers, this.failing);
		this.crossDomain.update(this.peers, this.failing);
		this.connections.updatePeers(seen, precedingReaders(), now, effects).forEach(this::makeRequestable);
	}

	// Some VMs of a stale list may be gone or fetch other files. The chunks assigned to
	// them would be read only after no other chunk appears, and delay the whole fetch. A
	// VM that ranks second for a chunk therefore connects to the first-ranked VM, so
	// that it notices at once when that VM is unreachable. With one VM in ten gone a
	// rollout takes 1.4 to 1.6 times what a VM's own link needs for the weights in
	// simulation, and 2.0 to 2.3 times without these connections.
	private Set<String> precedingReaders() {
		if (this.limits.distribution() != TransferLimits.Distribution.SWARM) {
			return Set.of();
		}
		Set<String> additional = new HashSet<>(this.originReads.precedingReaders());
		if (this.limits.oneFetcherPerFailureDomain()) {
			additional.addAll(this.crossDomain.precedingReaders());
		}
		return additional;
	}

	private void makeRequestable(int chunk) {
		if (!this.originReads.pendingReads().containsKey(chunk) && this.connections.sourceCount(chunk) == 0) {
			this.localChunks.makeRequestable(chunk);
		}
	}

	private void onPeerHolds(PeerState peer, BitSet chunks, long now) {
		if (!peer.up()) {
			return;
		}
		peer.recordResponse(now);
		BitSet added = this.connections.addHeld(peer, chunks);
		boolean progress = added.stream()
			.anyMatch((chunk) -> this.selector.holders(chunk) == 1 && !this.localChunks.holds(chunk));
		if (progress) {
			this.originReads.recordProgress(now);
		}
	}

	private void onStoreScanned(BitSet held, long now, List<TransferEffect> effects) {
		this.started = true;
		this.startedAt = now;
		this.originReads.recordProgress(now);
		this.localChunks.addHeld(held);
		held.stream().forEach((chunk) -> copyToDuplicates(chunk, effects));
		completeIfAllStored(effects);
	}

	private void onVerified(int chunk, String source, long now, List<TransferEffect> effects) {
		recordResponse(chunk, source, now);
		if (!this.localChunks.missing(chunk)) {
			return;
		}
		if (this.selector.holders(chunk) == 0) {
			this.originReads.recordProgress(now);
		}
		this.localChunks.storing(chunk);
		effects.add(new TransferEffect.Store(chunk));
		this.requests.discardParts(chunk, effects);
	}

	private void recordResponse(int chunk, String source, long now) {
		if (source.equals(ORIGIN)) {
			this.originReads.recordSuccess(chunk);
			return;
		}
		this.connections.peer(source).ifPresent((peer) -> {
			peer.recordResponse(now);
			peer.removePending(chunk).ifPresent((request) -> this.requests.recordResponseTime(peer, request, now));
		});
	}

	private void onCorrupt(int chunk, String source, long now, List<TransferEffect> effects) {
		if (source.equals(ORIGIN)) {
			this.originReads.recordFailure(chunk, now);
			if (this.originCorruptions.merge(chunk, 1, Integer::sum) >= MAX_ORIGIN_CORRUPTIONS) {
				end(new TransferEffect.Fail(ORIGIN_CORRUPT, chunk), effects);
			}
			makeRequestable(chunk);
			return;
		}
		effects.add(new TransferEffect.Notice(PEER_CORRUPT, source, chunk));
		this.connections.peer(source).ifPresent((peer) -> {
			this.connections.stopCounting(peer);
			peer.recordCorruption(now, CORRUPTION_BACKOFF_NANOS);
			peer.removePending(chunk);
			makeRequestable(chunk);
			this.requests.abandonRequests(peer, effects);
		});
	}

	private void onOriginFailed(TransferEvent.OriginReadFailed failed, long now, List<TransferEffect> effects) {
		this.originReads.recordFailure(failed.chunk(), now);
		makeRequestable(failed.chunk());
		if (failed.versionChanged()) {
			end(new TransferEffect.VersionChanged(failed.chunk()), effects);
		}
	}

	private void end(TransferEffect last, List<TransferEffect> effects) {
		if (!this.ended) {
			this.ended = true;
			effects.add(last);
		}
	}

	private void onStored(int chunk, List<TransferEffect> effects) {
		this.invariants.holds(!this.localChunks.holds(chunk), "piece-stored-once", "chunk " + chunk);
		this.localChunks.markStored(chunk);
		copyToDuplicates(chunk, effects);
		completeIfAllStored(effects);
	}

	private void copyToDuplicates(int chunk, List<TransferEffect> effects) {
		for (int duplicate : this.chunks.duplicates(chunk)) {
			if (!this.localChunks.holds(duplicate)) {
				effects.add(new TransferEffect.Copy(chunk, duplicate));
			}
		}
	}

	private void completeIfAllStored(List<TransferEffect> effects) {
		if (!this.complete && this.started && this.localChunks.complete()) {
			this.complete = true;
			effects.add(new TransferEffect.Complete());
		}
	}

	private void onLost(int chunk) {
		this.complete = false;
		this.localChunks.markLost(chunk);
		makeRequestable(chunk);
	}

	private void onTick(long now, List<TransferEffect> effects) {
		this.connections.tick(now, effects);
		long limit = this.timeout.timeoutNanos();
		if (now - this.lastTickAt > limit / 2) {
			restartTimers(now);
		}
		this.lastTickAt = now;
		this.requests.tick(now, effects);
		this.originReads.pendingReads().forEach((chunk, since) -> makeRequestableIfHeld(chunk, now - since > limit));
		// Before the start no chunk can appear. Taken for a stall, this would make every
		// VM read chunks assigned to others.
		if (this.started) {
			this.originReads.tick(this.localChunks.requestable(), now, limit);
			this.crossDomain.tick(this.localChunks.requestable(), this.selector, now, limit);
		}
	}

	// After a pause of this process all requests appear to have timed out. Without
	// restarting them, all peers would be taken for stalled and their chunks read from
	// the origin.
	private void restartTimers(long now) {
		this.connections.all().forEach((peer) -> peer.restartTimers(now));
		this.originReads.recordProgress(now);
	}

	// An origin read may take longer than it takes a peer to obtain the same chunk.
	private void makeRequestableIfHeld(int chunk, boolean late) {
		if (late && this.connections.sourceCount(chunk) == 0 && this.selector.holders(chunk) > 0) {
			this.localChunks.makeRequestable(chunk);
		}
	}

	private void updateRanks(long now) {
		Set<String> current = this.connections.failingPeers(now);
		if (!current.equals(this.failing)) {
			this.failing = current;
			this.originReads.updateRanks(this.peers, current);
			this.crossDomain.update(this.peers, current);
		}
	}

	private void sendRequests(long now, List<TransferEffect> effects) {
		if (!this.started || this.ended || this.localChunks.complete()) {
			return;
		}
		OptionalInt chunk = nextOriginRead(now);
		while (chunk.isPresent()) {
			this.localChunks.markRequested(chunk.getAsInt());
			this.requests.countOriginBytes(this.chunks.length(chunk.getAsInt()));
			effects.add(new TransferEffect.ReadOrigin(chunk.getAsInt()));
			chunk = nextOriginRead(now);
		}
		this.requests.sendRequests(this.crossDomain.allowed(), now, effects);
	}

	// A VM that joins late or restarts would read its share from the origin although its
	// peers hold all chunks. It therefore waits for their reports, but no longer than
	// the progress deadline for an unresponsive peer.
	private boolean peersReported(long now) {
		if (!this.peersReported) {
			this.peersReported = this.connections.allReported()
					|| now - this.startedAt > this.limits.minTimeout().toNanos();
		}
		return this.peersReported;
	}

	private OptionalInt nextOriginRead(long now) {
		if (!peersReported(now) || this.requests.delayNanos(now) > 0
				|| this.localChunks.storingCount() >= this.limits.maxChunksInProgress()) {
			return OptionalInt.empty();
		}
		// The origin sends whole chunks only, which would occupy a narrow link for long.
		if (this.requests.isLinkNarrow() && !this.originReads.pendingReads().isEmpty()) {
			return OptionalInt.empty();
		}
		return this.originReads.next(this.localChunks.requestable(), now, this.timeout.timeoutNanos());
	}

	// The rate is bounded: 810 VMs that announced each chunk to every peer at once would
	// exceed the budget for control traffic.
	private void announce(long now, List<TransferEffect> effects) {
		// The last chunks are announced at once, since the fetch ends here and peers
		// would otherwise never learn of them.
		boolean due = this.complete || now - this.announcedAt >= this.limits.announceInterval().toNanos();
		if (due && this.localChunks.hasUnannounced()) {
			this.announcedAt = now;
			effects.add(new TransferEffect.Announce(this.localChunks.takeUnannounced()));
		}
	}

}
