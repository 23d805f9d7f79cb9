package org.wisteriapost.policy.burn;

import java.util.List;
import java.util.Map;

/**
 * Counts of an entry, written to the platform every minute under {@code burn/VM}. An
 * entry that fails loses at most the counts since its last snapshot.
 *
 * @param entry VM of the entry
 * @param atMillis creation time in milliseconds since the Unix epoch
 * @param rows one row for each series
 */
public record BurnSnapshot(String entry, long atMillis, List<Row> rows) {

	public BurnSnapshot {
		rows = List.copyOf(rows);
	}

	/**
	 * Counts of a series.
	 *
	 * @param service the service called
	 * @param organisation the organisation that called it
	 * @param windows counts by {@link BurnWindow#label}
	 */
	public record Row(String service, String organisation, Map<String, ResultCounts> windows) {

		public Row {
			windows = Map.copyOf(windows);
		}

	}

}
