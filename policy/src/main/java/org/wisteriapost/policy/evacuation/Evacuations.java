package org.wisteriapost.policy.evacuation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;

/**
 * The failure domains that are evacuated: no request may be sent to runners there.
 *
 * An evacuation is in force here from when this entry has read its object until it has
 * read the removal, and as long as nothing newer is read: while the store is unavailable
 * the last known state holds. A store that was restored from a copy may lack it until
 * operators write it again. Requests to an evacuated failure domain are worse than some
 * seconds without it, so it stays in force meanwhile.
 */
public final class Evacuations {

	// Longer than operators need to write an object again.
	private static final long RESTORE_HOLD_NANOS = Duration.ofSeconds(10).toNanos();

	private static final long NO_REVISION = -1;

	private final Map<String, Evacuation> active = new HashMap<>();

	private final Map<String, Long> endNanos = new HashMap<>();

	// Until when objects that a restored store lacks count; empty without a restore.
	private OptionalLong heldUntilNanos = OptionalLong.empty();

	private List<EvacuationChange> changes = new ArrayList<>();

	/**
	 * Returns whether a failure domain is evacuated.
	 */
	public boolean active(String failureDomain) {
		return this.active.containsKey(failureDomain);
	}

	/**
	 * Returns whether no failure domain is evacuated.
	 */
	public boolean isEmpty() {
		return this.active.isEmpty();
	}

	/**
	 * Returns the evacuated failure domains in alphabetical order.
	 */
	public Set<String> failureDomains() {
		return new TreeSet<>(this.active.keySet());
	}

	/**
	 * Returns since when a failure domain is evacuated here; empty if it isn't.
	 */
	public OptionalLong sinceNanos(String failureDomain) {
		Evacuation evacuation = this.active.get(failureDomain);
		return (evacuation != null) ? OptionalLong.of(evacuation.sinceNanos) : OptionalLong.empty();
	}

	/**
	 * Returns when the last evacuation of a failure domain ended here; empty if none has
	 * ended since this entry started. A new evacuation does not change this time.
	 */
	public OptionalLong lastEndNanos(String failureDomain) {
		Long end = this.endNanos.get(failureDomain);
		return (end != null) ? OptionalLong.of(end) : OptionalLong.empty();
	}

	/**
	 * Records that the store was restored from a copy.
	 */
	public void storeRestored(long nowNanos) {
		this.heldUntilNanos = OptionalLong.of(nowNanos + RESTORE_HOLD_NANOS);
	}

	/**
	 * Ends the evacuations that a restored store still lacks, and returns their failure
	 * domains.
	 */
	public Set<String> tick(long nowNanos) {
		if (this.heldUntilNanos.isEmpty() || nowNanos - this.heldUntilNanos.getAsLong() < 0) {
			return Set.of();
		}
		this.heldUntilNanos = OptionalLong.empty();
		Set<String> lacking = new TreeSet<>(this.active.keySet());
		lacking.removeIf((failureDomain) -> this.active.get(failureDomain).revision != NO_REVISION);
		lacking.forEach((failureDomain) -> end(failureDomain, NO_REVISION, nowNanos));
		return lacking;
	}

	/**
	 * Replaces all evacuations and returns whether the evacuated failure domains have
	 * changed. Those that are missing have ended, whatever their revision, unless the
	 * store was just restored from a copy.
	 * @param revisions the revisions of the objects by failure domain
	 */
	public boolean replaceAll(Map<String, Long> revisions, long nowNanos) {
		int before = this.changes.size();
		Set.copyOf(this.active.keySet())
			.stream()
			.filter((failureDomain) -> !revisions.containsKey(failureDomain))
			.forEach((failureDomain) -> missing(failureDomain, nowNanos));
		revisions.forEach((failureDomain, revision) -> begin(failureDomain, revision, nowNanos));
		return this.changes.size() > before;
	}

	private void missing(String failureDomain, long nowNanos) {
		Evacuation known = this.active.get(failureDomain);
		if (this.heldUntilNanos.isPresent()) {
			this.active.put(failureDomain, new Evacuation(NO_REVISION, known.sinceNanos));
		}
		else {
			end(failureDomain, known.revision, nowNanos);
		}
	}

	/**
	 * Applies an object that was written, and returns whether an evacuation starts. An
	 * object that is written again leaves the start as it is.
	 */
	public boolean begin(String failureDomain, long revision, long nowNanos) {
		Evacuation known = this.active.get(failureDomain);
		this.active.put(failureDomain, new Evacuation(revision, (known != null) ? known.sinceNanos : nowNanos));
		if (known != null) {
			return false;
		}
		this.changes.add(new EvacuationChange(failureDomain, true, revision, 0));
		return true;
	}

	/**
	 * Applies the removal of an object, and returns whether an evacuation ends. A removal
	 * that is older than the known object is ignored, since the object was written again.
	 */
	public boolean end(String failureDomain, long revision, long nowNanos) {
		Evacuation known = this.active.get(failureDomain);
		if (known == null || revision < known.revision) {
			return false;
		}
		this.active.remove(failureDomain);
		this.endNanos.put(failureDomain, nowNanos);
		this.changes.add(new EvacuationChange(failureDomain, false, revision, nowNanos - known.sinceNanos));
		return true;
	}

	/**
	 * Returns the changes since the previous call, in order.
	 */
	public List<EvacuationChange> drainChanges() {
		if (this.changes.isEmpty()) {
			return List.of();
		}
		List<EvacuationChange> drained = this.changes;
		this.changes = new ArrayList<>();
		return drained;
	}

	/**
	 * An evacuation in force.
	 *
	 * @param revision the store's revision of its object
	 * @param sinceNanos when it started here
	 */
	private record Evacuation(long revision, long sinceNanos) {
	}

}
