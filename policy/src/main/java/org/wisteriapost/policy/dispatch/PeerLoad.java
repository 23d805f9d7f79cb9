package org.wisteriapost.policy.dispatch;

/**
 * What another entry has at one runner.
 *
 * @param active requests sent and not ended
 * @param waiting those of them without a first event
 * @param waitingPrompt prompt tokens of those
 */
public record PeerLoad(int active, int waiting, long waitingPrompt) {

	/** Nothing. */
	public static final PeerLoad NONE = new PeerLoad(0, 0, 0);

	PeerLoad plus(PeerLoad other) {
		return new PeerLoad(this.active + other.active, this.waiting + other.waiting,
				this.waitingPrompt + other.waitingPrompt);
	}

}
