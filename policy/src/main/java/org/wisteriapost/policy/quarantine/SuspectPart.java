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

	// Relayed times shift by the time in transit; less than this is not worth telling on.
	private static final long GOOD_STEP_NANOS = 1_000_000_000;

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
		OptionalLong good = latestGood(other);
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

	private OptionalLong latestGood(SuspectPart other) {
		if (this.goodNanos.isEmpty() || other.goodNanos.isEmpty()) {
			return this.goodNanos.isPresent() ? this.goodNanos : other.goodNanos;
		}
		long known = this.goodNanos.getAsLong();
		long told = other.goodNanos.getAsLong();
		boolean clearsLosses = this.losses.stream().anyMatch((loss) -> loss.atNanos() <= told && loss.atNanos() > known)
				|| other.losses.stream().anyMatch((loss) -> loss.atNanos() <= told && loss.atNanos() > known);
		return (clearsLosses || told > known + GOOD_STEP_NANOS) ? other.goodNanos : this.goodNanos;
	}

	/**
	 * Returns whether an answer that began then clears the part of losses.
	 */
	boolean clearedBy(long begunNanos) {
		return this.losses.stream().anyMatch((loss) -> loss.atNanos() <= begunNanos);
	}

}
