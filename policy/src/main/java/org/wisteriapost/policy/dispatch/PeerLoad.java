package org.wisteriapost.policy.dispatch;

/**
 * Requests that one or more entries have in flight at a runner.
 *
 * @param active requests sent and not ended
 * @param waiting those of them without a first event
 * @param waitingPrompt the total number of prompt tokens of the waiting requests
 */
public record PeerLoad(int active, int waiting, long waitingPrompt) {

	/** No requests. */
	public static final PeerLoad NONE = new PeerLoad(0, 0, 0);

	PeerLoad plus(PeerLoad other) {
		return new PeerLoad(this.active + other.active, this.waiting + other.waiting,
				this.waitingPrompt + other.waitingPrompt);
	}

}
