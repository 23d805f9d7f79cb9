package org.wisteriapost.policy.burn;

import java.time.Duration;

/**
 * The spans that burn is looked at over, each kept in buckets a fraction of its length. A
 * short and a long window together tell a spike from a slow leak.
 */
public enum Window {

	/** Five minutes, for a page that must go out now. */
	FIVE_MINUTES("5m", Duration.ofMinutes(5), Duration.ofSeconds(15)),
	/** One hour. */
	ONE_HOUR("1h", Duration.ofHours(1), Duration.ofMinutes(2)),
	/** Six hours. */
	SIX_HOURS("6h", Duration.ofHours(6), Duration.ofMinutes(10)),
	/** Three days, over which the budget is stated. */
	THREE_DAYS("3d", Duration.ofDays(3), Duration.ofHours(1));

	private final String label;

	private final Duration length;

	private final Duration bucket;

	Window(String label, Duration length, Duration bucket) {
		this.label = label;
		this.length = length;
		this.bucket = bucket;
	}

	public String label() {
		return this.label;
	}

	public long lengthMillis() {
		return this.length.toMillis();
	}

	public long bucketMillis() {
		return this.bucket.toMillis();
	}

	int buckets() {
		return (int) (lengthMillis() / bucketMillis());
	}

}
