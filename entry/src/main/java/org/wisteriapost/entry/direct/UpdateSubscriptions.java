package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.News;
import org.wisteriapost.protocol.wire.NewsRequest;

/**
 * The subscriptions of this entry to store updates of other entries, and whether updates
 * are missing. Confined to the state thread.
 *
 * A full link drops frames. A dropped change would stay unknown until the object changes
 * again, while the heartbeats that follow report no fault, and valid requests would be
 * rejected by a stale route table. So frames are numbered; after a gap all kinds count as
 * not delivered, and the peer is asked again until they are. A full update of a kind
 * after the gap contains what was lost in it.
 *
 * On a slow link a large answer takes longer than any retry delay. If it was requested
 * again while in transit, each copy would be queued behind the one before, and the link
 * would stay full. Frames arrive in the order in which they were sent, and a peer sends
 * all parts of an answer at once. So a later frame that echoes the stamp of the request,
 * or of a later one, proves that the answer has passed, and so does a gap. Only then is
 * the request repeated. Until then keep-alive frames are sent, whose answers bring that
 * proof also if the request itself was lost.
 */
final class UpdateSubscriptions {

	private static final long RETRY_DELAY_NANOS = Duration.ofMillis(300).toNanos();

	// A legacy peer echoes no stamp. On a slow link its answer may take longer than the
	// first retry delay, and repeating the request at that rate would keep the link
	// full.
	private static final long MAX_RETRY_DELAY_NANOS = Duration.ofMillis(1200).toNanos();

	// A longer staleness is taken for an error.
	private static final long MAX_STALENESS_MILLIS = Duration.ofHours(1).toMillis();

	private final StoreReplica replica;

	private final ReplicatedKinds kinds;

	private final LongSupplier clock;

	private final DecisionLog log;

	private final Map<String, Subscription> subscriptions = new HashMap<>();

	/**
	 * Creates the subscriptions of one entry, without any.
	 * @param replica objects that peers need not send
	 */
	UpdateSubscriptions(StoreReplica replica, ReplicatedKinds kinds, LongSupplier clock, DecisionLog log) {
		this.replica = replica;
		this.kinds = kinds;
		this.clock = clock;
		this.log = log;
	}

	/**
	 * Returns the frame that subscribes to all updates of a peer. While an earlier
	 * subscription is incomplete, its retry delay continues, and while the answer is in
	 * transit only a keep-alive is returned.
	 */
	Frame subscribe(String peer) {
		Subscription open = this.subscriptions.get(peer);
		if (open == null || open.isComplete()) {
			Subscription created = new Subscription(this.kinds, this.clock.getAsLong());
			this.subscriptions.put(peer, created);
			return requestFrame(created);
		}
		open.lastActivityNanos = this.clock.getAsLong();
		return open.awaitsAnswer() ? keepAliveFrame(open) : requestFrame(open);
	}

	/**
	 * Removes the subscriptions to peers whose updates are no longer accepted.
	 */
	void retain(Predicate<String> accepted) {
		this.subscriptions.keySet().removeIf(accepted.negate());
	}

	/**
	 * Removes the subscription to a peer that reports that it is not current.
	 */
	void remove(String peer) {
		this.subscriptions.remove(peer);
	}

	/**
	 * Restarts the subscription to a peer with a new link: it may be a new process, which
	 * numbers its frames anew.
	 */
	void linkEstablished(String peer) {
		this.subscriptions.computeIfPresent(peer,
				(name, before) -> Subscription.restarted(this.kinds, this.clock.getAsLong()));
	}

	/**
	 * Records the sequence number and the stamp of a frame. A legacy peer sends neither.
	 */
	void recordFrame(String peer, News update) {
		Subscription subscription = subscription(peer);
		if (!update.getAll() && subscription.followsRequest(update)) {
			subscription.answerPassed(this.clock.getAsLong());
		}
		subscription.capability = (update.hasStamp() && update.getSequence() != 0) ? PeerCapability.ECHOES_STAMPS
				: PeerCapability.LEGACY;
		this.kinds.fromWire(update.getKind()).ifPresent(subscription.named::add);
		subscription.statesEpoch |= update.getEpoch() != ObjectStore.UNKNOWN_EPOCH;
		if (update.getSequence() != 0) {
			recordFrame(peer, subscription, update);
		}
	}

	// If the frame was sent before the last request arrived, the answer to that request
	// contains what is missing.
	private void recordFrame(String peer, Subscription subscription, News update) {
		long sequence = update.getSequence();
		if (subscription.lastSequence != 0 && sequence != subscription.lastSequence + 1) {
			this.log.failure("news-missed", "peer", peer, "frames",
					Math.max(0, sequence - subscription.lastSequence - 1));
			subscription.delivered.clear();
			subscription.framesMissed = true;
			subscription.answerPending &= !subscription.followsRequest(update);
		}
		subscription.lastSequence = sequence;
	}

	/**
	 * Records that all objects of a kind were received from a peer.
	 */
	void markDelivered(String peer, ObjectKind kind) {
		Subscription subscription = subscription(peer);
		subscription.delivered.add(kind);
		subscription.lastActivityNanos = this.clock.getAsLong();
		if (subscription.isComplete()) {
			subscription.retryDelayNanos = RETRY_DELAY_NANOS;
			subscription.requestsAll = false;
		}
	}

	/**
	 * Handles references to objects that are no longer known here: accepting the kind
	 * without them would leave routes and runners missing until they change. The peer is
	 * asked for everything, unless frames are missing since the last request: the objects
	 * came with those, and the peer does not know yet what is known here.
	 */
	void contentMissing(String peer, ObjectKind kind, News update) {
		this.log.failure("news-lacking", "peer", peer, "kind", kind);
		Subscription subscription = subscription(peer);
		subscription.requestsAll |= !subscription.framesMissed;
		subscription.notApplied(kind, update);
	}

	/**
	 * Handles an update of another epoch of the store than that of the objects known
	 * here, which cannot be applied to them. A peer that is behind sends everything once
	 * it has read the store again; one that is ahead is asked for everything.
	 */
	void otherEpochReceived(String peer, ObjectKind kind, News update) {
		this.log.failure("news-of-other-epoch", "peer", peer, "kind", kind, "epoch", update.getEpoch());
		subscription(peer).notApplied(kind, update);
	}

	/**
	 * Returns whether a peer that states no epoch has read the store again from an older
	 * copy: it reports all objects at a lower revision than before. Records the revision.
	 */
	boolean isRolledBack(String peer, ObjectKind kind, News update) {
		Long before = subscription(peer).lastRevisions.put(kind, update.getAt());
		return update.getEpoch() == ObjectStore.UNKNOWN_EPOCH && before != null && update.getAt() < before;
	}

	/**
	 * Handles a late listing that dropped objects which peers may have sent. Peers would
	 * not send them again until they change, and callers would be refused for lack of a
	 * runner. So all peers are asked again; their answers contain whatever is not known
	 * here.
	 */
	void objectsDropped(ObjectKind kind) {
		this.subscriptions.values()
			.stream()
			.filter((subscription) -> subscription.delivered.remove(kind))
			.forEach((subscription) -> subscription.retryNow(this.clock.getAsLong()));
	}

	/**
	 * Returns whether nothing is missing of a kind as sent by a peer.
	 */
	boolean hasAll(String peer, ObjectKind kind) {
		return this.subscriptions.containsKey(peer) && subscription(peer).delivered.contains(kind);
	}

	/**
	 * Returns whether nothing is missing of what a peer has sent.
	 */
	boolean isComplete(String peer) {
		return this.subscriptions.containsKey(peer) && subscription(peer).isComplete();
	}

	/**
	 * Returns the kinds that none of the complete peers sends; empty if no peer is
	 * complete. A peer of an older version does not tell when the store was restored from
	 * a copy, and may keep what is lost: all its kinds count as not sent.
	 * @param accepted whether the updates of a peer are accepted
	 * @param epochKnown whether the store states its epoch
	 */
	Optional<Set<ObjectKind>> kindsNotSent(Predicate<String> accepted, boolean epochKnown) {
		return this.subscriptions.entrySet()
			.stream()
			.filter((one) -> accepted.test(one.getKey()) && one.getValue().isComplete())
			.map((one) -> (epochKnown && !one.getValue().statesEpoch) ? Set.copyOf(this.kinds.inAnswerOrder())
					: this.kinds.notSent(one.getValue().named))
			.min(Comparator.comparingInt(Set::size));
	}

	/**
	 * Returns the time as of which the store's routes are known here by an update of a
	 * peer; empty if the update has no staleness or something before it is missing.
	 *
	 * The stamp was taken here before the peer computed its staleness, so the transit
	 * time makes the routes seem staler, never fresher.
	 */
	OptionalLong routesConfirmedNanos(String peer, News update) {
		Subscription subscription = subscription(peer);
		boolean hasStaleness = update.hasStamp() && update.hasAgeMillis() && update.getAgeMillis() >= 0
				&& update.getAgeMillis() <= MAX_STALENESS_MILLIS;
		if (!hasStaleness || !subscription.isOwnStamp(update.getStamp())
				|| !subscription.delivered.contains(ObjectKind.ROUTES)) {
			return OptionalLong.empty();
		}
		subscription.confirm(update.getStamp() - TimeUnit.MILLISECONDS.toNanos(update.getAgeMillis()));
		return subscription.confirmedNanos;
	}

	/**
	 * Returns the latest confirmed time that was returned for a peer since the
	 * subscription.
	 */
	OptionalLong routesConfirmedNanos(String peer) {
		return Optional.ofNullable(this.subscriptions.get(peer))
			.map((subscription) -> subscription.confirmedNanos)
			.orElse(OptionalLong.empty());
	}

	/**
	 * Returns a frame that keeps the subscription alive; empty for a legacy peer that
	 * does not number its frames and would answer with everything.
	 */
	Optional<Frame> keepAlive(String peer) {
		Subscription subscription = subscription(peer);
		if (subscription.lastSequence == 0) {
			return Optional.empty();
		}
		return Optional.of(keepAliveFrame(subscription));
	}

	/**
	 * Returns the peers with a subscription.
	 */
	Collection<String> peers() {
		return List.copyOf(this.subscriptions.keySet());
	}

	/**
	 * Returns the frame that repeats the request if something is missing that is not in
	 * transit and the retry delay is over.
	 */
	Optional<Frame> retry(String peer) {
		Subscription subscription = subscription(peer);
		long now = this.clock.getAsLong();
		// A peer that has answered gets periodic keep-alives anyway.
		boolean keptAlive = subscription.awaitsAnswer() && subscription.capability != PeerCapability.UNKNOWN;
		if (subscription.isComplete() || keptAlive
				|| now - subscription.lastActivityNanos < subscription.retryDelayNanos) {
			return Optional.empty();
		}
		subscription.lastActivityNanos = now;
		subscription.retryDelayNanos = Math.min(MAX_RETRY_DELAY_NANOS, subscription.retryDelayNanos * 2);
		if (subscription.awaitsAnswer()) {
			return Optional.of(keepAliveFrame(subscription));
		}
		this.log.decision("news-asked-again", "peer", peer, "missing", subscription.missingKinds());
		return Optional.of(requestFrame(subscription));
	}

	// The peer answers with one heartbeat, which arrives after all that it sent before.
	private Frame keepAliveFrame(Subscription subscription) {
		return requestFrame(subscription, NewsRequest.newBuilder().setKeepAlive(true));
	}

	private Frame requestFrame(Subscription subscription) {
		NewsRequest.Builder request = NewsRequest.newBuilder();
		subscription.framesMissed = false;
		if (!subscription.requestsAll) {
			request.addAllKnown(this.replica.revisions());
		}
		Frame frame = requestFrame(subscription, request);
		subscription.requestNanos = subscription.lastStampNanos;
		subscription.answerPending = true;
		return frame;
	}

	private Frame requestFrame(Subscription subscription, NewsRequest.Builder request) {
		subscription.lastStampNanos = OptionalLong.of(this.clock.getAsLong());
		request.setWanted(true).setReadsDeflated(true).setStamp(subscription.lastStampNanos.getAsLong());
		return Frame.newBuilder().setNewsRequest(request).build();
	}

	// A peer may be accepted again after its subscription was removed; it is asked
	// then.
	private Subscription subscription(String peer) {
		return this.subscriptions.computeIfAbsent(peer, (name) -> new Subscription(this.kinds, this.clock.getAsLong()));
	}

	/** What was received from one peer since the first request. */
	private static final class Subscription {

		private final ReplicatedKinds kinds;

		private final Set<ObjectKind> delivered = EnumSet.noneOf(ObjectKind.class);

		// The kinds that frames of the peer have named.
		private final Set<ObjectKind> named = EnumSet.noneOf(ObjectKind.class);

		private final Map<ObjectKind, Long> lastRevisions = new EnumMap<>(ObjectKind.class);

		private boolean statesEpoch;

		private final long startNanos;

		private OptionalLong lastStampNanos = OptionalLong.empty();

		// The stamp of the last request for objects.
		private OptionalLong requestNanos = OptionalLong.empty();

		// Whether it is not proven yet that the answer to that request has passed.
		private boolean answerPending;

		private PeerCapability capability = PeerCapability.UNKNOWN;

		private long lastSequence;

		// When a request was last sent or a part of an answer last received.
		private long lastActivityNanos;

		private long retryDelayNanos = RETRY_DELAY_NANOS;

		// Whether frames are missing since the last request.
		private boolean framesMissed;

		private boolean requestsAll;

		private OptionalLong confirmedNanos = OptionalLong.empty();

		private Subscription(ReplicatedKinds kinds, long nowNanos) {
			this.kinds = kinds;
			this.startNanos = nowNanos;
			this.lastActivityNanos = nowNanos;
		}

		private void confirm(long nanos) {
			if (this.confirmedNanos.isEmpty() || nanos - this.confirmedNanos.getAsLong() > 0) {
				this.confirmedNanos = OptionalLong.of(nanos);
			}
		}

		private static Subscription restarted(ReplicatedKinds kinds, long nowNanos) {
			Subscription restarted = new Subscription(kinds, nowNanos);
			restarted.retryNow(nowNanos);
			return restarted;
		}

		private void notApplied(ObjectKind kind, News update) {
			this.delivered.remove(kind);
			this.answerPending &= !followsRequest(update);
		}

		// Makes a request due at once, or as soon as an answer in transit has passed.
		private void retryNow(long nowNanos) {
			this.lastActivityNanos = nowNanos - this.retryDelayNanos;
		}

		// Whether this entry sent the stamp in this subscription. A stamp of an earlier
		// process of this name refers to another clock.
		private boolean isOwnStamp(long stamp) {
			return this.lastStampNanos.isPresent() && stamp - this.startNanos >= 0
					&& this.lastStampNanos.getAsLong() - stamp >= 0;
		}

		// Whether a frame was sent after the last request had arrived. A frame without
		// a stamp proves nothing.
		private boolean followsRequest(News update) {
			return update.hasStamp() && isOwnStamp(update.getStamp()) && this.requestNanos.isPresent()
					&& update.getStamp() - this.requestNanos.getAsLong() >= 0;
		}

		// If nothing was received before the proof, the request or the whole answer was
		// lost. It is repeated at once: one more request cannot fill the link, and
		// after the retry delay it would come too late for an entry that is about to
		// become a follower and would read the store itself.
		private void answerPassed(long nowNanos) {
			if (this.answerPending && this.capability == PeerCapability.UNKNOWN) {
				this.lastActivityNanos = nowNanos - this.retryDelayNanos;
			}
			this.answerPending = false;
		}

		private boolean awaitsAnswer() {
			return this.answerPending && this.capability != PeerCapability.LEGACY;
		}

		private boolean isComplete() {
			return this.delivered.containsAll(this.kinds.expectedFrom(this.named));
		}

		private List<ObjectKind> missingKinds() {
			List<ObjectKind> missing = new ArrayList<>(this.kinds.expectedFrom(this.named));
			missing.removeAll(this.delivered);
			return missing;
		}

	}

}
