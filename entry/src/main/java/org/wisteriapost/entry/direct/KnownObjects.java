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

import com.google.protobuf.ByteString;
import org.wisteriapost.protocol.site.Kind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.wire.KnownKind;
import org.wisteriapost.protocol.wire.KnownObject;
import org.wisteriapost.protocol.wire.StoreObject;

/**
 * What an entry knows of the site's store, read or heard. Used by the state thread alone.
 *
 * What is heard is taken only when its revision is higher than the one known, and an
 * object that was removed stays away until the store has changed it again: another entry
 * may be behind what this one has read itself.
 */
final class KnownObjects {

	private final ObjectStore store;

	private final Map<Kind, Map<String, ObjectStore.Item>> objects = new EnumMap<>(Kind.class);

	private final Map<Kind, Map<String, Long>> removed = new EnumMap<>(Kind.class);

	// As they are sent: written once for all who hear them.
	private final Map<Kind, Map<String, StoreObject>> written = new EnumMap<>(Kind.class);

	// Up to which revision of the store the objects of a kind are known.
	private final Map<Kind, Long> readTo = new EnumMap<>(Kind.class);

	KnownObjects(ObjectStore store) {
		this.store = store;
		for (Kind kind : Kind.values()) {
			this.objects.put(kind, new LinkedHashMap<>());
			this.removed.put(kind, new LinkedHashMap<>());
			this.written.put(kind, new HashMap<>());
		}
	}

	/**
	 * Returns all objects of a kind.
	 */
	List<ObjectStore.Item> items(Kind kind) {
		return List.copyOf(this.objects.get(kind).values());
	}

	/**
	 * Returns up to which revision of the store the objects of a kind are known.
	 */
	long readTo(Kind kind) {
		return this.readTo.getOrDefault(kind, 0L);
	}

	/**
	 * Notes that the objects of a kind are known up to a revision of the store.
	 */
	void reached(Kind kind, long at) {
		this.readTo.merge(kind, at, Math::max);
	}

	/**
	 * Takes all objects of a kind from the store and returns whether a newer one, or a
	 * newer removal, was known that is not in them. They may have been read before that
	 * was heard, or the store was put back from an older copy.
	 * @param at the store's revision when they were read
	 */
	boolean read(Kind kind, List<ObjectStore.Item> all, long at) {
		this.readTo.put(kind, at);
		Map<String, ObjectStore.Item> known = this.objects.get(kind);
		Map<String, Long> listed = all.stream()
			.collect(Collectors.toMap(ObjectStore.Item::name, ObjectStore.Item::revision, Math::max));
		boolean drops = known.values()
			.stream()
			.anyMatch((item) -> item.revision() > Math.max(at, listed.getOrDefault(item.name(), -1L)))
				|| listed.entrySet()
					.stream()
					.anyMatch((one) -> removedAt(kind, one.getKey()) > Math.max(at, one.getValue()));
		known.clear();
		this.removed.get(kind).clear();
		all.forEach((item) -> known.put(item.name(), item));
		this.written.get(kind).keySet().retainAll(known.keySet());
		return drops;
	}

	/**
	 * Takes a change from the store and returns whether it is newer than what is known.
	 */
	boolean read(Kind kind, ObjectStore.Change change) {
		ObjectStore.Item known = this.objects.get(kind).get(change.item().name());
		if (known != null && known.revision() > change.item().revision()) {
			return false;
		}
		note(kind, change);
		reached(kind, change.item().revision());
		return true;
	}

	/**
	 * Takes an object that was heard; empty when it is not newer than what is known.
	 */
	Optional<ObjectStore.Change> heard(Kind kind, StoreObject object) {
		if (object.getKnown() || !newer(kind, object)) {
			return Optional.empty();
		}
		Optional<ObjectStore.Change> change = this.store.decode(kind, object.getContent().toByteArray())
			.map((item) -> new ObjectStore.Change(item, object.getDeleted()));
		change.ifPresent((one) -> note(kind, one));
		return change;
	}

	/**
	 * Removes the objects of a kind that were not named by an entry that names all,
	 * unless they were made after it had read: taken for gone they would stay away until
	 * they change again.
	 * @param at the store's revision up to which that entry has read
	 */
	void keep(Kind kind, Set<String> named, long at) {
		items(kind).stream()
			.filter((item) -> !named.contains(item.name()) && item.revision() <= at)
			.forEach((item) -> note(kind, new ObjectStore.Change(item, true)));
	}

	/**
	 * Returns whether all objects whose content a sender left out are known here.
	 */
	boolean holds(Kind kind, List<StoreObject> named) {
		return named.stream().filter(StoreObject::getKnown).allMatch((object) -> holds(kind, object));
	}

	/**
	 * Returns the revisions of the objects of a kind by name.
	 */
	Map<String, Long> revisions(Kind kind) {
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
			KnownKind.Builder one = KnownKind.newBuilder().setKind(SiteNews.wire(kind));
			all.values()
				.forEach((item) -> one
					.addObjects(KnownObject.newBuilder().setName(item.name()).setRevision(item.revision())));
			revisions.add(one.build());
		});
		return revisions;
	}

	/**
	 * Returns all objects of a kind as they are sent.
	 * @param held revisions by name that the hearer has: content is left out of those
	 */
	List<StoreObject> written(Kind kind, Map<String, Long> held) {
		return items(kind).stream()
			.map((item) -> (held.getOrDefault(item.name(), -1L) >= item.revision()) ? named(item) : written(kind, item))
			.toList();
	}

	/**
	 * Returns a change as it is sent.
	 */
	StoreObject written(Kind kind, ObjectStore.Change change) {
		return change.deleted() ? written(change.item()).setDeleted(true).build() : written(kind, change.item());
	}

	private StoreObject written(Kind kind, ObjectStore.Item item) {
		return this.written.get(kind)
			.compute(item.name(), (name, before) -> (before != null && before.getRevision() == item.revision()) ? before
					: written(item).build());
	}

	private static StoreObject.Builder written(ObjectStore.Item item) {
		return StoreObject.newBuilder()
			.setName(item.name())
			.setRevision(item.revision())
			.setContent(ByteString.copyFrom(item.content()));
	}

	private static StoreObject named(ObjectStore.Item item) {
		return StoreObject.newBuilder().setName(item.name()).setRevision(item.revision()).setKnown(true).build();
	}

	// One that was removed since the request is not missing.
	private boolean holds(Kind kind, StoreObject object) {
		ObjectStore.Item known = this.objects.get(kind).get(object.getName());
		long revision = (known != null) ? known.revision() : removedAt(kind, object.getName());
		return revision >= object.getRevision();
	}

	private boolean newer(Kind kind, StoreObject object) {
		ObjectStore.Item known = this.objects.get(kind).get(object.getName());
		long revision = (known != null) ? known.revision() : -1;
		// A removal may carry the revision of the object that it removes.
		boolean later = object.getDeleted() ? object.getRevision() >= revision : object.getRevision() > revision;
		return later && object.getRevision() > removedAt(kind, object.getName());
	}

	private long removedAt(Kind kind, String name) {
		return this.removed.get(kind).getOrDefault(name, -1L);
	}

	private void note(Kind kind, ObjectStore.Change change) {
		ObjectStore.Item item = change.item();
		if (change.deleted()) {
			this.objects.get(kind).remove(item.name());
			this.written.get(kind).remove(item.name());
			this.removed.get(kind).put(item.name(), item.revision());
			return;
		}
		this.objects.get(kind).put(item.name(), item);
	}

}
