package org.wisteriapost.policy.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;

import org.wisteriapost.policy.fleet.NamedWeights;

/**
 * Says from when on requests may start on none but newly named weights.
 *
 * Runners change over at different times and go on serving the older weights until then.
 * Before the promised time has passed, requests are bound to the new version at the
 * runner itself, so that one that lags refuses them instead of answering from weights
 * that are no longer accepted. The margin covers the wait in the runner's queue and the
 * way of the news to this entry.
 */
final class WeightsFence {

	private static final Duration MARGIN = Duration.ofMillis(1500);

	private final long openNanos;

	private final Map<String, Named> named = new HashMap<>();

	WeightsFence(Duration inForce) {
		this.openNanos = inForce.minus(MARGIN).toNanos();
	}

	void named(NamedWeights weights, long nowNanos) {
		Named known = this.named.get(weights.model());
		if (known == null) {
			// What is in force already when the entry starts.
			this.named.put(weights.model(), new Named(weights.version(), nowNanos, OptionalInt.empty()));
			return;
		}
		if (weights.version() > known.version) {
			OptionalInt settled = required(weights.model(), nowNanos);
			this.named.put(weights.model(), new Named(weights.version(), nowNanos, settled));
		}
	}

	/**
	 * Returns the version that requests must start on, when there is one.
	 */
	OptionalInt required(String model, long nowNanos) {
		Named known = this.named.get(model);
		if (known == null) {
			return OptionalInt.empty();
		}
		if (nowNanos - known.atNanos >= this.openNanos) {
			return OptionalInt.of(known.version);
		}
		return known.before;
	}

	private record Named(int version, long atNanos, OptionalInt before) {
	}

}
