package org.wisteriapost.standin.sim.dispatch;

import java.time.Duration;
import java.util.Optional;

import org.wisteriapost.policy.routing.EngineSpec;

/**
 * The engines of a simulated service.
 *
 * @param spec the declared speed and size of an engine
 * @param queue the requests that an engine queues beyond its slots
 * @param target the target latency of the first event
 */
public record EngineProfile(EngineSpec spec, int queue, Duration target) {

	private static final int QUEUE = 24;

	/**
	 * Returns engines with few long token steps in a pass.
	 */
	static EngineProfile shortPasses() {
		return new EngineProfile(new EngineSpec(16, 300_000, 5, 9.3, 0.02, 0.03, 20, 1.2, 2048, 1000, 90, "lm", 300),
				QUEUE, Duration.ofMillis(500));
	}

	/**
	 * Returns engines with a large KV cache and many short token steps in a pass.
	 */
	static EngineProfile longPasses() {
		return new EngineProfile(
				new EngineSpec(12, 1_640_000, 7, 6.73, 0.0219, 0.0068, 30.6, 0.647, 2048, 930, 125, "lm", 300), QUEUE,
				Duration.ofMillis(400));
	}

	/**
	 * Returns the requests that one engine completes in a second with all slots taken.
	 */
	double requestsPerSecond() {
		double step = this.spec.stepMillis() + this.spec.slots() * this.spec.stepMillisPerDecodingRequest();
		double prefill = this.spec.meanPromptTokens() / this.spec.prefillTokensPerMilli();
		double holdMillis = this.spec.meanAnswerTokens() * step + this.spec.slots() * prefill;
		return this.spec.slots() * Duration.ofSeconds(1).toMillis() / holdMillis;
	}

	/**
	 * Returns the predefined engines of a name.
	 */
	public static Optional<EngineProfile> named(String name) {
		return switch (name) {
			case "short-passes" -> Optional.of(shortPasses());
			case "long-passes" -> Optional.of(longPasses());
			default -> Optional.empty();
		};
	}

}
