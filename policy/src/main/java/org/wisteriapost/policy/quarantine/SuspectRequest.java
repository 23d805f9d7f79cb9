package org.wisteriapost.policy.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Predicate;

/**
 * A request that was in progress at runners when the connections to these were lost.
 *
 * @param contentHash equal for all attempts of the request
 * @param losses the runners that were lost since it last ran well, in order of time
 * @param completedNanos when the latest run that was completed began, on the monotonic
 * clock; empty if none is known
 */
public record SuspectRequest(long contentHash, List<Loss> losses, OptionalLong completedNanos) {

	/** Further losses only prolong a quarantine, whose length is limited. */
	static final int MAX_LOSSES = 8;

	/** For how long a request counts as one that many callers send. */
	static final Duration COMPLETION_TTL = Duration.ofMinutes(1);

	// Many callers may send a request that was completed shortly before: some of its
	// attempts are in progress at any crash.
	private static final long MOMENT_NANOS = Duration.ofSeconds(1).toNanos();

	private static final Comparator<Loss> BY_TIME = Comparator.comparingLong(Loss::atNanos)
		.thenComparingLong(Loss::runner);

	public SuspectRequest {
		losses = List.copyOf(losses);
	}

	/**
	 * Creates a request of which no run is known to have been completed.
	 */
	public SuspectRequest(long contentHash, List<Loss> losses) {
		this(contentHash, losses, OptionalLong.empty());
	}

	/**
	 * Returns this request with further losses, and without those before a completed run
	 * began. A runner that is known to be lost keeps its time.
	 */
	SuspectRequest with(List<Loss> further, OptionalLong completed) {
		List<Loss> merged = new ArrayList<>(this.losses);
		further.stream().filter((loss) -> !includes(merged, loss.runner())).forEach(merged::add);
		OptionalLong latest = GoodTimes.latest(this.completedNanos, this.losses, completed, further);
		latest.ifPresent((begun) -> merged.removeIf((loss) -> loss.atNanos() <= begun));
		merged.sort(BY_TIME);
		// The first and the last losses tell over how long a time they came.
		while (merged.size() > MAX_LOSSES) {
			merged.remove(MAX_LOSSES / 2);
		}
		return new SuspectRequest(this.contentHash, merged, latest);
	}

	/**
	 * Returns this request without some of its losses.
	 */
	SuspectRequest without(Predicate<Loss> explained) {
		return new SuspectRequest(this.contentHash, this.losses.stream().filter(explained.negate()).toList(),
				this.completedNanos);
	}

	/**
	 * Returns whether the request was completed shortly before its first loss.
	 */
	boolean completedLately() {
		return this.completedNanos.isPresent() && !this.losses.isEmpty()
				&& this.losses.getFirst().atNanos() - this.completedNanos.getAsLong() < COMPLETION_TTL.toNanos();
	}

	/**
	 * Returns the number of losses that count. An outage ends many runners at once, and
	 * with them runs of a request that many callers send: losses of one that was
	 * completed shortly before count by moments.
	 */
	int countedLosses() {
		if (!completedLately()) {
			return this.losses.size();
		}
		int moments = 0;
		long lastMoment = 0;
		for (Loss loss : this.losses) {
			if (moments == 0 || loss.atNanos() - lastMoment > MOMENT_NANOS) {
				moments++;
				lastMoment = loss.atNanos();
			}
		}
		return moments;
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
