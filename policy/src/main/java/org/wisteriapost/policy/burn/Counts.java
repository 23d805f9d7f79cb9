package org.wisteriapost.policy.burn;

import java.util.Arrays;
import java.util.List;

/**
 * Requests by result.
 *
 * @param byResult as many as there are results, in their order
 */
public record Counts(List<Long> byResult) {

	/** No requests. */
	public static final Counts NONE = new Counts(Arrays.stream(Result.values()).map((result) -> 0L).toList());

	public Counts {
		byResult = List.copyOf(byResult);
	}

	/**
	 * Returns the requests of one result.
	 */
	public long of(Result result) {
		return this.byResult.get(result.ordinal());
	}

	/**
	 * Returns all requests.
	 */
	public long total() {
		return this.byResult.stream().mapToLong(Long::longValue).sum();
	}

	/**
	 * Returns the requests that spend the error budget.
	 */
	public long bad() {
		return total() - of(Result.GOOD);
	}

	/**
	 * Returns the sum of these and others.
	 */
	public Counts plus(Counts other) {
		return new Counts(Arrays.stream(Result.values()).map((result) -> of(result) + other.of(result)).toList());
	}

}
