package org.wisteriapost.policy.burn;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts one entry's requests by series and result in rings of buckets. Used by one
 * thread.
 *
 * The number of series is bounded: organisations and services come from settings and
 * bundles, but a mistake there must not grow an entry's heap without end. What is over
 * the bound is counted together under {@link #OTHERS}.
 */
public final class BurnLedger {

	/** Where series over the bound are counted. */
	public static final Series OTHERS = new Series("others", "others");

	private static final int MAX_SERIES = 512;

	private final Map<Series, Map<Window, Ring>> series = new LinkedHashMap<>();

	private BurnLedger() {
	}

	/**
	 * Returns a ledger with nothing in it.
	 */
	public static BurnLedger create() {
		return new BurnLedger();
	}

	/**
	 * Counts one request.
	 * @param nowMillis in milliseconds since 1970
	 */
	public void count(Series key, Result result, long nowMillis) {
		Series counted = (this.series.containsKey(key) || this.series.size() < MAX_SERIES) ? key : OTHERS;
		Map<Window, Ring> rings = this.series.computeIfAbsent(counted, (absent) -> rings());
		rings.forEach((window, ring) -> ring.count(result, nowMillis / window.bucketMillis()));
	}

	/**
	 * Returns what was counted in each window up to now.
	 */
	public BurnSnapshot snapshot(String entry, long nowMillis) {
		List<BurnSnapshot.Row> rows = new ArrayList<>();
		this.series.forEach((key, rings) -> {
			Map<String, Counts> windows = new LinkedHashMap<>();
			rings.forEach((window, ring) -> windows.put(window.label(), ring.sum(nowMillis / window.bucketMillis())));
			rows.add(new BurnSnapshot.Row(key.service(), key.organisation(), windows));
		});
		return new BurnSnapshot(entry, nowMillis, rows);
	}

	private static Map<Window, Ring> rings() {
		Map<Window, Ring> rings = new EnumMap<>(Window.class);
		for (Window window : Window.values()) {
			rings.put(window, new Ring(window.buckets()));
		}
		return rings;
	}

	/**
	 * Buckets numbered by time; one that is overwritten by a later round starts at zero.
	 */
	private static final class Ring {

		private final long[] numbers;

		private final long[][] counts;

		private Ring(int buckets) {
			this.numbers = new long[buckets];
			this.counts = new long[buckets][Result.values().length];
		}

		private void count(Result result, long bucket) {
			int slot = (int) (bucket % this.numbers.length);
			if (this.numbers[slot] != bucket) {
				this.numbers[slot] = bucket;
				Arrays.fill(this.counts[slot], 0);
			}
			this.counts[slot][result.ordinal()]++;
		}

		private Counts sum(long lastBucket) {
			Counts sum = Counts.NONE;
			for (int i = 0; i < this.numbers.length; i++) {
				if (this.numbers[i] > lastBucket - this.numbers.length && this.numbers[i] <= lastBucket) {
					sum = sum.plus(new Counts(Arrays.stream(this.counts[i]).boxed().toList()));
				}
			}
			return sum;
		}

	}

}
