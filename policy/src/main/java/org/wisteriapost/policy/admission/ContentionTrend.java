package org.wisteriapost.policy.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Forecasts free capacity from the trend of the contention: it is forecast while no
 * request, or at fewer and fewer entries a request, finds no slot.
 */
public final class ContentionTrend implements RetryHints {

	private static final Duration RECENT = Duration.ofMillis(600);

	private static final Duration STEP = Duration.ofMillis(100);

	private static final double FAST = 0.3;

	private static final double SLOW = 0.08;

	// The mean over some 0.3 s is below this share of the mean over some 1.2 s.
	private static final double FALLING = 0.7;

	// At this share of the entries nearly all requests find a slot.
	private static final double ABSENT = 0.05;

	private final ContentionByRank contention;

	private final Map<String, Means> services = new HashMap<>();

	private int entryCount = 1;

	public ContentionTrend(ContentionByRank contention) {
		this.contention = contention;
	}

	/**
	 * Updates the number of entries, including this one.
	 */
	public void updateEntryCount(int count) {
		this.entryCount = Math.max(1, count);
	}

	@Override
	public boolean forecast(String service, long nowNanos) {
		Means means = this.services.computeIfAbsent(service, (name) -> new Means(nowNanos));
		means.advance(share(service, nowNanos), nowNanos);
		return means.fast < ABSENT || means.fast < FALLING * means.slow;
	}

	// A retry is served after requests of every rank.
	private double share(String service, long nowNanos) {
		return (double) this.contention.entries(service, ContentionByRank.LAST_RANK, RECENT, nowNanos)
				/ this.entryCount;
	}

	/** Means of the share of contended entries. */
	private static final class Means {

		private double fast;

		private double slow;

		private long steppedNanos;

		Means(long nowNanos) {
			this.steppedNanos = nowNanos;
		}

		private void advance(double share, long nowNanos) {
			long steps = (nowNanos - this.steppedNanos) / STEP.toNanos();
			this.steppedNanos += steps * STEP.toNanos();
			this.fast += (1 - Math.pow(1 - FAST, steps)) * (share - this.fast);
			this.slow += (1 - Math.pow(1 - SLOW, steps)) * (share - this.slow);
		}

	}

}
