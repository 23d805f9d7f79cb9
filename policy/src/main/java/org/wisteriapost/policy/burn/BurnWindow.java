package org.wisteriapost.policy.burn;

import java.time.Duration;

/**
 * The time windows of burn rates, each divided into buckets. A short window detects a
 * spike, a long one a slow but steady loss of budget.
 */
public enum BurnWindow {

	/** Five minutes, for alerts that need an immediate reaction. */
	FIVE_MINUTES("5m", Duration.ofMinutes(5), Duration.ofSeconds(15)),
	ONE_HOUR("1h", Duration.ofHours(1), Duration.ofMinutes(2)),
	SIX_HOURS("6h", Duration.ofHours(6), Duration.ofMinutes(10)),
	/** Three days, the period of the error budget. */
	THREE_DAYS("3d", Duration.ofDays(3), Duration.ofHours(1));

	private final String label;

	private final Duration length;

	private final Duration bucket;

	BurnWindow(String label, Duration length, Duration bucket) {
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
