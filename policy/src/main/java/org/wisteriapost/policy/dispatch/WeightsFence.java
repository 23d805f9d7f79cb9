package org.wisteriapost.policy.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
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

	private static final Duration MARGIN = Duration.ofMillis(1200);

	// What an entry finds named when it starts was named at a time that it does not know.
	// It binds soon: the older weights may be over their time already.
	private static final Duration FOUND = Duration.ofMillis(3000);

	private final long openNanos;

	private final Map<String, List<Named>> named = new HashMap<>();

	WeightsFence(Duration inForce) {
		this.openNanos = inForce.minus(MARGIN).toNanos();
	}

	/**
	 * Hears that a version is named.
	 * @param found whether it was there already when this entry first read the store
	 */
	void named(NamedWeights weights, boolean found, long nowNanos) {
		List<Named> list = this.named.computeIfAbsent(weights.model(), (model) -> new ArrayList<>());
		if (!list.isEmpty() && list.getLast().version >= weights.version()) {
			return;
		}
		long wait = found ? Math.min(FOUND.toNanos(), this.openNanos) : this.openNanos;
		list.add(new Named(weights.version(), nowNanos + wait));
	}

	/**
	 * Returns the version that requests must start on, or a newer one.
	 */
	OptionalInt required(String model, long nowNanos) {
		OptionalInt required = OptionalInt.empty();
		for (Named one : this.named.getOrDefault(model, List.of())) {
			if (nowNanos >= one.bindsNanos) {
				required = OptionalInt.of(one.version);
			}
		}
		return required;
	}

	private record Named(int version, long bindsNanos) {
	}

}
