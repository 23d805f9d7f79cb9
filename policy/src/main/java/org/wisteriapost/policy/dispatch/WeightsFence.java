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

	// The part of the margin that is not the wait at the runner: the way of the news to
	// this entry and of the request to the runner.
	private static final Duration WAYS = Duration.ofMillis(400);

	// A request may wait longer than the slowest that was seen, while a burst grows.
	private static final double WAIT_FACTOR = 1.5;

	// Taken back so long before the bound: the runner hears of it within this time.
	private static final Duration LAST_CHANCE = Duration.ofMillis(100);

	// What an entry finds named when it starts was named at a time that it does not know.
	// It binds soon: the older weights may be over their time already.
	private static final Duration FOUND = Duration.ofMillis(3000);

	private final long inForceNanos;

	private final long openNanos;

	private final Map<String, List<Named>> named = new HashMap<>();

	WeightsFence(Duration inForce) {
		this.inForceNanos = inForce.toNanos();
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
		list.add(new Named(weights.version(), nowNanos + wait, nowNanos + this.inForceNanos));
	}

	/**
	 * Returns the version that requests must start on, or a newer one, when they wait at
	 * runners for as long as was seen lately.
	 * @param waitNanos the longest wait for a first event of late at the runners that
	 * count
	 */
	OptionalInt required(String model, long waitNanos, long nowNanos) {
		long margin = WAYS.toNanos() + (long) (WAIT_FACTOR * waitNanos);
		return required(model, nowNanos + Math.max(0, margin - MARGIN.toNanos()));
	}

	/**
	 * Returns until when a request that was sent to a runner with a version must have
	 * begun there, or be taken back.
	 */
	long beginBy(String model, int version) {
		return this.named.getOrDefault(model, List.of())
			.stream()
			.filter((one) -> one.version > version)
			.mapToLong((one) -> one.endsNanos - LAST_CHANCE.toNanos())
			.min()
			.orElse(Long.MAX_VALUE);
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

	/**
	 * One naming.
	 *
	 * @param version what was named
	 * @param bindsNanos from when on requests are sent to nothing older
	 * @param endsNanos from when on none may begin on anything older
	 */
	private record Named(int version, long bindsNanos, long endsNanos) {
	}

}
