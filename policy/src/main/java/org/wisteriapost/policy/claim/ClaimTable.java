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
import org.wisteriapost.policy.claim.ClaimRecord.KeptAnswer;
import org.wisteriapost.policy.claim.ClaimRecord.State;

/**
 * Claims keys for calls that may run at most once, and writes down what became of them.
 * Used by one thread.
 *
 * Made for bursts of calls against a platform that takes a few hundred writes a second
 * for all: this entry's writes are paced, and while one must wait, the wishes for its
 * page gather and share the next one. Callers that wait go before records that only have
 * to be brought up to date.
 */
public final class ClaimTable {

	// A short burst passes without a wait; the pace holds on average.
	private static final double BURST = 4;

	// Six entries that meet at one page write again after different times.
	private static final long CONFLICT_NANOS = Duration.ofMillis(8).toNanos();

	// No caller waits for these, so they wait for others to share their write with.
	private static final long SETTLE_NANOS = Duration.ofMillis(200).toNanos();

	// Another entry has most likely written the page since; a read costs less than a
	// write
	// that is bound to fail.
	private static final long FRESH_NANOS = Duration.ofMillis(10).toNanos();

	private static final long OUTAGE_NANOS = Duration.ofMillis(500).toNanos();

	// Pages at rest are kept for the next call in the same ten seconds only; each may be
	// some hundred kilobytes.
	private static final int MAX_RESTING = 16;

	private final UniformRandomProvider random;

	private final double writesPerNano;

	private final Map<String, ClaimShard> shards = new LinkedHashMap<>(16, 0.75f, true);

	private final Map<String, Long> notBefore = new LinkedHashMap<>();

	private double tokens = BURST;

	private long filledNanos;

	private ClaimTable(double writesPerSecond, UniformRandomProvider random, long nowNanos) {
		this.writesPerNano = writesPerSecond / Duration.ofSeconds(1).toNanos();
		this.random = random;
		this.filledNanos = nowNanos;
	}

	/**
	 * Returns a table without claims.
	 * @param writesPerSecond this entry's part of the platform's writes
	 */
	public static ClaimTable create(double writesPerSecond, UniformRandomProvider random, long nowNanos) {
		return new ClaimTable(writesPerSecond, random, nowNanos);
	}

	/**
	 * Claims a key.
	 * @param call hash of the call, so that a key cannot be used for two
	 * @param nonce never used before, by this or another entry
	 */
	public List<ClaimEffect> claim(long id, ClaimKey key, String call, String nonce, long nowNanos) {
		return wish(key, new ClaimWish.Claim(id, key, call, nonce, false, false), nowNanos);
	}

	/**
	 * Writes down what became of a claimed call.
	 */
	public List<ClaimEffect> settle(ClaimKey key, String nonce, State state, KeptAnswer answer, long nowNanos) {
		return wish(key, new ClaimWish.Settle(key, nonce, state, answer), nowNanos);
	}

	/**
	 * Takes back a claim whose call certainly did not run and will not.
	 */
	public List<ClaimEffect> release(ClaimKey key, String nonce, long nowNanos) {
		return wish(key, new ClaimWish.Release(key, nonce), nowNanos);
	}

	/**
	 * Takes an object's value as it is in the platform.
	 * @param conflict whether a write found it instead of what it expected
	 */
	public List<ClaimEffect> read(String object, Optional<byte[]> value, long version, boolean conflict,
			long nowNanos) {
		ClaimShard shard = this.shards.get(object);
		if (shard == null) {
			return List.of();
		}
		try {
			shard.read(value.map(ClaimPage::decode).orElse(ClaimPage.NONE), version, nowNanos);
		}
		catch (CodedException ex) {
			// Whatever is there, it may hold keys: nothing is claimed over it.
			return failed(object, false, nowNanos);
		}
		if (conflict) {
			this.notBefore.put(object, nowNanos + this.random.nextLong(CONFLICT_NANOS));
		}
		return steps(nowNanos);
	}

	/**
	 * Takes the confirmation of a write.
	 */
	public List<ClaimEffect> written(String object, long version, long nowNanos) {
		List<ClaimEffect> effects = new ArrayList<>();
		Optional.ofNullable(this.shards.get(object)).ifPresent((shard) -> shard.written(version, nowNanos, effects));
		effects.addAll(steps(nowNanos));
		return effects;
	}

	/**
	 * Takes the failure of a read or write.
	 * @param unconfirmed whether a write may have taken effect
	 */
	public List<ClaimEffect> failed(String object, boolean unconfirmed, long nowNanos) {
		List<ClaimEffect> effects = new ArrayList<>();
		Optional.ofNullable(this.shards.get(object)).ifPresent((shard) -> shard.failed(unconfirmed, effects));
		if (!unconfirmed) {
			this.notBefore.put(object, nowNanos + OUTAGE_NANOS + this.random.nextLong(OUTAGE_NANOS));
		}
		effects.addAll(steps(nowNanos));
		return effects;
	}

	/**
	 * Goes on with what had to wait.
	 */
	public List<ClaimEffect> tick(long nowNanos) {
		return steps(nowNanos);
	}

	/**
	 * Returns how many changes are not in the platform yet.
	 */
	public int unwritten() {
		return this.shards.values().stream().mapToInt((shard) -> shard.waiting() + (shard.rests() ? 0 : 1)).sum();
	}

	private List<ClaimEffect> wish(ClaimKey key, ClaimWish wish, long nowNanos) {
		ClaimShard shard = this.shards.computeIfAbsent(key.object(), ClaimShard::new);
		shard.wish(wish, nowNanos);
		if (wish instanceof ClaimWish.Claim claim && outage(key.object(), nowNanos)) {
			// Known to be down a moment ago: this caller is told now, not after a
			// timeout.
			List<ClaimEffect> effects = new ArrayList<>();
			shard.failed(false, effects);
			return effects;
		}
		return steps(nowNanos);
	}

	private boolean outage(String object, long nowNanos) {
		return this.notBefore.getOrDefault(object, nowNanos) - nowNanos > CONFLICT_NANOS
				&& this.shards.get(object).rests();
	}

	private List<ClaimEffect> steps(long nowNanos) {
		fill(nowNanos);
		List<ClaimEffect> effects = new ArrayList<>();
		List<ClaimShard> ready = this.shards.values()
			.stream()
			.filter((shard) -> shard.rests() && shard.waiting() > 0)
			.filter((shard) -> shard.urgent() || nowNanos - shard.waitingSinceNanos() >= SETTLE_NANOS)
			.filter((shard) -> this.notBefore.getOrDefault(shard.object(), nowNanos) - nowNanos <= 0)
			// What was read is written before anything else is read. After an outage each
			// of
			// some hundred pages has something to write; were they taken by urgency
			// alone,
			// a page would be stale again before its turn to be written came, and be read
			// over and over as fast as the platform answers.
			.sorted(Comparator.comparing((ClaimShard shard) -> shard.knownSince(nowNanos - FRESH_NANOS))
				.thenComparing(ClaimShard::urgent)
				.thenComparing(ClaimShard::waiting)
				.reversed())
			.toList();
		// A page is read to be written, so a read waits for the pace as well: pages read
		// while no write may follow would be stale when it may.
		double free = this.tokens - this.shards.values().stream().filter(ClaimShard::reads).count();
		for (ClaimShard shard : ready) {
			if (free < 1) {
				break;
			}
			free--;
			shard.forgetBefore(nowNanos - FRESH_NANOS);
			step(shard, effects);
		}
		forgetResting();
		return effects;
	}

	private void step(ClaimShard shard, List<ClaimEffect> effects) {
		this.notBefore.remove(shard.object());
		int before = effects.size();
		shard.step(effects);
		boolean wrote = effects.subList(before, effects.size())
			.stream()
			.anyMatch((effect) -> effect instanceof ClaimEffect.Write);
		if (wrote) {
			this.tokens--;
		}
	}

	private void fill(long nowNanos) {
		this.tokens = Math.min(BURST, this.tokens + (nowNanos - this.filledNanos) * this.writesPerNano);
		this.filledNanos = nowNanos;
	}

	private void forgetResting() {
		int surplus = this.shards.size() - MAX_RESTING;
		if (surplus <= 0) {
			return;
		}
		List<String> resting = this.shards.values()
			.stream()
			.filter((shard) -> shard.rests() && shard.waiting() == 0)
			.map(ClaimShard::object)
			.limit(surplus)
			.toList();
		resting.forEach(this.shards::remove);
		resting.forEach(this.notBefore::remove);
	}

}
