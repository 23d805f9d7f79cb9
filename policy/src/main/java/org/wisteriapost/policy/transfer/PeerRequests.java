package org.wisteriapost.policy.transfer;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntConsumer;

import org.wisteriapost.kernel.Invariants;

/**
 * Requests chunks from peers, part by part, and handles the responses.
 */
final class PeerRequests {

	// Bridges the gap between two ticks.
	private static final double BURST_SECONDS = 0.1;

	private final ChunkIndex chunks;

	private final TransferLimits limits;

	private final Invariants invariants;

	private final LocalChunks localChunks;

	private final PeerConnections connections;

	private final ChunkSelector selector;

	private final RequestTimeout timeout;

	private final IntConsumer makeRequestable;

	private final RequestWindow window;

	private final TokenBucket pacer = TokenBucket.create(BURST_SECONDS);

	private int partBytes = PartSize.of(0);

	// When the latest of the requests that met little delay was sent.
	private long promptlyAnsweredAt = Long.MIN_VALUE / 2;

	/**
	 * Creates an instance without pending requests.
	 * @param makeRequestable called with each chunk that no longer comes from a peer
	 */
	PeerRequests(ChunkIndex chunks, TransferLimits limits, Invariants invariants, LocalChunks localChunks,
			PeerConnections connections, ChunkSelector selector, RequestTimeout timeout, IntConsumer makeRequestable) {
		this.chunks = chunks;
		this.limits = limits;
		this.invariants = invariants;
		this.localChunks = localChunks;
		this.connections = connections;
		this.selector = selector;
		this.timeout = timeout;
		this.makeRequestable = makeRequestable;
		this.window = new RequestWindow(limits.maxChunksInProgress());
	}

	/**
	 * Sets the rate at which chunks may be received.
	 * @param bytesPerSecond 0 for no limit
	 */
	void setRate(double bytesPerSecond, long now) {
		this.pacer.setRate(bytesPerSecond, now);
		this.partBytes = PartSize.of(bytesPerSecond);
	}

	/**
	 * Returns how long to wait before more may be requested; 0 when it may be now.
	 */
	long delayNanos(long now) {
		return this.pacer.delayNanos(now);
	}

	/**
	 * Counts bytes that were requested from the origin against the rate.
	 */
	void countOriginBytes(int bytes) {
		this.pacer.consume(bytes);
	}

	/**
	 * Returns whether responses show that the link has little capacity.
	 */
	boolean isLinkNarrow() {
		return this.window.isLinkNarrow();
	}

	/**
	 * Sends requests up to the limits of rate and requests in flight.
	 * @param crossDomain the chunks that may be requested from other failure domains
	 */
	void sendRequests(BitSet crossDomain, long now, List<TransferEffect> effects) {
		Optional<ChunkSelector.Selection> next = next(crossDomain, now);
		while (next.isPresent()) {
			request(next.get().peer(), next.get().chunk(), now, effects);
			next = next(crossDomain, now);
		}
	}

	/**
	 * Continues a chunk of which a part was received. An abandoned request that is
	 * answered late is continued too, unless the chunk has been requested elsewhere
	 * meanwhile.
	 */
	void onPartReceived(PeerState peer, TransferEvent.PartReceived part, long now, List<TransferEffect> effects) {
		int chunk = part.chunk();
		boolean expected = peer.isPending(chunk, part.end()) || this.localChunks.requestable().get(chunk);
		peer.recordResponse(now);
		peer.removePending(chunk, part.end()).ifPresent((request) -> recordResponseTime(peer, request, now));
		if (expected && this.localChunks.missing(chunk)) {
			this.localChunks.markRequested(chunk);
			peer.partial().put(chunk, part.end());
		}
		else if (!peer.isSourceOf(chunk)) {
			effects.add(new TransferEffect.DiscardParts(peer.vm(), chunk));
		}
	}

	void recordResponseTime(PeerState peer, PeerState.PendingRequest request, long now) {
		boolean inTime = now - request.sentAt() <= this.timeout.timeoutNanos();
		if (inTime) {
			peer.recordOnTime();
		}
		// A late response while the local link is fast is caused by the peer and says
		// nothing about other peers.
		if (inTime || isLinkNarrow()) {
			this.timeout.recordResponseTime(now - request.sentAt());
		}
		if (this.window.recordResponseTime(now - request.sentAt(), now)) {
			this.promptlyAnsweredAt = Math.max(this.promptlyAnsweredAt, request.sentAt());
		}
	}

	/**
	 * Abandons all requests to a peer and discards the parts received from it, except for
	 * requested parts that may still be answered.
	 */
	void abandonRequests(PeerState peer, List<TransferEffect> effects) {
		peer.partial().keySet().forEach((chunk) -> effects.add(new TransferEffect.DiscardParts(peer.vm(), chunk)));
		for (int chunk : peer.abandonRequests()) {
			this.makeRequestable.accept(chunk);
		}
	}

	/**
	 * Handles a refusal: backs off from a busy peer, and no longer requests the chunk
	 * from a peer that does not hold it.
	 */
	void onRefused(PeerState peer, TransferEvent.Refused refused, long now, List<TransferEffect> effects) {
		int chunk = refused.chunk();
		peer.recordResponse(now);
		int received = peer.removePending(chunk).map(PeerState.PendingRequest::offset).orElse(0);
		if (refused.busy()) {
			peer.pause(now + this.timeout.busyBackoffNanos());
		}
		else if (peer.held().get(chunk)) {
			this.connections.removeHeld(peer, chunk);
		}
		boolean resumable = received > 0 && this.localChunks.missing(chunk)
				&& !this.localChunks.requestable().get(chunk);
		if (refused.busy() && resumable && peer.mayRetryAfterBusy(chunk)) {
			peer.partial().put(chunk, received);
			return;
		}
		effects.add(new TransferEffect.DiscardParts(peer.vm(), chunk));
		this.makeRequestable.accept(chunk);
	}

	/**
	 * Discards the received parts of a chunk that is complete.
	 */
	void discardParts(int chunk, List<TransferEffect> effects) {
		for (PeerState peer : this.connections.all()) {
			if (peer.partial().remove(chunk) != null) {
				effects.add(new TransferEffect.DiscardParts(peer.vm(), chunk));
			}
		}
	}

	/**
	 * Abandons requests that have timed out.
	 */
	void tick(long now, List<TransferEffect> effects) {
		long limit = this.timeout.timeoutNanos();
		for (PeerState peer : this.connections.all()) {
			boolean late = peer.pending().values().stream().anyMatch((request) -> now - request.sentAt() > limit);
			if (late) {
				this.window.recordLate(now);
				abandonRequests(peer, effects);
				this.connections.stopCounting(peer);
				if (peer.recordTimeout(now, limit)) {
					effects.add(new TransferEffect.Notice(TransferStateMachine.PEER_STALLED, peer.vm(), 0));
				}
			}
		}
	}

	private Optional<ChunkSelector.Selection> next(BitSet crossDomain, long now) {
		if (this.connections.pendingRequests() >= freeCapacity(now) || this.pacer.delayNanos(now) > 0) {
			return Optional.empty();
		}
		Optional<ChunkSelector.Selection> partial = nextPartial(now);
		if (partial.isPresent() || this.connections.chunksInProgress() + this.localChunks.storingCount() >= this.limits
			.maxChunksInProgress()) {
			return partial;
		}
		return this.selector.next(this.localChunks.requestable(), this.connections.all(), crossDomain, now);
	}

	// Abandoned requests may still be answered and keep using the link. Without counting
	// them as in flight, a link that is already saturated would stay so. The link is a
	// queue: where a later request was answered with little delay, the parts of earlier
	// ones are held by their peers and not on this link. One part may always be
	// requested, so that a peer that never answers does not stop the fetch.
	private int freeCapacity(long now) {
		return Math.max(1, this.window.size() - this.connections.abandonedRequests(this.promptlyAnsweredAt, now));
	}

	private void request(PeerState peer, int chunk, long now, List<TransferEffect> effects) {
		this.invariants.holds(this.localChunks.missing(chunk), "asked-only-what-is-missing", "chunk " + chunk);
		this.localChunks.markRequested(chunk);
		int offset = peer.partial().getOrDefault(chunk, 0);
		int end = Math.min(this.chunks.length(chunk), offset + this.partBytes);
		peer.addPending(chunk, end, now);
		this.pacer.consume(end - offset);
		boolean last = end == this.chunks.length(chunk);
		effects.add(new TransferEffect.Request(peer.vm(), chunk, offset, last ? 0 : end - offset));
	}

	// Chunks closest to completion are continued first, since only complete chunks can
	// be served to other peers.
	private Optional<ChunkSelector.Selection> nextPartial(long now) {
		ChunkSelector.Selection nearest = null;
		int mostReceived = 0;
		for (PeerState peer : this.connections.all()) {
			for (Map.Entry<Integer, Integer> partial : peer.partial().entrySet()) {
				if (peer.acceptsRequests(now) && partial.getValue() > mostReceived) {
					mostReceived = partial.getValue();
					nearest = new ChunkSelector.Selection(peer, partial.getKey());
				}
			}
		}
		return Optional.ofNullable(nearest);
	}

}
