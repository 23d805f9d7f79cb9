package org.wisteriapost.policy.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/**
 * A request that was in progress at runners when the connections to these were lost.
 *
 * @param contentHash equal for all attempts of the request
 * @param losses the runners that were lost, in order of time
 */
public record SuspectRequest(long contentHash, List<Loss> losses) {

	/** Further losses only prolong a quarantine, whose length is limited. */
	static final int MAX_LOSSES = 8;

	private static final Comparator<Loss> BY_TIME = Comparator.comparingLong(Loss::atNanos)
		.thenComparingLong(Loss::runner);

	public SuspectRequest {
		losses = List.copyOf(losses);
	}

	/**
	 * Returns this request with further losses. A runner that is known to be lost keeps
	 * its time.
	 */
	SuspectRequest with(List<Loss> further) {
		List<Loss> merged = new ArrayList<>(this.losses);
		further.stream().filter((loss) -> !includes(merged, loss.runner())).forEach(merged::add);
		if (merged.size() == this.losses.size()) {
			return this;
		}
		merged.sort(BY_TIME);
		while (merged.size() > MAX_LOSSES) {
			merged.remove(MAX_LOSSES - 1);
		}
		return new SuspectRequest(this.contentHash, merged);
	}

	/**
	 * Returns this request without some of its losses.
	 */
	SuspectRequest without(Predicate<Loss> explained) {
		return new SuspectRequest(this.contentHash, this.losses.stream().filter(explained.negate()).toList());
	}

	private static boolean includes(List<Loss> losses, long runner) {
		return losses.stream().anyMatch((loss) -> loss.runner() == runner);
	}

	long lastLossNanos() {
		return this.losses.getLast().atNanos();
	}

	/**
	 * The loss of a runner.
	 *
	 * @param runner hash of the runner's incarnation
	 * @param atNanos when the connections to it ended, on the monotonic clock
	 */
	public record Loss(long runner, long atNanos) {
	}

}
