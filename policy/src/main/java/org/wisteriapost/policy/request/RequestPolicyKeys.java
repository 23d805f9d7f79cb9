package org.wisteriapost.policy.request;

import java.time.Duration;
import java.util.List;

import org.wisteriapost.kernel.settings.Setting;
import org.wisteriapost.kernel.settings.SettingsSchema;

/**
 * Settings of the request policy.
 */
public final class RequestPolicyKeys implements SettingsSchema {

	static final String ORGANISATION = "organisation ";

	static final Setting<Long> WEIGHT = Setting
		.number("organisation NAME", "weight", 1, 1000, "Share of this organisation against the others.")
		.orElse("1");

	static final Setting<Long> QUEUE_PER_ORGANISATION = Setting
		.number("requests", "queue-per-organisation", 1, 100000,
				"Requests of one organisation that may wait for one service.")
		.orElse("512");

	static final Setting<Long> QUEUE_PER_SERVICE = Setting
		.number("requests", "queue-per-service", 1, 100000, "Requests that may wait for one service.")
		.orElse("2048");

	static final Setting<Long> PRIORITY_HEAD_START = Setting
		.number("requests", "priority-head-start", 0, 100000,
				"Units of cost that a priority class may be ahead of the next lower one between organisations.")
		.orElse("20");

	static final Setting<Long> LONG_COST = Setting
		.number("requests", "long-cost", 2, 100000, "Units of cost from which a request counts as long.")
		.orElse("8");

	static final Setting<Double> LONG_SHARE = Setting
		.fraction("requests", "long-share", 0.05, 1, "Share of the calls in flight that may be long.")
		.orElse("0.5");

	static final Setting<Double> RETRY_SHARE = Setting
		.fraction("requests", "retry-share", 0, 1, "Retries allowed for each first dispatch.")
		.orElse("0.1");

	static final Setting<Duration> SLOW_START = Setting
		.millis("requests", "slow-start-millis", 0, 600000, "How long a runner that returns is ramped up.")
		.orElse("5000");

	static final Setting<Duration> EJECTION = Setting
		.millis("requests", "ejection-millis", 100, 600000, "How long a runner is ejected the first time.")
		.orElse("5000");

	static final Setting<Double> EJECTED_SHARE = Setting
		.fraction("requests", "ejected-share", 0, 0.9, "Share of a service's runners that may be ejected at once.")
		.orElse("0.3");

	@Override
	public List<Setting<?>> keys() {
		return List.of(WEIGHT, QUEUE_PER_ORGANISATION, QUEUE_PER_SERVICE, PRIORITY_HEAD_START, LONG_COST, LONG_SHARE,
				RETRY_SHARE, SLOW_START, EJECTION, EJECTED_SHARE);
	}

}
