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
	 * Adds what is known of a request and returns whether any of it was new.
	 * @param told what was reported
	 * @param ownCompletion when the latest run that this entry knows to have been
	 * completed began
	 * @param source the entry that reported it; empty for this one
	 */
	boolean merge(SuspectRequest told, OptionalLong ownCompletion, Optional<String> source, long nowNanos) {
		SuspectRequest before = Optional.ofNullable(this.byHash.get(told.contentHash()))
			.map(Row::suspect)
			.orElseGet(() -> new SuspectRequest(told.contentHash(), List.of()));
		List<SuspectRequest.Loss> recent = told.losses()
			.stream()
			.filter((loss) -> nowNanos - loss.atNanos() < LOSS_TTL.toNanos())
			.toList();
		SuspectRequest after = before.with(recent, told.completedNanos()).with(List.of(), ownCompletion);
		if (after.equals(before)) {
			return false;
		}
		put(new Row(after, after.equals(told) ? source : Optional.empty(), this.changes.next()));
		return true;
	}

	Optional<SuspectRequest> get(long contentHash) {
		return Optional.ofNullable(this.byHash.get(contentHash)).map(Row::suspect);
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
	 * @param suspect the request with its losses
	 * @param source the entry that has reported exactly this; empty for this one
	 * @param change the number of the latest change
	 */
	record Row(SuspectRequest suspect, Optional<String> source, long change) {

		long contentHash() {
			return this.suspect.contentHash();
		}

		private boolean expired(long nowNanos) {
			return this.suspect.losses().isEmpty() ? nowNanos
					- this.suspect.completedNanos().orElse(nowNanos) >= SuspectRequest.COMPLETION_TTL.toNanos()
					: nowNanos - this.suspect.lastLossNanos() >= LOSS_TTL.toNanos();
		}

	}

}
