package org.wisteriapost.policy.burn;

import java.util.Arrays;
import java.util.List;

/**
 * Numbers of requests by result.
 *
 * @param byResult counts in the declaration order of {@link RequestResult}
 */
public record ResultCounts(List<Long> byResult) {

	/** No requests. */
	public static final ResultCounts NONE = new ResultCounts(
			Arrays.stream(RequestResult.values()).map((result) -> 0L).toList());

	public ResultCounts {
		byResult = List.copyOf(byResult);
	}

	/**
	 * Returns the number of requests with a result.
	 */
	public long of(RequestResult result) {
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
	 * {@link RequestResult#GOOD}.
	 */
	public long bad() {
		return total() - of(RequestResult.GOOD);
	}

	public ResultCounts plus(ResultCounts other) {
		return new ResultCounts(
				Arrays.stream(RequestResult.values()).map((result) -> of(result) + other.of(result)).toList());
	}

}
