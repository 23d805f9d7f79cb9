package org.wisteriapost.entry.direct;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.fleet.LinkedEntry;
import org.wisteriapost.policy.fleet.StoreRole;
import org.wisteriapost.policy.fleet.UpstreamSelector;
import org.wisteriapost.policy.routing.LastConfirmedTime;
import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.News;
import org.wisteriapost.protocol.wire.NewsRequest;

/**
 * Replicates the site's store between entries. Sends updates to entries that do not read
 * the store, because it does not answer them or because this entry is their leader, and
 * receives updates while this entry does not read it. Confined to the state thread.
 */
final class StoreReplication {

	// Half a second: subscribers take longer silence for a failure.
	private static final int TICKS_PER_HEARTBEAT = 5;

	private final ReplicatedKinds kinds;

	private final StoreReplica replica;

	private final UpdateSubscriptions subscriptions;

	private final ReplicaUpdates replicaUpdates;

	private final UpdatePublisher publisher;

	private final BiConsumer<String, Frame> sender;

	private final LongSupplier clock;

	private final DecisionLog log;

	private final UpstreamSelector upstream;

	private final StoreRole storeRole;

	private final LastConfirmedTime lastConfirmed = new LastConfirmedTime();

	// Peers that send updates which are not accepted here, since the notice that ended
	// the subscription was lost with a link. Without another notice they would send for
	// ever and never become followers. It is repeated once a tick until it arrives.
	private final Set<String> unsolicited = new HashSet<>();

	private List<LinkedEntry> linkedEntries = List.of();

	private long tickNanos;

	private boolean storeAnswers;

	// Also while this entry is a follower that reads some kinds itself.
	private boolean ownReadsAnswered;

	private int ticks;

	/**
	 * Creates the replication of one entry.
	 * @param storeRole the role of this entry, which decides whose updates it accepts
	 * @param upstream selects the entry to ask while the store does not answer
	 * @param kinds the kinds of objects that the site uses
	 * @param sender sends a frame to an entry by name
	 */
	StoreReplication(ObjectStore store, StoreRole storeRole, UpstreamSelector upstream, Set<ObjectKind> kinds,
			BiConsumer<String, Frame> sender, LongSupplier clock, DecisionLog log) {
		this.kinds = new ReplicatedKinds(kinds);
		this.replica = new StoreReplica(store, this.kinds);
		this.subscriptions = new UpdateSubscriptions(this.replica, this.kinds, clock, log);
		this.replicaUpdates = new ReplicaUpdates(this.replica, this.subscriptions);
		this.publisher = new UpdatePublisher(sender, clock);
		this.storeRole = storeRole;
		this.upstream = upstream;
		this.sender = sender;
		this.clock = clock;
		this.log = log;
	}

	// Reads of the store.

	/**
	 * Records the store's epoch to which this entry's next reads of a kind belong.
	 */
	void epochRead(ObjectKind kind, long epoch) {
		this.replica.epochRead(kind, epoch);
	}

	/**
	 * Returns whether this entry's reads of a kind belong to an earlier epoch of the
	 * store than the given one.
	 */
	boolean readsBefore(ObjectKind kind, long epoch) {
		return this.replica.readEpoch(kind) < epoch;
	}

	/**
	 * Applies a listing of a kind and returns whether it belongs to the latest known
	 * epoch.
	 * @param revision the store's revision at the listing
	 */
	boolean applyFromStore(ObjectKind kind, List<ObjectStore.Item> all, long revision) {
		long epoch = this.replica.readEpoch(kind);
		if (this.replica.isOutdated(kind, epoch)) {
			this.log.failure("outdated-read", "kind", kind, "epoch", epoch);
			return false;
		}
		boolean restored = this.replica.isLater(kind, epoch);
		boolean revisionsReused = restored || (epoch == ObjectStore.UNKNOWN_EPOCH && revision < knownRevision(kind));
		Map<String, Long> before = revisionsReused ? Map.of() : this.replica.revisions(kind);
		if (restored) {
			this.replica.setEpoch(kind, epoch);
		}
		if (this.replica.applyFromStore(kind, all, revision) && !restored) {
			this.subscriptions.objectsDropped(kind);
		}
		this.publisher.subscribers()
			.forEach((peer) -> this.publisher.send(peer, fullUpdate(kind, revisionsHeldBy(peer, before))));
		return true;
	}

	// A subscriber has received what was known here before, and requests what it has
	// missed. Only a legacy subscriber does not.
	private Map<String, Long> revisionsHeldBy(String peer, Map<String, Long> revisions) {
		return this.publisher.sendsStamps(peer) ? revisions : Map.of();
	}

	/**
	 * Applies a change and returns whether it is newer than what is known.
	 */
	boolean applyFromStore(ObjectKind kind, ObjectStore.Change change) {
		if (this.replica.isOutdated(kind, this.replica.readEpoch(kind)) || !this.replica.applyFromStore(kind, change)) {
			return false;
		}
		publish(() -> News.newBuilder()
			.setCurrent(true)
			.setKind(ReplicatedKinds.toWire(kind))
			.setEpoch(this.replica.epoch(kind))
			.addObjects(this.replica.toWire(kind, change))
			.build());
		return true;
	}

	/**
	 * Records the time as of which the store's routes are known, by this process's
	 * monotonic clock.
	 */
	void routesConfirmed(long confirmedNanos) {
		this.publisher.routesConfirmed(confirmedNanos);
		this.lastConfirmed.confirmed(confirmedNanos);
	}

	/**
	 * Returns the store's revision up to which the objects of a kind are known.
	 */
	long knownRevision(ObjectKind kind) {
		return this.replica.knownRevision(kind);
	}

	/**
	 * Returns the store's epoch to which the objects of a kind belong, or
	 * {@link ObjectStore#UNKNOWN_EPOCH}.
	 */
	long epoch(ObjectKind kind) {
		return this.replica.epoch(kind);
	}

	/**
	 * Returns the latest time as of which the store's routes are known here, from this
	 * entry's reads or from peers.
	 */
	OptionalLong routesConfirmedNanos() {
		return this.lastConfirmed.nanos();
	}

	/**
	 * Returns the latest time as of which the routes of a peer are confirmed.
	 */
	OptionalLong routesConfirmedNanos(String peer) {
		return this.subscriptions.routesConfirmedNanos(peer);
	}

	/**
	 * Handles a suspension of this VM.
	 */
	void suspended(long nowNanos) {
		this.publisher.suspended(nowNanos);
		this.lastConfirmed.discardBefore(nowNanos);
	}

	/**
	 * Ends reading the store. Entries that have subscribed in the meantime are notified:
	 * heartbeats alone would keep them on stale state. The result of this entry's last
	 * call to the store is discarded, since after a failure it would subscribe to an
	 * upstream besides its leader.
	 */
	void stopReading() {
		this.storeAnswers = false;
		this.upstream.storeReachabilityChanged(true).ifPresent(this::unsubscribeUnlessAccepted);
		dismissSubscribers();
	}

	/**
	 * Returns whether the store answers this entry and no other entry depends on its
	 * reading.
	 */
	boolean mayStopReading() {
		return this.storeAnswers && this.publisher.hasNoSubscribers();
	}

	/**
	 * Records whether the store answers this entry. Ignored while it is a follower: the
	 * result of a call from before would make it request everything from other entries,
	 * or report that it reads, until it reads again.
	 */
	void storeReachable(boolean reachable) {
		this.ownReadsAnswered = reachable;
		if (this.storeRole.isFollower()) {
			return;
		}
		this.storeAnswers = reachable;
		this.upstream.storeReachabilityChanged(reachable).ifPresent(this::unsubscribeUnlessAccepted);
		if (!reachable) {
			dismissSubscribers();
		}
	}

	/**
	 * Notifies all subscribers that this entry may be stale, and removes them.
	 */
	void dismissSubscribers() {
		publish(() -> News.newBuilder().setCurrent(false).build());
		this.publisher.clear();
	}

	boolean hasSubscribers() {
		return !this.publisher.hasNoSubscribers();
	}

	// Messages from and to other entries.

	/**
	 * Subscribes, retries and sends heartbeats as they are due. Called every 100 ms.
	 * @param linked the linked entries
	 */
	void tick(Collection<LinkedEntry> linked, long nowNanos) {
		this.linkedEntries = List.copyOf(linked);
		this.tickNanos = nowNanos;
		this.publisher.retain(linked.stream().map(LinkedEntry::name).collect(Collectors.toSet()));
		this.ticks++;
		if (this.ticks % TICKS_PER_HEARTBEAT == 0) {
			publish(this.kinds::heartbeat);
		}
		List.copyOf(this.unsolicited).forEach(this::unsubscribeUnlessAccepted);
		this.unsolicited.clear();
		execute(this.upstream.tick(linked, nowNanos));
		// After the upstream was selected, so that only accepted peers are asked again.
		this.subscriptions
			.retain((peer) -> this.storeRole.acceptsUpdatesFrom(peer) || this.upstream.acceptsUpdatesFrom(peer));
		this.subscriptions.peers().forEach(this::retry);
		if (this.ticks % TICKS_PER_HEARTBEAT == 0) {
			this.subscriptions.peers()
				.forEach((peer) -> this.subscriptions.keepAlive(peer)
					.ifPresent((frame) -> this.sender.accept(peer, frame)));
		}
	}

	/**
	 * Handles a new link to another entry.
	 */
	void linkEstablished(String peer) {
		this.subscriptions.linkEstablished(peer);
	}

	/**
	 * Returns the frame that subscribes to a peer's updates.
	 */
	Frame subscribe(String peer) {
		return this.subscriptions.subscribe(peer);
	}

	/**
	 * Returns whether nothing is missing of what a peer has sent.
	 */
	boolean isComplete(String peer) {
		return this.subscriptions.isComplete(peer);
	}

	/**
	 * Returns the kinds that a follower must read itself; empty while that is not known.
	 */
	Optional<Set<ObjectKind>> kindsNotSent() {
		boolean epochKnown = this.kinds.inAnswerOrder()
			.stream()
			.anyMatch((kind) -> epoch(kind) != ObjectStore.UNKNOWN_EPOCH);
		return this.subscriptions.kindsNotSent(this.storeRole::acceptsUpdatesFrom, epochKnown);
	}

	/**
	 * Ends the subscription to a peer, unless its updates are accepted. Its state is
	 * removed, since the peer sends no more; a later subscription starts anew.
	 */
	void unsubscribeUnlessAccepted(String peer) {
		if (!this.storeRole.acceptsUpdatesFrom(peer) && !this.upstream.acceptsUpdatesFrom(peer)) {
			this.subscriptions.remove(peer);
			this.sender.accept(peer, unsubscribeFrame());
		}
	}

	private void execute(List<UpstreamSelector.Step> steps) {
		for (UpstreamSelector.Step step : steps) {
			switch (step) {
				case UpstreamSelector.Step.Ask ask -> {
					this.log.decision("store-through-entry", "entry", ask.entry());
					this.sender.accept(ask.entry(), subscribe(ask.entry()));
				}
				case UpstreamSelector.Step.Dismiss dismiss -> unsubscribeUnlessAccepted(dismiss.entry());
			}
		}
	}

	/**
	 * Handles a peer's request to subscribe, to keep its subscription alive or to end it.
	 */
	void requestReceived(String peer, NewsRequest request) {
		if (!request.getWanted()) {
			this.publisher.remove(peer);
			return;
		}
		this.publisher.recordStamp(peer, request);
		if (!this.storeAnswers) {
			this.publisher.send(peer, notCurrentUpdate());
			return;
		}
		if (request.getKeepAlive()) {
			this.publisher.answerKeepAlive(peer, this.kinds.heartbeat());
			return;
		}
		this.publisher.add(peer);
		Map<ObjectKind, Map<String, Long>> held = this.kinds.revisionsHeld(request, this::epoch);
		for (ObjectKind kind : this.kinds.inAnswerOrder()) {
			this.publisher.send(peer, fullUpdate(kind, held.getOrDefault(kind, Map.of())));
		}
	}

	// Tells how recently the leader was heard here. A peer that alone has lost the
	// leader would otherwise wait for this entry to read the store.
	private News notCurrentUpdate() {
		News.Builder news = News.newBuilder().setCurrent(false);
		this.storeRole.millisSinceLeaderHeard(this.clock.getAsLong()).ifPresent(news::setHeardAgoMillis);
		return news.build();
	}

	/**
	 * Applies an update of a peer and returns the changes as if they were read from the
	 * store.
	 */
	List<DirectEvent> updateReceived(String peer, News update) {
		if (!accepts(peer, update)) {
			this.subscriptions.remove(peer);
			return List.of();
		}
		this.subscriptions.recordFrame(peer, update);
		List<DirectEvent> changes = this.kinds.fromWire(update.getKind())
			.filter((kind) -> !ReplicatedKinds.isHeartbeat(update))
			.map((kind) -> applyUpdate(peer, kind, update))
			.orElse(List.of());
		this.subscriptions.routesConfirmedNanos(peer, update).ifPresent(this.lastConfirmed::confirmed);
		retry(peer);
		return changes;
	}

	private void retry(String peer) {
		this.subscriptions.retry(peer).ifPresent((frame) -> this.sender.accept(peer, frame));
	}

	private List<DirectEvent> applyUpdate(String peer, ObjectKind kind, News update) {
		if (this.upstream.acceptsUpdatesFrom(peer)) {
			this.upstream.answerReceived(true, this.tickNanos);
		}
		return this.replicaUpdates.apply(peer, kind, update, this.ownReadsAnswered);
	}

	private boolean accepts(String peer, News update) {
		if (this.storeRole.acceptsUpdatesFrom(peer)) {
			return update.getCurrent();
		}
		if (!this.upstream.acceptsUpdatesFrom(peer)) {
			if (update.getCurrent()) {
				this.unsolicited.add(peer);
			}
			return false;
		}
		if (!update.getCurrent()) {
			this.upstream.answerReceived(false, this.tickNanos);
			execute(this.upstream.tick(this.linkedEntries, this.tickNanos));
			return false;
		}
		this.upstream.heartbeatReceived(this.tickNanos);
		return true;
	}

	private void publish(Supplier<News> update) {
		if (!this.publisher.hasNoSubscribers()) {
			this.publisher.publish(update.get());
		}
	}

	private News fullUpdate(ObjectKind kind, Map<String, Long> held) {
		return News.newBuilder()
			.setCurrent(true)
			.setAll(true)
			.setKind(ReplicatedKinds.toWire(kind))
			.setEpoch(this.replica.epoch(kind))
			.setAt(this.replica.knownRevision(kind))
			.addAllObjects(this.replica.toWire(kind, held))
			.build();
	}

	/**
	 * Returns the frame that ends a subscription.
	 */
	static Frame unsubscribeFrame() {
		return Frame.newBuilder().setNewsRequest(NewsRequest.newBuilder().setWanted(false)).build();
	}

}
