package org.wisteriapost.policy.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.TreeMap;

/**
 * When a request of each rank last found no free slot, by service and entry.
 *
 * The share of the entries at which requests of a rank find no slot measures how short
 * slots are for this rank. One entry alone sees only some requests per second.
 */
public final class ContentionByRank {

	/** The least urgent rank. */
	public static final int LAST_RANK = 9;

	/**
	 * How long a request without a slot counts. It covers the longest interval of load
	 * reports; a peer that falls silent counts as not contended after it.
	 */
	static final Duration WINDOW = Duration.ofSeconds(1);

	private static final String SELF = "";

	// By service and entry.
	private final Map<String, Map<String, LastTimes>> times = new HashMap<>();

	/**
	 * Records that a request of this entry found no free slot.
	 */
	public void noFreeSlot(String service, int rank, long nowNanos) {
		record(SELF, service, rank, nowNanos);
	}

	/**
	 * Records what a peer has reported. A report without a rank is ignored.
	 */
	public void reported(String peer, ContentionReport report, long nowNanos) {
		if (report.rank().isPresent() && report.ago().compareTo(WINDOW) < 0) {
			record(peer, report.service(), report.rank().getAsInt(), nowNanos - report.ago().toNanos());
		}
	}

	private void record(String entry, String service, int rank, long atNanos) {
		this.times.computeIfAbsent(service, (name) -> new HashMap<>())
			.computeIfAbsent(entry, (name) -> new LastTimes())
			.record(Math.clamp(rank, 0, LAST_RANK), atNanos);
	}

	/**
	 * Returns what this entry reports to its peers: for each service the most urgent rank
	 * that found no slot, and a less urgent one only if it found none more recently.
	 */
	public List<ContentionReport> own(long nowNanos) {
		List<ContentionReport> reports = new ArrayList<>();
		new TreeMap<>(this.times).forEach((service, entries) -> {
			LastTimes own = entries.get(SELF);
			long reported = nowNanos - WINDOW.toNanos();
			for (int rank = 0; own != null && rank <= LAST_RANK; rank++) {
				if (own.nanos[rank] > reported) {
					reported = own.nanos[rank];
					reports.add(
							new ContentionReport(service, OptionalInt.of(rank), Duration.ofNanos(nowNanos - reported)));
				}
			}
		});
		return reports;
	}

	/**
	 * Returns the most urgent rank that recently found no slot, here or at a peer.
	 */
	public OptionalInt mostUrgent(String service, long nowNanos) {
		long from = nowNanos - WINDOW.toNanos();
		int first = LAST_RANK + 1;
		for (LastTimes entry : this.times.getOrDefault(service, Map.of()).values()) {
			for (int rank = 0; rank < first; rank++) {
				first = (entry.nanos[rank] > from) ? rank : first;
			}
		}
		return (first <= LAST_RANK) ? OptionalInt.of(first) : OptionalInt.empty();
	}

	/**
	 * Returns the number of entries at which a request of a rank, or of a more urgent
	 * one, has found no slot.
	 * @param within how long ago at most
	 */
	int entries(String service, int lastRank, Duration within, long nowNanos) {
		Map<String, LastTimes> entries = this.times.get(service);
		if (entries == null) {
			return 0;
		}
		entries.values().removeIf((last) -> !last.since(LAST_RANK, nowNanos - WINDOW.toNanos()));
		long from = nowNanos - within.toNanos();
		return (int) entries.values().stream().filter((last) -> last.since(lastRank, from)).count();
	}

	/** The last time at which each rank found no slot. */
	private static final class LastTimes {

		private final long[] nanos = new long[LAST_RANK + 1];

		LastTimes() {
			Arrays.fill(this.nanos, Long.MIN_VALUE);
		}

		private void record(int rank, long atNanos) {
			this.nanos[rank] = Math.max(this.nanos[rank], atNanos);
		}

		private boolean since(int lastRank, long fromNanos) {
			for (int rank = 0; rank <= lastRank; rank++) {
				if (this.nanos[rank] > fromNanos) {
					return true;
				}
			}
			return false;
		}

	}

}
