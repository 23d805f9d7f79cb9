package org.wisteriapost.policy.burn;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts an entry's requests by series and result in ring buffers of time buckets. Not
 * thread-safe.
 *
 * The number of series is bounded, so that an error in the settings or bundles, which
 * define organisations and services, cannot exhaust the entry's heap. Further series are
 * counted together under {@link #OVERFLOW}.
 */
public final class BurnLedger {

	/** Counts the requests of all series over the limit. */
	public static final Series OVERFLOW = new Series("others", "others");

	private static final int MAX_SERIES = 512;

	private final Map<Series, Map<BurnWindow, Ring>> series = new LinkedHashMap<>();

	private BurnLedger() {
	}

	public static BurnLedger create() {
		return new BurnLedger();
	}

	/**
	 * Counts a request.
	 * @param nowMillis current time in milliseconds since the Unix epoch
	 */
	public void count(Series key, Result result, long nowMillis) {
		Series counted = (this.series.containsKey(key) || this.series.size() < MAX_SERIES) ? key : OVERFLOW;
		Map<BurnWindow, Ring> rings = this.series.computeIfAbsent(counted, (absent) -> rings());
		rings.forEach((window, ring) -> ring.count(result, nowMillis / window.bucketMillis()));
	}

	/**
	 * Returns the counts of each series in the windows that end now.
	 * @param nowMillis current time in milliseconds since the Unix epoch
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

	private static Map<BurnWindow, Ring> rings() {
		Map<BurnWindow, Ring> rings = new EnumMap<>(BurnWindow.class);
		for (BurnWindow window : BurnWindow.values()) {
			rings.put(window, new Ring(window.buckets()));
		}
		return rings;
	}

	/**
	 * Ring buffer of buckets numbered by time. A bucket is reset to zero when its slot is
	 * reused for a later time.
	 */
	private static final class Ring {

		private final long[] bucketNumbers;

		private final long[][] counts;

		private Ring(int buckets) {
			this.bucketNumbers = new long[buckets];
			this.counts = new long[buckets][Result.values().length];
		}

		private void count(Result result, long bucket) {
			int slot = (int) (bucket % this.bucketNumbers.length);
			if (this.bucketNumbers[slot] != bucket) {
				this.bucketNumbers[slot] = bucket;
				Arrays.fill(this.counts[slot], 0);
			}
			this.counts[slot][result.ordinal()]++;
		}

		private Counts sum(long lastBucket) {
			Counts sum = Counts.NONE;
			for (int i = 0; i < this.bucketNumbers.length; i++) {
				if (this.bucketNumbers[i] > lastBucket - this.bucketNumbers.length
						&& this.bucketNumbers[i] <= lastBucket) {
					sum = sum.plus(new Counts(Arrays.stream(this.counts[i]).boxed().toList()));
				}
			}
			return sum;
		}

	}

}
