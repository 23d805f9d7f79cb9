package org.wisteriapost.policy.coldstart;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The entries that share the requests to cold runners, and the part of this one.
 *
 * Entries learn of changes at different times. So an entry uses permits only when all
 * others count it: it waits for {@link #SETTLE} after it has seen its own registration.
 * It counts a removed entry for {@link #REMOVED_COUNTED} longer, since that one may be
 * alive and cut off. An entry whose view is not confirmed may not know of new entries: it
 * keeps a quarter of its permits, and none once it may not be counted itself any more.
 * docs/design/cold-runners.md proves the bound.
 */
public final class SharingEntries {

	// Entries in contact confirm their view within 3 s.
	static final Duration MAX_STALENESS = Duration.ofSeconds(4);

	/** How long an entry without contact keeps permits. */
	static final Duration MAX_ISOLATION = Duration.ofSeconds(30);

	// The view is confirmed by reads of the routes. Changes of entries are read in
	// batches,
	// up to half a second later.
	static final Duration READ_LAG = Duration.ofSeconds(1);

	static final Duration SETTLE = MAX_STALENESS.plus(READ_LAG).plus(SendWindow.LENGTH);

	static final Duration REMOVED_COUNTED = MAX_ISOLATION.plus(READ_LAG).plus(SendWindow.LENGTH);

	// Covers fleets that grow up to fourfold while an entry is isolated.
	private static final int ISOLATED_DIVISOR = 4;

	// Of the allowed requests. The rest covers entries that disagree on the number of
	// entries in ways that the times above do not, as after a restart during a partition.
	private static final double USED_SHARE = 0.9;

	private static final int MAX_CACHED = 10_000;

	// By name, with the failure domain; includes removed entries that still count.
	private final Map<String, String> counted = new HashMap<>();

	private final Map<String, Long> removedNanos = new HashMap<>();

	// Permits of this entry by runner and total, until the entries change.
	private final Map<PermitKey, Integer> cachedPermits = new HashMap<>();

	private RegisteredEntries registered = new RegisteredEntries("", Map.of());

	private OptionalLong selfSeenNanos = OptionalLong.empty();

	private OptionalLong confirmedNanos = OptionalLong.empty();

	private boolean everConfirmed;

	/**
	 * Updates the entries.
	 * @param stalenessMillis how old the view is; empty if it was not confirmed
	 */
	public void update(RegisteredEntries entries, OptionalLong stalenessMillis, long nowNanos) {
		// Only peers of an older version leave the view unconfirmed from the start.
		// A confirmation is withdrawn when this machine was suspended.
		this.everConfirmed |= stalenessMillis.isPresent();
		long unconfirmedMillis = this.everConfirmed ? MAX_ISOLATION.toMillis() : 0;
		long staleNanos = Duration.ofMillis(stalenessMillis.orElse(unconfirmedMillis)).toNanos();
		this.confirmedNanos = OptionalLong.of(nowNanos - staleNanos);
		if (!entries.equals(this.registered)) {
			replace(entries, nowNanos);
		}
		boolean expired = this.removedNanos.entrySet().removeIf((removed) -> {
			boolean over = nowNanos - removed.getValue() >= REMOVED_COUNTED.toNanos();
			if (over) {
				this.counted.remove(removed.getKey());
			}
			return over;
		});
		if (expired) {
			this.cachedPermits.clear();
		}
	}

	private void replace(RegisteredEntries entries, long nowNanos) {
		this.registered = entries;
		this.counted.putAll(entries.failureDomains());
		this.removedNanos.keySet().removeAll(entries.failureDomains().keySet());
		this.counted.keySet()
			.stream()
			.filter((name) -> !entries.failureDomains().containsKey(name))
			.forEach((name) -> this.removedNanos.putIfAbsent(name, nowNanos));
		this.cachedPermits.clear();
		if (!entries.failureDomains().containsKey(entries.self())) {
			this.selfSeenNanos = OptionalLong.empty();
		}
		else if (this.selfSeenNanos.isEmpty()) {
			this.selfSeenNanos = OptionalLong.of(nowNanos);
		}
	}

	/**
	 * Returns the entries that count, including this one.
	 */
	public int count() {
		return this.counted.size();
	}

	/**
	 * Returns the requests that this entry may send to a cold runner in each window of
	 * {@link SendWindow#LENGTH}.
	 * @param maxRequests the most requests that the runner may get in a second from all
	 * entries
	 */
	public int permits(String runnerId, String runnerFailureDomain, double maxRequests, long nowNanos) {
		int total = usable(maxRequests, nowNanos);
		if (total == 0) {
			return 0;
		}
		if (this.cachedPermits.size() >= MAX_CACHED) {
			this.cachedPermits.clear();
		}
		return this.cachedPermits.computeIfAbsent(new PermitKey(runnerId, runnerFailureDomain, total),
				(key) -> PermitAllocation.permits(this.registered.self(), this.counted, runnerId, runnerFailureDomain,
						total));
	}

	private int usable(double maxRequests, long nowNanos) {
		boolean settled = this.selfSeenNanos.isPresent()
				&& nowNanos - this.selfSeenNanos.getAsLong() >= SETTLE.toNanos();
		if (!settled || maxRequests < 1 || nowNanos - this.confirmedNanos.getAsLong() >= MAX_ISOLATION.toNanos()) {
			return 0;
		}
		int total = Math.max(1, (int) (maxRequests * USED_SHARE));
		return isFresh(nowNanos) ? total : total / ISOLATED_DIVISOR;
	}

	private boolean isFresh(long nowNanos) {
		return this.confirmedNanos.isPresent() && nowNanos - this.confirmedNanos.getAsLong() <= MAX_STALENESS.toNanos();
	}

	private record PermitKey(String runnerId, String failureDomain, int total) {
	}

}
