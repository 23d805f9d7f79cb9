package org.wisteriapost.standin.sim;

import java.util.List;
import java.util.Map;

import org.wisteriapost.policy.request.RequestEffect;
import org.wisteriapost.policy.request.RequestEvent;

/**
 * The request handling of one simulated entry, from events to effects.
 */
public interface EntryPolicy {

	List<RequestEffect> apply(RequestEvent event, long nowNanos);

	/**
	 * Returns whether the runners' gates reject calls over capacity. If not, calls wait
	 * at the runner without a limit.
	 */
	boolean gated();

	/**
	 * Returns the number of violations of each invariant.
	 */
	default Map<String, Long> violations() {
		return Map.of();
	}

	/**
	 * Creates the policy of each entry.
	 */
	interface Factory {

		/**
		 * Creates the policy of one entry.
		 * @param seed the seed of this entry's random generator
		 */
		EntryPolicy create(LoadProfile profile, long seed);

	}

}
