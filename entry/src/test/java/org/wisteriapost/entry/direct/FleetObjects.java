package org.wisteriapost.entry.direct;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;

import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.site.ObjectStore;

/**
 * The objects of the store of a {@link FleetHarness} and their history. It can be
 * restored from a copy.
 */
final class FleetObjects {

	private final Map<ObjectKind, Map<String, ObjectStore.Item>> objects = new EnumMap<>(ObjectKind.class);

	private final Map<ObjectKind, List<Recorded>> history = new EnumMap<>(ObjectKind.class);

	private long revision = 1;

	private long epoch = 1;

	FleetObjects() {
		for (ObjectKind kind : ObjectKind.values()) {
			this.objects.put(kind, new LinkedHashMap<>());
			this.history.put(kind, new ArrayList<>());
		}
	}

	List<ObjectStore.Item> list(ObjectKind kind) {
		return List.copyOf(this.objects.get(kind).values());
	}

	/** Returns the changes of a kind after a revision. */
	List<ObjectStore.Change> changes(ObjectKind kind, long after) {
		return this.history.get(kind)
			.stream()
			.filter((recorded) -> recorded.revision > after)
			.map(Recorded::change)
			.toList();
	}

	long revision() {
		return this.revision;
	}

	long epoch() {
		return this.epoch;
	}

	/** Skips revisions, as if objects of other kinds were written. */
	void skipRevisions(long count) {
		this.revision += count;
	}

	/**
	 * Writes an object.
	 * @param create creates it from its revision
	 */
	ObjectStore.Change write(ObjectKind kind, LongFunction<ObjectStore.Item> create) {
		this.revision++;
		ObjectStore.Item item = create.apply(this.revision);
		this.objects.get(kind).put(item.name(), item);
		return record(kind, new ObjectStore.Change(item, false));
	}

	ObjectStore.Change remove(ObjectKind kind, String name) {
		this.revision++;
		return record(kind, new ObjectStore.Change(this.objects.get(kind).remove(name), true));
	}

	private ObjectStore.Change record(ObjectKind kind, ObjectStore.Change change) {
		this.history.get(kind).add(new Recorded(this.revision, change));
		return change;
	}

	Copy copy() {
		Map<ObjectKind, Map<String, ObjectStore.Item>> current = new EnumMap<>(ObjectKind.class);
		this.objects.forEach((kind, items) -> current.put(kind, new LinkedHashMap<>(items)));
		Map<ObjectKind, List<Recorded>> changes = new EnumMap<>(ObjectKind.class);
		this.history.forEach((kind, recorded) -> changes.put(kind, new ArrayList<>(recorded)));
		return new Copy(current, changes, this.revision);
	}

	/** Begins an epoch with the state of a copy, which is used once. */
	void restore(Copy copy) {
		this.epoch++;
		this.revision = copy.revision;
		this.objects.putAll(copy.objects);
		this.history.putAll(copy.history);
	}

	/** The state of the store at a time. */
	record Copy(Map<ObjectKind, Map<String, ObjectStore.Item>> objects, Map<ObjectKind, List<Recorded>> history,
			long revision) {
	}

	private record Recorded(long revision, ObjectStore.Change change) {
	}

}
