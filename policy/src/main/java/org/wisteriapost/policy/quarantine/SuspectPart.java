package org.wisteriapost.policy.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;

/**
 * A part of prompts with which requests were about to begin, or had just begun, at
 * runners that crashed.
 *
 * @param id the part
 * @param losses the runners that were lost since an answer was last known to begin on it
 * and go on, in order of time
 * @param goodNanos when that answer began, on the monotonic clock
 */
public record SuspectPart(long id, List<SuspectRequest.Loss> losses, OptionalLong goodNanos) {

	/** More than crash until a part is recognised. */
	static final int MAX_LOSSES = 32;

	private static final Comparator<SuspectRequest.Loss> BY_TIME = Comparator
		.comparingLong(SuspectRequest.Loss::atNanos)
		.thenComparingLong(SuspectRequest.Loss::runner);

	public SuspectPart {
		losses = List.copyOf(losses);
	}

	/**
	 * Returns this part with what is known elsewhere of the same part.
	 */
	SuspectPart with(SuspectPart other) {
		OptionalLong good = GoodTimes.latest(this.goodNanos, this.losses, other.goodNanos, other.losses);
		List<SuspectRequest.Loss> merged = new ArrayList<>(this.losses);
		other.losses.stream()
			.filter((loss) -> merged.stream().noneMatch((known) -> known.runner() == loss.runner()))
			.forEach(merged::add);
		if (good.isPresent()) {
			merged.removeIf((loss) -> loss.atNanos() <= good.getAsLong());
		}
		merged.sort(BY_TIME);
		// The first and the last losses tell over how long a time they came.
		while (merged.size() > MAX_LOSSES) {
			merged.remove(MAX_LOSSES / 2);
		}
		return new SuspectPart(this.id, merged, good);
	}

	/**
	 * Returns whether an answer that began then clears the part of losses.
	 */
	boolean clearedBy(long begunNanos) {
		return this.losses.stream().anyMatch((loss) -> loss.atNanos() <= begunNanos);
	}

}
