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
 * The suspect parts of prompts that this entry knows of.
 *
 * Rows are merged as sets, like those of {@link SuspectTable}.
 */
final class PartTable {

	// How long a part without losses is kept, so that late reports of losses find that
	// they are cleared.
	private static final Duration GOOD_TTL = Duration.ofMinutes(1);

	// A crash adds a row for each part of the requests that had not begun. Rows with at
	// most one loss are dropped first. All parts of one request must fit: otherwise the
	// part that is the cause would be forgotten each time.
	private static final int MAX_SINGLE_LOSS_ROWS = 1792;

	private static final int MAX_ROWS = 2048;

	private final ChangeSequence changes;

	private final Map<Long, Row> byId = new HashMap<>();

	private final NavigableMap<Long, Row> byChange = new TreeMap<>();

	private final LinkedHashMap<Long, Row> singleLossRows = new LinkedHashMap<>();

	PartTable(ChangeSequence changes) {
		this.changes = changes;
	}

	/**
	 * Adds what is known of a part and returns whether any of it was new.
	 * @param told what was reported
	 * @param own what this entry knows besides
	 * @param source the entry that reported it; empty for this one
	 */
	boolean merge(SuspectPart told, SuspectPart own, Optional<String> source, long nowNanos) {
		SuspectPart before = Optional.ofNullable(this.byId.get(told.id()))
			.map(Row::part)
			.orElseGet(() -> new SuspectPart(told.id(), List.of(), OptionalLong.empty()));
		SuspectPart recent = new SuspectPart(told.id(),
				told.losses()
					.stream()
					.filter((loss) -> nowNanos - loss.atNanos() < SuspectTable.LOSS_TTL.toNanos())
					.toList(),
				told.goodNanos());
		SuspectPart after = before.with(recent).with(own);
		if (after.equals(before)) {
			return false;
		}
		put(new Row(after, after.equals(told) ? source : Optional.empty(), this.changes.next(), nowNanos));
		return true;
	}

	Optional<SuspectPart> get(long id) {
		return Optional.ofNullable(this.byId.get(id)).map(Row::part);
	}

	List<SuspectPart> parts() {
		return this.byId.values().stream().map(Row::part).toList();
	}

	/**
	 * Returns the first rows that have changed since, the oldest change first.
	 */
	List<Row> changedSince(long change, int limit) {
		return this.byChange.tailMap(change, false).values().stream().limit(limit).toList();
	}

	/**
	 * Drops rows that are too old.
	 */
	void expire(long nowNanos) {
		this.byId.values().stream().filter((row) -> row.expired(nowNanos)).toList().forEach(this::remove);
	}

	private void put(Row row) {
		Optional.ofNullable(this.byId.get(row.part.id())).ifPresent(this::remove);
		this.byId.put(row.part.id(), row);
		this.byChange.put(row.change, row);
		if (row.part.losses().size() <= 1) {
			this.singleLossRows.put(row.part.id(), row);
		}
		if (this.singleLossRows.size() > MAX_SINGLE_LOSS_ROWS) {
			remove(this.singleLossRows.firstEntry().getValue());
		}
		if (this.byId.size() > MAX_ROWS) {
			remove(this.byChange.firstEntry().getValue());
		}
	}

	private void remove(Row row) {
		this.byId.remove(row.part.id());
		this.byChange.remove(row.change);
		this.singleLossRows.remove(row.part.id());
	}

	/**
	 * A suspect part.
	 *
	 * @param part what is known of it
	 * @param source the entry that has reported exactly this; empty for this one
	 * @param change the number of the latest change
	 * @param changedNanos the time of that
	 */
	record Row(SuspectPart part, Optional<String> source, long change, long changedNanos) {

		private boolean expired(long nowNanos) {
			return this.part.losses().isEmpty() ? nowNanos - this.changedNanos >= GOOD_TTL.toNanos()
					: nowNanos - this.part.losses().getLast().atNanos() >= SuspectTable.LOSS_TTL.toNanos();
		}

	}

}
