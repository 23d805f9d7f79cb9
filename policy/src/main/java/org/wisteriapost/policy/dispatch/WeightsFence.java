package org.wisteriapost.policy.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

import org.wisteriapost.policy.fleet.TargetWeights;

/**
 * Determines from when requests may only start on the latest target weights version.
 *
 * Runners switch weights at different times and serve the older version until then. Some
 * time before the target version takes effect, requests are restricted to it, so that a
 * runner that lags rejects them instead of responding from a superseded version.
 */
final class WeightsFence {

	// The part of the margin for propagation: of the target version to this entry and of
	// the request to the runner.
	private static final Duration PROPAGATION_MARGIN = Duration.ofMillis(400);

	// While a burst grows, a request may wait longer than any before it.
	private static final double WAIT_FACTOR = 1.5;

	// Requests that have not started are cancelled this long before the target version
	// takes effect. The cancellation reaches the runner within this time.
	private static final Duration CANCEL_MARGIN = Duration.ofMillis(100);

	// The publication time of a target version that an entry finds at startup is
	// unknown. It is required soon, since the older version may be superseded already.
	private static final Duration FOUND_AT_START_DELAY = Duration.ofMillis(3000);

	private final long activationDelayNanos;

	private final long requiredDelayNanos;

	private final Map<String, List<Target>> targets = new HashMap<>();

	WeightsFence(Duration activationDelay) {
		this.activationDelayNanos = activationDelay.toNanos();
		this.requiredDelayNanos = activationDelay.minus(TargetWeights.REQUIRED_MARGIN).toNanos();
	}

	/**
	 * Records a target weights version.
	 * @param found whether it was present when this entry first read the store
	 */
	void addTarget(TargetWeights weights, boolean found, long nowNanos) {
		List<Target> list = this.targets.computeIfAbsent(weights.model(), (model) -> new ArrayList<>());
		if (!list.isEmpty() && list.getLast().version >= weights.version()) {
			return;
		}
		long delay = found ? Math.min(FOUND_AT_START_DELAY.toNanos(), this.requiredDelayNanos)
				: this.requiredDelayNanos;
		list.add(new Target(weights.version(), nowNanos + delay, nowNanos + this.activationDelayNanos));
	}

	/**
	 * Returns the minimum version for new requests, given the recent waits at runners.
	 * @param waitNanos the longest recent wait for a first event at the considered
	 * runners
	 */
	OptionalInt requiredVersion(String model, long waitNanos, long nowNanos) {
		long margin = PROPAGATION_MARGIN.toNanos() + (long) (WAIT_FACTOR * waitNanos);
		return requiredVersion(model, nowNanos + Math.max(0, margin - TargetWeights.REQUIRED_MARGIN.toNanos()));
	}

	/**
	 * Returns the time by which a request sent to a runner with the given version must
	 * have started. Otherwise it must be cancelled.
	 */
	long startDeadlineNanos(String model, int version) {
		return this.targets.getOrDefault(model, List.of())
			.stream()
			.filter((target) -> target.version > version)
			.mapToLong((target) -> target.activeFromNanos - CANCEL_MARGIN.toNanos())
			.min()
			.orElse(Long.MAX_VALUE);
	}

	/**
	 * Returns the minimum version for requests that start at the given time.
	 */
	OptionalInt requiredVersion(String model, long nowNanos) {
		OptionalInt required = OptionalInt.empty();
		for (Target target : this.targets.getOrDefault(model, List.of())) {
			if (nowNanos >= target.requiredFromNanos) {
				required = OptionalInt.of(target.version);
			}
		}
		return required;
	}

	/**
	 * A target weights version.
	 *
	 * @param version the version
	 * @param requiredFromNanos the time from which requests are only sent to runners with
	 * at least this version
	 * @param activeFromNanos the time from which no request may start on an older version
	 */
	private record Target(int version, long requiredFromNanos, long activeFromNanos) {
	}

}
