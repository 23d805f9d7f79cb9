package org.wisteriapost.standin.sim;

import java.util.List;
import java.util.Map;

import org.wisteriapost.policy.request.RequestEffect;
import org.wisteriapost.policy.request.RequestEvent;

/**
 * What one simulated entry does with its requests.
 */
public interface EntryPolicy {

	/**
	 * Returns the effects of an event.
	 */
	List<RequestEffect> apply(RequestEvent event, long nowNanos);

	/**
	 * Returns whether the runners' gates refuse calls over capacity for this policy;
	 * without, calls wait at the runner.
	 */
	boolean gated();

	/**
	 * Returns the violations by invariant.
	 */
	default Map<String, Long> violations() {
		return Map.of();
	}

	/**
	 * Makes the policy of one entry.
	 */
	interface Factory {

		/**
		 * Returns the policy of an entry.
		 * @param seed of this entry's generator
		 */
		EntryPolicy create(LoadProfile profile, long seed);

	}

}
