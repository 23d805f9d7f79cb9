package org.wisteriapost.policy.burn;

import java.util.List;
import java.util.Map;

/**
 * What one entry has counted, as it writes it to the platform every minute under
 * {@code burn/VM}. An entry that dies loses at most what it counted since.
 *
 * @param entry the entry VM
 * @param atMillis when it was taken, in milliseconds since 1970
 * @param rows the series
 */
public record BurnSnapshot(String entry, long atMillis, List<Row> rows) {

	public BurnSnapshot {
		rows = List.copyOf(rows);
	}

	/**
	 * One series.
	 *
	 * @param service the service called
	 * @param organisation who called
	 * @param windows counts by {@link Window#label}
	 */
	public record Row(String service, String organisation, Map<String, Counts> windows) {

		public Row {
			windows = Map.copyOf(windows);
		}

	}

}
