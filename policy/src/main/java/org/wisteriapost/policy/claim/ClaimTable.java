package org.wisteriapost.policy.claim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.policy.claim.ClaimRecord.State;
import org.wisteriapost.policy.claim.ClaimRecord.StoredAnswer;

/**
 * Claims idempotency keys for calls that may run at most once, and records the outcomes
 * of the calls. Confined to one thread.
 *
 * Load: bursts of calls against a platform that accepts a few hundred writes per second
 * in total. The writes of this entry are rate-limited, and operations on a page that wait
 * for a write are batched into it. Claims, for which callers wait, take precedence over
 * settlements and releases.
 */
public final class ClaimTable {

	// Lets a short burst of writes pass without delay.
	private static final double MAX_TOKENS = 4;

	// Spreads the retries of six entries that conflict at one page.
	private static final long MAX_CONFLICT_BACKOFF_NANOS = Duration.ofMillis(8).toNanos();

	// Settlements and releases, for which no caller waits, are delayed to share a write.
	private static final long SETTLE_DELAY_NANOS = Duration.ofMillis(200).toNanos();

	// An older page has probably been rewritten by another entry, and a read costs less
	// than a write that conflicts.
	private static final long MAX_PAGE_AGE_NANOS = Duration.ofMillis(10).toNanos();

	private static final long MIN_OUTAGE_BACKOFF_NANOS = Duration.ofMillis(500).toNanos();

	// Bounds the memory of cached pages, each of up to some hundred kilobytes. They are
	// useful only for calls whose keys were issued in the same ten seconds.
	private static final int MAX_IDLE_SHARDS = 16;

	private final UniformRandomProvider random;

	private final double writesPerNano;

	private final Map<String, ClaimShard> shards = new LinkedHashMap<>(16, 0.75f, true);

	private final Map<String, Long> notBeforeNanos = new LinkedHashMap<>();

	private double tokens = MAX_TOKENS;

	private long lastRefillNanos;

	private ClaimTable(double writesPerSecond, UniformRandomProvider random, long nowNanos) {
		this.writesPerNano = writesPerSecond / Duration.ofSeconds(1).toNanos();
		this.random = random;
		this.lastRefillNanos = nowNanos;
	}

	/**
	 * Returns an empty table.
	 * @param writesPerSecond this entry's share of the platform's writes
	 */
	public static ClaimTable create(double writesPerSecond, UniformRandomProvider random, long nowNanos) {
		return new ClaimTable(writesPerSecond, random, nowNanos);
	}

	/**
	 * Claims a key.
	 * @param call hash of the call, to detect a key that is reused for another call
	 * @param nonce unique among all entries
	 */
	public List<ClaimEffect> claim(long id, ClaimKey key, String call, String nonce, long nowNanos) {
		return enqueue(key, new ClaimOperation.Claim(id, key, call, nonce, false, false), nowNanos);
	}

	/**
	 * Records the outcome of a claimed call.
	 */
	public List<ClaimEffect> settle(ClaimKey key, String nonce, State state, StoredAnswer answer, long nowNanos) {
		return enqueue(key, new ClaimOperation.Settle(key, nonce, state, answer), nowNanos);
	}

	/**
	 * Releases the claim of a call that certainly did not and will not run.
	 */
	public List<ClaimEffect> release(ClaimKey key, String nonce, long nowNanos) {
		return enqueue(key, new ClaimOperation.Release(key, nonce), nowNanos);
	}

	/**
	 * Handles the current value of an object.
	 * @param conflict whether the value was returned by a write with an outdated version
	 */
	public List<ClaimEffect> onRead(String object, Optional<byte[]> value, long version, boolean conflict,
			long nowNanos) {
		ClaimShard shard = this.shards.get(object);
		if (shard == null) {
			return List.of();
		}
		try {
			shard.onRead(value.map(ClaimPage::decode).orElse(ClaimPage.EMPTY), version, nowNanos);
		}
		catch (CodedException ex) {
			// An unreadable page may hold keys, so that claiming over it could run a
			// call twice.
			return onFailure(object, false, nowNanos);
		}
		if (conflict) {
			this.notBeforeNanos.put(object, nowNanos + this.random.nextLong(MAX_CONFLICT_BACKOFF_NANOS));
		}
		return advance(nowNanos);
	}

	/**
	 * Handles the confirmation of a write.
	 */
	public List<ClaimEffect> onWritten(String object, long version, long nowNanos) {
		List<ClaimEffect> effects = new ArrayList<>();
		Optional.ofNullable(this.shards.get(object)).ifPresent((shard) -> shard.onWritten(version, nowNanos, effects));
		effects.addAll(advance(nowNanos));
		return effects;
	}

	/**
	 * Handles the failure of a read or write.
	 * @param unconfirmed whether a write may have taken effect
	 */
	public List<ClaimEffect> onFailure(String object, boolean unconfirmed, long nowNanos) {
		List<ClaimEffect> effects = new ArrayList<>();
		Optional.ofNullable(this.shards.get(object)).ifPresent((shard) -> shard.onFailure(unconfirmed, effects));
		if (!unconfirmed) {
			this.notBeforeNanos.put(object,
					nowNanos + MIN_OUTAGE_BACKOFF_NANOS + this.random.nextLong(MIN_OUTAGE_BACKOFF_NANOS));
		}
		effects.addAll(advance(nowNanos));
		return effects;
	}

	/**
	 * Starts delayed reads and writes that have become due.
	 */
	public List<ClaimEffect> tick(long nowNanos) {
		return advance(nowNanos);
	}

	/**
	 * Returns the number of waiting operations plus the reads and writes in progress.
	 */
	public int pendingOperations() {
		return this.shards.values().stream().mapToInt((shard) -> shard.waiting() + (shard.isIdle() ? 0 : 1)).sum();
	}

	private List<ClaimEffect> enqueue(ClaimKey key, ClaimOperation operation, long nowNanos) {
		ClaimShard shard = this.shards.computeIfAbsent(key.object(), ClaimShard::new);
		shard.enqueue(operation, nowNanos);
		if (operation instanceof ClaimOperation.Claim claim && isInOutage(key.object(), nowNanos)) {
			// The platform failed recently: the caller is refused at once instead of
			// after a timeout.
			List<ClaimEffect> effects = new ArrayList<>();
			shard.onFailure(false, effects);
			return effects;
		}
		return advance(nowNanos);
	}

	private boolean isInOutage(String object, long nowNanos) {
		return this.notBeforeNanos.getOrDefault(object, nowNanos) - nowNanos > MAX_CONFLICT_BACKOFF_NANOS
				&& this.shards.get(object).isIdle();
	}

	private List<ClaimEffect> advance(long nowNanos) {
		refill(nowNanos);
		List<ClaimEffect> effects = new ArrayList<>();
		List<ClaimShard> ready = this.shards.values()
			.stream()
			.filter((shard) -> shard.isIdle() && shard.waiting() > 0)
			.filter((shard) -> shard.hasWaitingClaim() || nowNanos - shard.waitingSinceNanos() >= SETTLE_DELAY_NANOS)
			.filter((shard) -> this.notBeforeNanos.getOrDefault(shard.object(), nowNanos) - nowNanos <= 0)
			// Pages that were just read are written before others are read. After an
			// outage hundreds of pages have pending writes; ordered by urgency alone,
			// each would be stale again before its write and be read over and over.
			.sorted(Comparator.comparing((ClaimShard shard) -> shard.isCachedSince(nowNanos - MAX_PAGE_AGE_NANOS))
				.thenComparing(ClaimShard::hasWaitingClaim)
				.thenComparing(ClaimShard::waiting)
				.reversed())
			.toList();
		// Reads count against the write limit as well, since a page read while no write
		// is allowed would be stale by the time one is.
		double available = this.tokens - this.shards.values().stream().filter(ClaimShard::isReading).count();
		for (ClaimShard shard : ready) {
			if (available < 1) {
				break;
			}
			available--;
			shard.evictBefore(nowNanos - MAX_PAGE_AGE_NANOS);
			startNext(shard, effects);
		}
		evictIdle();
		return effects;
	}

	private void startNext(ClaimShard shard, List<ClaimEffect> effects) {
		this.notBeforeNanos.remove(shard.object());
		int before = effects.size();
		shard.startNext(effects);
		boolean wrote = effects.subList(before, effects.size())
			.stream()
			.anyMatch((effect) -> effect instanceof ClaimEffect.Write);
		if (wrote) {
			this.tokens--;
		}
	}

	private void refill(long nowNanos) {
		this.tokens = Math.min(MAX_TOKENS, this.tokens + (nowNanos - this.lastRefillNanos) * this.writesPerNano);
		this.lastRefillNanos = nowNanos;
	}

	private void evictIdle() {
		int surplus = this.shards.size() - MAX_IDLE_SHARDS;
		if (surplus <= 0) {
			return;
		}
		List<String> idle = this.shards.values()
			.stream()
			.filter((shard) -> shard.isIdle() && shard.waiting() == 0)
			.map(ClaimShard::object)
			.limit(surplus)
			.toList();
		idle.forEach(this.shards::remove);
		idle.forEach(this.notBeforeNanos::remove);
	}

}
