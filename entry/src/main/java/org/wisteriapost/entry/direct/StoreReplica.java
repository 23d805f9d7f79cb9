package org.wisteriapost.entry.direct;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.wire.KnownKind;
import org.wisteriapost.protocol.wire.KnownObject;
import org.wisteriapost.protocol.wire.StoreObject;

/**
 * This entry's replica of the site's store, from its own reads and from other entries.
 * Confined to the state thread.
 *
 * An update from another entry is applied only if its revision is higher than the known
 * one, and a removed object stays removed until the store has changed it again: the other
 * entry may be behind what this one has read itself.
 *
 * Revisions are compared only within one epoch of the store, as a store that was restored
 * from a copy gives them out again. All objects of a kind belong to the same epoch; only
 * a listing or a full update begins a later one.
 */
final class StoreReplica {

	private final ObjectStore store;

	private final Map<ObjectKind, Map<String, ObjectStore.Item>> objects = new EnumMap<>(ObjectKind.class);

	private final Map<ObjectKind, Map<String, Long>> removed = new EnumMap<>(ObjectKind.class);

	// Encoded objects, shared by the frames to all subscribers.
	private final Map<ObjectKind, Map<String, StoreObject>> encoded = new EnumMap<>(ObjectKind.class);

	// The store's revision up to which the objects of a kind are known.
	private final Map<ObjectKind, Long> knownRevision = new EnumMap<>(ObjectKind.class);

	// The store's epoch to which the objects of a kind belong.
	private final Map<ObjectKind, Long> epochs = new EnumMap<>(ObjectKind.class);

	// The store's epoch to which this entry's own reads of a kind belong.
	private final Map<ObjectKind, Long> readEpochs = new EnumMap<>(ObjectKind.class);

	/**
	 * Creates an empty replica.
	 * @param kinds the kinds of objects that it holds
	 */
	StoreReplica(ObjectStore store, ReplicatedKinds kinds) {
		this.store = store;
		for (ObjectKind kind : kinds.inAnswerOrder()) {
			this.objects.put(kind, new LinkedHashMap<>());
			this.removed.put(kind, new LinkedHashMap<>());
			this.encoded.put(kind, new HashMap<>());
		}
	}

	List<ObjectStore.Item> items(ObjectKind kind) {
		return List.copyOf(this.objects.get(kind).values());
	}

	/**
	 * Returns the store's revision up to which the objects of a kind are known.
	 */
	long knownRevision(ObjectKind kind) {
		return this.knownRevision.getOrDefault(kind, 0L);
	}

	/**
	 * Returns the store's epoch to which the objects of a kind belong, or
	 * {@link ObjectStore#UNKNOWN_EPOCH}.
	 */
	long epoch(ObjectKind kind) {
		return this.epochs.getOrDefault(kind, ObjectStore.UNKNOWN_EPOCH);
	}

	/**
	 * Records the store's epoch to which this entry's next reads of a kind belong.
	 */
	void epochRead(ObjectKind kind, long epoch) {
		this.readEpochs.put(kind, epoch);
	}

	long readEpoch(ObjectKind kind) {
		return this.readEpochs.getOrDefault(kind, ObjectStore.UNKNOWN_EPOCH);
	}

	/**
	 * Returns whether an epoch is earlier than that of the objects of a kind.
	 */
	boolean isOutdated(ObjectKind kind, long epoch) {
		return epoch != ObjectStore.UNKNOWN_EPOCH && epoch < epoch(kind);
	}

	/**
	 * Returns whether an epoch is later than that of the objects of a kind.
	 */
	boolean isLater(ObjectKind kind, long epoch) {
		return epoch > epoch(kind);
	}

	/**
	 * Sets the epoch to which the objects of a kind belong from now on.
	 */
	void setEpoch(ObjectKind kind, long epoch) {
		this.epochs.put(kind, epoch);
	}

	/**
	 * Records that the objects of a kind are known up to a revision of the store.
	 */
	void advanceRevision(ObjectKind kind, long revision) {
		this.knownRevision.merge(kind, revision, Math::max);
	}

	/**
	 * Replaces all objects of a kind by a listing of the store. Returns whether a newer
	 * object or removal was known that the listing lacks: it may have been received after
	 * the listing was read, or the store was restored from an older copy.
	 * @param revision the store's revision at the listing
	 */
	boolean applyFromStore(ObjectKind kind, List<ObjectStore.Item> all, long revision) {
		this.knownRevision.put(kind, revision);
		Map<String, ObjectStore.Item> known = this.objects.get(kind);
		Map<String, Long> listed = all.stream()
			.collect(Collectors.toMap(ObjectStore.Item::name, ObjectStore.Item::revision, Math::max));
		boolean dropsNewer = known.values()
			.stream()
			.anyMatch((item) -> item.revision() > Math.max(revision, listed.getOrDefault(item.name(), -1L)))
				|| listed.entrySet()
					.stream()
					.anyMatch((one) -> removalRevision(kind, one.getKey()) > Math.max(revision, one.getValue()));
		known.clear();
		this.removed.get(kind).clear();
		all.forEach((item) -> known.put(item.name(), item));
		this.encoded.get(kind).clear();
		return dropsNewer;
	}

	/**
	 * Replaces all objects of a kind by a full update of another entry, whatever their
	 * revisions.
	 */
	void replaceFromPeer(ObjectKind kind, List<StoreObject> all, long revision) {
		List<ObjectStore.Item> items = all.stream().flatMap((object) -> decode(kind, object).stream()).toList();
		applyFromStore(kind, items, revision);
	}

	/**
	 * Applies a change read from the store and returns whether it is newer than what is
	 * known.
	 */
	boolean applyFromStore(ObjectKind kind, ObjectStore.Change change) {
		ObjectStore.Item known = this.objects.get(kind).get(change.item().name());
		if (known != null && known.revision() > change.item().revision()) {
			return false;
		}
		apply(kind, change);
		advanceRevision(kind, change.item().revision());
		return true;
	}

	/**
	 * Applies an object received from another entry. Returns empty if it is not newer
	 * than what is known.
	 */
	Optional<ObjectStore.Change> applyFromPeer(ObjectKind kind, StoreObject object) {
		if (object.getKnown() || !isNewer(kind, object)) {
			return Optional.empty();
		}
		Optional<ObjectStore.Change> change = decode(kind, object)
			.map((item) -> new ObjectStore.Change(item, object.getDeleted()));
		change.ifPresent((one) -> apply(kind, one));
		return change;
	}

	private Optional<ObjectStore.Item> decode(ObjectKind kind, StoreObject object) {
		return StoreObjectContent.read(object).flatMap((content) -> this.store.decode(kind, content));
	}

	/**
	 * Removes the objects of a kind that another entry's full update does not list,
	 * unless they were created after that entry's read: an object that was removed by
	 * mistake would be missing until it changes again.
	 * @param revision the store's revision up to which that entry has read
	 */
	void removeUnlisted(ObjectKind kind, Set<String> listed, long revision) {
		items(kind).stream()
			.filter((item) -> !listed.contains(item.name()) && item.revision() <= revision)
			.forEach((item) -> apply(kind, new ObjectStore.Change(item, true)));
	}

	/**
	 * Returns whether all objects that a peer sent without content are known here.
	 */
	boolean hasReferenced(ObjectKind kind, List<StoreObject> received) {
		return received.stream().filter(StoreObject::getKnown).allMatch((object) -> hasReferenced(kind, object));
	}

	/**
	 * Returns the revisions of the objects of a kind by name.
	 */
	Map<String, Long> revisions(ObjectKind kind) {
		Map<String, Long> revisions = new HashMap<>();
		this.objects.get(kind).values().forEach((item) -> revisions.put(item.name(), item.revision()));
		return revisions;
	}

	/**
	 * Returns the names and revisions of all objects.
	 */
	List<KnownKind> revisions() {
		List<KnownKind> revisions = new ArrayList<>();
		this.objects.forEach((kind, all) -> {
			KnownKind.Builder one = KnownKind.newBuilder().setKind(ReplicatedKinds.toWire(kind)).setEpoch(epoch(kind));
			all.values()
				.forEach((item) -> one
					.addObjects(KnownObject.newBuilder().setName(item.name()).setRevision(item.revision())));
			revisions.add(one.build());
		});
		return revisions;
	}

	/**
	 * Encodes all objects of a kind.
	 * @param held the revisions that the receiver has, by name; these are sent without
	 * content
	 */
	List<StoreObject> toWire(ObjectKind kind, Map<String, Long> held) {
		return items(kind).stream()
			.map((item) -> (held.getOrDefault(item.name(), -1L) >= item.revision()) ? reference(item)
					: toWire(kind, item))
			.toList();
	}

	/**
	 * Encodes a change.
	 */
	StoreObject toWire(ObjectKind kind, ObjectStore.Change change) {
		return change.deleted() ? toWire(change.item()).setDeleted(true).build() : toWire(kind, change.item());
	}

	private StoreObject toWire(ObjectKind kind, ObjectStore.Item item) {
		return this.encoded.get(kind)
			.compute(item.name(), (name, before) -> (before != null && before.getRevision() == item.revision()) ? before
					: toWire(item).build());
	}

	private static StoreObject.Builder toWire(ObjectStore.Item item) {
		StoreObject.Builder object = StoreObject.newBuilder().setName(item.name()).setRevision(item.revision());
		StoreObjectContent.write(object, item.content());
		return object;
	}

	private static StoreObject reference(ObjectStore.Item item) {
		return StoreObject.newBuilder().setName(item.name()).setRevision(item.revision()).setKnown(true).build();
	}

	// An object that was removed since the request is not missing.
	private boolean hasReferenced(ObjectKind kind, StoreObject object) {
		ObjectStore.Item known = this.objects.get(kind).get(object.getName());
		long revision = (known != null) ? known.revision() : removalRevision(kind, object.getName());
		return revision >= object.getRevision();
	}

	private boolean isNewer(ObjectKind kind, StoreObject object) {
		ObjectStore.Item known = this.objects.get(kind).get(object.getName());
		long revision = (known != null) ? known.revision() : -1;
		// A removal may have the same revision as the object that it removes.
		boolean later = object.getDeleted() ? object.getRevision() >= revision : object.getRevision() > revision;
		return later && object.getRevision() > removalRevision(kind, object.getName());
	}

	private long removalRevision(ObjectKind kind, String name) {
		return this.removed.get(kind).getOrDefault(name, -1L);
	}

	private void apply(ObjectKind kind, ObjectStore.Change change) {
		ObjectStore.Item item = change.item();
		if (change.deleted()) {
			this.objects.get(kind).remove(item.name());
			this.encoded.get(kind).remove(item.name());
			this.removed.get(kind).put(item.name(), item.revision());
			return;
		}
		this.objects.get(kind).put(item.name(), item);
	}

}
