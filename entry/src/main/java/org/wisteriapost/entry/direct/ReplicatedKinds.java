package org.wisteriapost.entry.direct;

import java.util.Collection;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;

import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.wire.KnownKind;
import org.wisteriapost.protocol.wire.News;
import org.wisteriapost.protocol.wire.NewsRequest;
import org.wisteriapost.protocol.wire.StoreKind;

/**
 * The kinds of objects that entries of a site send each other.
 *
 * An entry of an older version, or whose settings have no evacuations, never sends
 * {@link ObjectKind#EVACUATIONS} and ignores frames of it. So that its silence is told
 * from a lost frame, an entry that sends the kind names it in each of its heartbeats.
 */
final class ReplicatedKinds {

	// Evacuations are few, and a receiver that knows the runners must know them too.
	// Large kinds come last: on a slow link small ones would wait behind the route
	// table, and callers would find no runner until it has arrived.
	private static final List<ObjectKind> ANSWER_ORDER = List.of(ObjectKind.EVACUATIONS, ObjectKind.RUNNERS,
			ObjectKind.ENTRIES, ObjectKind.WEIGHTS, ObjectKind.ROUTES);

	private final Set<ObjectKind> inUse = EnumSet.noneOf(ObjectKind.class);

	// The kinds in use that entries of all versions send.
	private final Set<ObjectKind> sentByAll;

	private final List<ObjectKind> answerOrder;

	private final News heartbeat;

	/**
	 * Creates the kinds of one entry.
	 * @param inUse the kinds that it reads
	 */
	ReplicatedKinds(Set<ObjectKind> inUse) {
		this.inUse.addAll(inUse);
		this.sentByAll = EnumSet.copyOf(this.inUse);
		this.sentByAll.remove(ObjectKind.EVACUATIONS);
		this.answerOrder = ANSWER_ORDER.stream().filter(inUse::contains).toList();
		News.Builder alive = News.newBuilder().setCurrent(true);
		this.heartbeat = (inUse.contains(ObjectKind.EVACUATIONS) ? alive.setKind(StoreKind.STORE_EVACUATIONS) : alive)
			.build();
	}

	/**
	 * Returns the kinds that this entry reads, in the order in which they are sent.
	 */
	List<ObjectKind> inAnswerOrder() {
		return this.answerOrder;
	}

	/**
	 * Returns a heartbeat of an entry that the store answers.
	 */
	News heartbeat() {
		return this.heartbeat;
	}

	/**
	 * Returns whether an update of a peer contains no objects and is not the full update
	 * of a kind without objects.
	 */
	static boolean isHeartbeat(News update) {
		return !update.getAll() && update.getObjectsCount() == 0;
	}

	/**
	 * Returns the kinds that a peer must have sent for its state to be complete here.
	 * @param named the kinds that it has named since the first request
	 */
	Set<ObjectKind> expectedFrom(Collection<ObjectKind> named) {
		return named.contains(ObjectKind.EVACUATIONS) ? this.inUse : this.sentByAll;
	}

	/**
	 * Returns the kinds in use that a peer does not send.
	 * @param named the kinds that it has named since the first request
	 */
	Set<ObjectKind> notSent(Collection<ObjectKind> named) {
		Set<ObjectKind> notSent = EnumSet.copyOf(this.inUse);
		notSent.removeAll(expectedFrom(named));
		return notSent;
	}

	/**
	 * Returns the kind that a peer means, if it is in use here.
	 */
	Optional<ObjectKind> fromWire(StoreKind kind) {
		Optional<ObjectKind> known = switch (kind) {
			case STORE_ROUTES -> Optional.of(ObjectKind.ROUTES);
			case STORE_RUNNERS -> Optional.of(ObjectKind.RUNNERS);
			case STORE_WEIGHTS -> Optional.of(ObjectKind.WEIGHTS);
			case STORE_ENTRIES -> Optional.of(ObjectKind.ENTRIES);
			case STORE_EVACUATIONS -> Optional.of(ObjectKind.EVACUATIONS);
			case STORE_KIND_UNSPECIFIED, UNRECOGNIZED -> Optional.empty();
		};
		return known.filter(this.inUse::contains);
	}

	static StoreKind toWire(ObjectKind kind) {
		return switch (kind) {
			case ROUTES -> StoreKind.STORE_ROUTES;
			case RUNNERS -> StoreKind.STORE_RUNNERS;
			case WEIGHTS -> StoreKind.STORE_WEIGHTS;
			case ENTRIES -> StoreKind.STORE_ENTRIES;
			case EVACUATIONS -> StoreKind.STORE_EVACUATIONS;
		};
	}

	/**
	 * Returns the revisions that a peer has, by kind and name. Those of another epoch may
	 * stand for other contents.
	 * @param epochs the store's epoch of each kind here
	 */
	Map<ObjectKind, Map<String, Long>> revisionsHeld(NewsRequest request, ToLongFunction<ObjectKind> epochs) {
		Map<ObjectKind, Map<String, Long>> held = new EnumMap<>(ObjectKind.class);
		for (KnownKind known : request.getKnownList()) {
			Map<String, Long> revisions = new HashMap<>();
			known.getObjectsList().forEach((object) -> revisions.put(object.getName(), object.getRevision()));
			fromWire(known.getKind()).filter((kind) -> known.getEpoch() == epochs.applyAsLong(kind))
				.ifPresent((kind) -> held.put(kind, revisions));
		}
		return held;
	}

	/**
	 * Returns the latest epoch of the store that a peer names.
	 */
	static long latestEpoch(NewsRequest request) {
		return request.getKnownList().stream().mapToLong(KnownKind::getEpoch).max().orElse(ObjectStore.UNKNOWN_EPOCH);
	}

}
