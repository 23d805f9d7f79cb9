package org.wisteriapost.policy.quarantine;

import java.util.List;
import java.util.OptionalLong;
import java.util.stream.Stream;

/**
 * Merges what entries know of the latest time at which a request or a part of prompts was
 * good.
 */
final class GoodTimes {

	// Relayed times shift by the time in transit. Telling each shifted time on would
	// never
	// end, where links form a circle.
	private static final long STEP_NANOS = 1_000_000_000;

	private GoodTimes() {
	}

	/**
	 * Returns the time that counts: the told one only if it clears a loss, or is later by
	 * a step.
	 */
	static OptionalLong latest(OptionalLong known, List<SuspectRequest.Loss> knownLosses, OptionalLong told,
			List<SuspectRequest.Loss> toldLosses) {
		if (known.isEmpty() || told.isEmpty()) {
			return known.isPresent() ? known : told;
		}
		long before = known.getAsLong();
		long after = told.getAsLong();
		boolean clearsLosses = Stream.concat(knownLosses.stream(), toldLosses.stream())
			.anyMatch((loss) -> loss.atNanos() > before && loss.atNanos() <= after);
		return (clearsLosses || after > before + STEP_NANOS) ? told : known;
	}

}
