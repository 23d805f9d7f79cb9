package org.wisteriapost.policy.dispatch;

/**
 * Requests that one or more entries have in flight at a runner.
 *
 * @param requests requests sent and not ended
 * @param awaitingFirstEvent those of them without a first event
 * @param awaitingPromptTokens the total number of prompt tokens of the waiting requests
 */
public record InFlightLoad(int requests, int awaitingFirstEvent, long awaitingPromptTokens) {

	/** No requests. */
	public static final InFlightLoad NONE = new InFlightLoad(0, 0, 0);

	InFlightLoad plus(InFlightLoad other) {
		return new InFlightLoad(this.requests + other.requests, this.awaitingFirstEvent + other.awaitingFirstEvent,
				this.awaitingPromptTokens + other.awaitingPromptTokens);
	}

}
