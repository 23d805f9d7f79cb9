package org.wisteriapost.policy.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The number of slots of each runner that stay free for requests of more urgent ranks
 * (trunk reservation), by service and rank.
 *
 * The number grows in small steps while requests of more urgent ranks find no slot at
 * many entries, and decays exponentially when they find slots, so that it approaches zero
 * without undershoot after a burst. It is fractional; callers round it at random, which
 * makes a change of a fraction effective over all entries.
 */
public final class ReservedSlots {

	/** Slots of a runner that can be reserved at most. */
	static final double MAX_RESERVED = 9;

	private static final Duration STEP = Duration.ofMillis(100);

	// Covers the interval of reports of forty entries that report to each other.
	private static final Duration RECENT = Duration.ofMillis(600);

	// Requests that wait for some milliseconds are seen at some entries also at loads
	// at which none is refused.
	private static final double TOLERATED_SHARE = 0.05;

	private static final double GROWTH = 1;

	private static final double DECAY = 0.02;

	// Below this a reservation has no effect and ends.
	private static final double NEGLIGIBLE = 0.05;

	private final ContentionByRank contention;

	private final Map<String, Level[]> levels = new HashMap<>();

	private int entryCount = 1;

	public ReservedSlots(ContentionByRank contention) {
		this.contention = contention;
	}

	/**
	 * Updates the number of entries, including this one.
	 */
	public void updateEntryCount(int count) {
		this.entryCount = Math.max(1, count);
	}

	/**
	 * Returns how many slots of a runner a request of a rank leaves free.
	 */
	public double reserved(String service, int rank, long nowNanos) {
		if (rank <= 0) {
			return 0;
		}
		Level[] ranks = this.levels.computeIfAbsent(service, (name) -> new Level[ContentionByRank.LAST_RANK + 1]);
		int index = Math.min(rank, ranks.length - 1);
		if (ranks[index] == null) {
			ranks[index] = new Level(nowNanos);
		}
		ranks[index].advance(service, index - 1, nowNanos);
		return ranks[index].reserved;
	}

	/**
	 * Returns the reserved slots by service and rank, without those that reserve none.
	 * They are only read: a level grows when a request of its rank is assessed.
	 */
	public Map<String, Map<Integer, Double>> current(long nowNanos) {
		Map<String, Map<Integer, Double>> current = new TreeMap<>();
		for (String service : this.levels.keySet()) {
			for (int rank = 1; rank <= ContentionByRank.LAST_RANK; rank++) {
				Level level = this.levels.get(service)[rank];
				double reserved = (level != null) ? level.decayed(nowNanos) : 0;
				if (reserved > 0) {
					current.computeIfAbsent(service, (name) -> new TreeMap<>()).put(rank, reserved);
				}
			}
		}
		return current;
	}

	/** The reserved slots for one rank of a service. */
	private final class Level {

		private double reserved;

		private long steppedNanos;

		Level(long nowNanos) {
			this.steppedNanos = nowNanos;
		}

		private double decayed(long nowNanos) {
			long steps = Math.max(0, (nowNanos - this.steppedNanos) / STEP.toNanos());
			double left = this.reserved * Math.pow(1 - DECAY, steps);
			return (left < NEGLIGIBLE) ? 0 : left;
		}

		private void advance(String service, int lastUrgentRank, long nowNanos) {
			long steps = (nowNanos - this.steppedNanos) / STEP.toNanos();
			if (steps <= 0) {
				return;
			}
			this.steppedNanos += steps * STEP.toNanos();
			// Without requests in between nothing was decided, so only decay is caught
			// up.
			this.reserved *= Math.pow(1 - DECAY, steps);
			double share = (double) ReservedSlots.this.contention.entries(service, lastUrgentRank, RECENT, nowNanos)
					/ ReservedSlots.this.entryCount;
			if (share > TOLERATED_SHARE) {
				this.reserved = Math.min(MAX_RESERVED, this.reserved + GROWTH * Math.min(1, share));
			}
			if (this.reserved < NEGLIGIBLE) {
				this.reserved = 0;
			}
		}

	}

}
