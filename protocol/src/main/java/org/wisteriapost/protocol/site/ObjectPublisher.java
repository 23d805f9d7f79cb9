package org.wisteriapost.protocol.site;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SequencedMap;

/**
 * Passes the objects that a {@link StoreWatcher} reads to its listener.
 *
 * A listing takes several calls and can overlap with changes, so a change that is older
 * than the known revision of an object is ignored. Otherwise a runner that is leaving
 * would be considered ready again until its later change is read.
 */
final class ObjectPublisher {

	private static final Logger LOG = System.getLogger(ObjectPublisher.class.getName());

	private final ObjectKind kind;

	private final StoreListener listener;

	private final Map<String, Long> revisions = new HashMap<>();

	ObjectPublisher(ObjectKind kind, StoreListener listener) {
		this.kind = kind;
		this.listener = listener;
	}

	/**
	 * Publishes a listing. It replaces all that was known: keeping the higher revision of
	 * an object from before would make its next changes look older, if the store was
	 * restored from a copy and gives out its revisions again.
	 * @param revision the store's revision at the start of the listing
	 */
	void publishSnapshot(List<ObjectStore.Item> items, long revision) {
		this.revisions.clear();
		items.forEach((item) -> this.revisions.put(item.name(), item.revision()));
		this.listener.onSnapshot(List.copyOf(items), revision);
	}

	/**
	 * Publishes only the current state of each object, like a listing: a runner that was
	 * registered and removed in a gap is reported only as deleted, so that it gets no
	 * requests.
	 */
	void publishLatest(List<ObjectStore.Change> changes) {
		SequencedMap<String, ObjectStore.Change> latest = new LinkedHashMap<>();
		changes.forEach((change) -> latest.putLast(change.item().name(), change));
		publishAll(latest.values());
	}

	/**
	 * Publishes changes in order.
	 */
	void publishAll(Collection<ObjectStore.Change> changes) {
		changes.forEach(this::publish);
	}

	private void publish(ObjectStore.Change change) {
		ObjectStore.Item item = change.item();
		long known = this.revisions.getOrDefault(item.name(), -1L);
		if (item.revision() < known) {
			LOG.log(Level.INFO, "change-ignored: " + this.kind + " " + item.name() + " at revision " + item.revision()
					+ ", known at " + known);
			return;
		}
		if (change.deleted()) {
			this.revisions.remove(item.name());
		}
		else {
			this.revisions.put(item.name(), item.revision());
		}
		this.listener.onChange(change);
	}

}
