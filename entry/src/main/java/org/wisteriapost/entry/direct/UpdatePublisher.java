package org.wisteriapost.entry.direct;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

import org.wisteriapost.policy.routing.LastConfirmedTime;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.News;
import org.wisteriapost.protocol.wire.NewsRequest;

/**
 * Sends store updates to the entries that have subscribed to this one. Confined to the
 * state thread.
 *
 * Each frame has a sequence number, by which a subscriber detects frames that a full link
 * dropped, and the staleness of this entry's routes.
 */
final class UpdatePublisher {

	private final BiConsumer<String, Frame> sender;

	private final LongSupplier clock;

	private final Set<String> subscribers = new HashSet<>();

	// Kept for all linked peers, also unsubscribed ones: if the notice that ended the
	// subscription was lost, the number of the next frame reveals it.
	private final Map<String, PeerState> peerStates = new HashMap<>();

	private final LastConfirmedTime routesConfirmed = new LastConfirmedTime();

	/**
	 * Creates the publisher of one entry.
	 * @param sender sends a frame to an entry by name
	 */
	UpdatePublisher(BiConsumer<String, Frame> sender, LongSupplier clock) {
		this.sender = sender;
		this.clock = clock;
	}

	/**
	 * Records the time as of which this entry has read the store's routes.
	 */
	void routesConfirmed(long confirmedNanos) {
		this.routesConfirmed.confirmed(confirmedNanos);
	}

	/**
	 * Discards the confirmed time after a suspension of this VM: the staleness is unknown
	 * until the routes are confirmed again.
	 */
	void suspended(long nowNanos) {
		this.routesConfirmed.discardBefore(nowNanos);
	}

	/**
	 * Removes peers without a link.
	 */
	void retain(Collection<String> linked) {
		this.subscribers.retainAll(linked);
		this.peerStates.keySet().retainAll(linked);
	}

	void add(String peer) {
		this.subscribers.add(peer);
	}

	void remove(String peer) {
		this.subscribers.remove(peer);
	}

	void clear() {
		this.subscribers.clear();
	}

	boolean hasNoSubscribers() {
		return this.subscribers.isEmpty();
	}

	List<String> subscribers() {
		return List.copyOf(this.subscribers);
	}

	/**
	 * Returns whether a peer sends stamps, which a legacy peer does not.
	 */
	boolean sendsStamps(String peer) {
		return stateOf(peer).lastStamp.isPresent();
	}

	/**
	 * Records what a peer's request states of the peer: its stamp, taken from its clock,
	 * and whether it reads compressed objects.
	 */
	void recordStamp(String peer, NewsRequest request) {
		stateOf(peer).lastStamp = request.hasStamp() ? OptionalLong.of(request.getStamp()) : OptionalLong.empty();
		stateOf(peer).readsDeflated = request.getReadsDeflated();
	}

	/**
	 * Answers a keep-alive. If the peer is no longer subscribed, a sequence number is
	 * skipped, so that the peer detects a gap and subscribes again.
	 */
	void answerKeepAlive(String peer, News heartbeat) {
		if (!this.subscribers.contains(peer)) {
			stateOf(peer).lastSequence++;
		}
		send(peer, heartbeat);
	}

	/**
	 * Sends an update to all subscribers. Its objects are shared by all frames.
	 */
	void publish(News update) {
		subscribers().forEach((peer) -> send(peer, update));
	}

	/**
	 * Sends an update to one peer.
	 */
	void send(String peer, News update) {
		PeerState state = stateOf(peer);
		state.lastSequence++;
		News readable = state.readsDeflated ? update : StoreObjectContent.inflated(update);
		News.Builder numbered = readable.toBuilder().setSequence(state.lastSequence);
		state.lastStamp.ifPresent(numbered::setStamp);
		if (update.getCurrent()) {
			this.routesConfirmed.nanos().ifPresent((asOf) -> numbered.setAgeMillis(stalenessMillis(asOf)));
		}
		this.sender.accept(peer, Frame.newBuilder().setNews(numbered).build());
	}

	// Rounded up, so that the staleness is never understated.
	private long stalenessMillis(long confirmedNanos) {
		long nanos = Math.max(0, this.clock.getAsLong() - confirmedNanos);
		return Math.ceilDiv(nanos, TimeUnit.MILLISECONDS.toNanos(1));
	}

	private PeerState stateOf(String peer) {
		return this.peerStates.computeIfAbsent(peer, (name) -> new PeerState());
	}

	/** What was sent to a peer and received from it. */
	private static final class PeerState {

		private long lastSequence;

		// The last stamp received, from the peer's clock.
		private OptionalLong lastStamp = OptionalLong.empty();

		private boolean readsDeflated;

	}

}
