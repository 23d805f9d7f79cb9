package org.wisteriapost.policy.quarantine;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * The suspect requests that this entry knows of, and those of them that were completed.
 *
 * Rows are merged as sets, so that entries may exchange them repeatedly and in any order.
 * Each change of a row gets the next change number, by which an entry asks which rows it
 * has not sent yet.
 */
final class SuspectTable {

	/** How long a loss counts; longer than any quarantine. */
	static final Duration LOSS_TTL = Duration.ofHours(1);

	/** How long a request that was completed is not suspected. */
	static final Duration COMPLETION_TTL = Duration.ofMinutes(1);

	// A crash adds a row for each request that was in progress. Rows with a single loss
	// are dropped first: without them a poison request is detected one crash later.
	private static final int MAX_SINGLE_LOSS_ROWS = 512;

	private static final int MAX_ROWS = 1024;

	private final Map<Long, Row> byHash = new HashMap<>();

	private final NavigableMap<Long, Row> byChange = new TreeMap<>();

	// Rows with at most one loss, by their age.
	private final LinkedHashMap<Long, Row> singleLossRows = new LinkedHashMap<>();

	private final ChangeSequence changes;

	SuspectTable(ChangeSequence changes) {
		this.changes = changes;
	}

	/**
	 * Adds losses of a request and returns whether any was new. A request that was
	 * completed lately is not suspected.
	 * @param source the entry that reported them; empty for this one
	 */
	boolean addLosses(long contentHash, List<SuspectRequest.Loss> losses, Optional<String> source, long nowNanos) {
		Row known = this.byHash.get(contentHash);
		if (known != null && known.completedLately(nowNanos)) {
			return false;
		}
		SuspectRequest before = (known != null && known.completedNanos.isEmpty()) ? known.suspect
				: new SuspectRequest(contentHash, List.of());
		SuspectRequest after = before
			.with(losses.stream().filter((loss) -> nowNanos - loss.atNanos() < LOSS_TTL.toNanos()).toList());
		if (after.equals(before)) {
			return false;
		}
		// The source lacks the losses that were known here before.
		boolean sameAtSource = after.losses().size() == losses.size();
		put(new Row(after, OptionalLong.empty(), sameAtSource ? source : Optional.empty(), this.changes.next()));
		return true;
	}

	/**
	 * Records that a request was completed, and returns whether it was suspected.
	 */
	boolean markCompleted(long contentHash, long completedNanos, Optional<String> source) {
		Row known = this.byHash.get(contentHash);
		if (known != null && known.completedNanos.isPresent()) {
			return false;
		}
		put(new Row(new SuspectRequest(contentHash, List.of()), OptionalLong.of(completedNanos), source,
				this.changes.next()));
		return known != null;
	}

	boolean contains(long contentHash) {
		return this.byHash.containsKey(contentHash);
	}

	int losses(long contentHash) {
		Row row = this.byHash.get(contentHash);
		return (row != null) ? row.suspect.losses().size() : 0;
	}

	/**
	 * Returns the first rows that have changed since, the oldest change first.
	 */
	List<Row> changedSince(long change, int limit) {
		return this.byChange.tailMap(change, false).values().stream().limit(limit).toList();
	}

	List<SuspectRequest> suspects() {
		return this.byHash.values().stream().map(Row::suspect).toList();
	}

	/**
	 * Drops rows whose losses or completion are too old, and returns whether there were
	 * any.
	 */
	boolean expire(long nowNanos) {
		List<Row> expired = this.byHash.values().stream().filter((row) -> row.expired(nowNanos)).toList();
		expired.forEach(this::remove);
		return !expired.isEmpty();
	}

	private void put(Row row) {
		Optional.ofNullable(this.byHash.get(row.contentHash())).ifPresent(this::remove);
		this.byHash.put(row.contentHash(), row);
		this.byChange.put(row.change, row);
		if (row.suspect.losses().size() <= 1) {
			this.singleLossRows.put(row.contentHash(), row);
		}
		if (this.singleLossRows.size() > MAX_SINGLE_LOSS_ROWS) {
			remove(this.singleLossRows.firstEntry().getValue());
		}
		if (this.byHash.size() > MAX_ROWS) {
			remove(this.byChange.firstEntry().getValue());
		}
	}

	private void remove(Row row) {
		this.byHash.remove(row.contentHash());
		this.byChange.remove(row.change);
		this.singleLossRows.remove(row.contentHash());
	}

	/**
	 * A request that is suspected, or that was completed after it had been suspected.
	 *
	 * @param suspect the request with its losses; without any once it was completed
	 * @param completedNanos when it was completed
	 * @param source the entry that has reported exactly this; empty for this one
	 * @param change the number of the latest change
	 */
	record Row(SuspectRequest suspect, OptionalLong completedNanos, Optional<String> source, long change) {

		long contentHash() {
			return this.suspect.contentHash();
		}

		boolean completedLately(long nowNanos) {
			return this.completedNanos.isPresent()
					&& nowNanos - this.completedNanos.getAsLong() < COMPLETION_TTL.toNanos();
		}

		private boolean expired(long nowNanos) {
			return this.completedNanos.isPresent() ? !completedLately(nowNanos)
					: nowNanos - this.suspect.lastLossNanos() >= LOSS_TTL.toNanos();
		}

	}

}
