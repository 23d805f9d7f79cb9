package org.wisteriapost.policy.burn;

import java.util.Arrays;
import java.util.List;

/**
 * Numbers of requests by result.
 *
 * @param byResult counts in the declaration order of {@link Result}
 */
public record Counts(List<Long> byResult) {

	/** No requests. */
	public static final Counts NONE = new Counts(Arrays.stream(Result.values()).map((result) -> 0L).toList());

	public Counts {
		byResult = List.copyOf(byResult);
	}

	/**
	 * Returns the number of requests with a result.
	 */
	public long of(Result result) {
		return this.byResult.get(result.ordinal());
	}

	/**
	 * Returns the number of all requests.
	 */
	public long total() {
		return this.byResult.stream().mapToLong(Long::longValue).sum();
	}

	/**
	 * Returns the number of requests that spend the error budget: all that are not
	 * {@link Result#GOOD}.
	 */
	public long bad() {
		return total() - of(Result.GOOD);
	}

	public Counts plus(Counts other) {
		return new Counts(Arrays.stream(Result.values()).map((result) -> of(result) + other.of(result)).toList());
	}

}
