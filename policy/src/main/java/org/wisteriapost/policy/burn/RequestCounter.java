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
public final class RequestCounter {

	/** Counts the requests of all series over the limit. */
	public static final RequestSeries OVERFLOW = new RequestSeries("others", "others");

	private static final int MAX_SERIES = 512;

	private final Map<RequestSeries, Map<BurnWindow, Ring>> series = new LinkedHashMap<>();

	private RequestCounter() {
	}

	public static RequestCounter create() {
		return new RequestCounter();
	}

	/**
	 * Counts a request.
	 * @param nowMillis current time in milliseconds since the Unix epoch
	 */
	public void count(RequestSeries key, RequestResult result, long nowMillis) {
		RequestSeries counted = (this.series.containsKey(key) || this.series.size() < MAX_SERIES) ? key : OVERFLOW;
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
			Map<String, ResultCounts> windows = new LinkedHashMap<>();
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
			this.counts = new long[buckets][RequestResult.values().length];
		}

		private void count(RequestResult result, long bucket) {
			int slot = (int) (bucket % this.bucketNumbers.length);
			if (this.bucketNumbers[slot] != bucket) {
				this.bucketNumbers[slot] = bucket;
				Arrays.fill(this.counts[slot], 0);
			}
			this.counts[slot][result.ordinal()]++;
		}

		private ResultCounts sum(long lastBucket) {
			ResultCounts sum = ResultCounts.NONE;
			for (int i = 0; i < this.bucketNumbers.length; i++) {
				if (this.bucketNumbers[i] > lastBucket - this.bucketNumbers.length
						&& this.bucketNumbers[i] <= lastBucket) {
					sum = sum.plus(new ResultCounts(Arrays.stream(this.counts[i]).boxed().toList()));
				}
			}
			return sum;
		}

	}

}
