package org.wisteriapost.standin;

import java.time.Duration;

/**
 * How a stand-in engine behaves.
 *
 * @param fencing whether it refuses an order below the highest it has taken
 * @param load how long it takes to load weights
 * @param token how long each token takes
 * @param prefillPerChar how long each character of a prompt takes
 * @param slots calls at once
 * @param stateLag how old the load that it reports may be
 * @param keepBytes false to forget the bytes of chunks
 */
public record EngineOptions(boolean fencing, Duration load, Duration token, Duration prefillPerChar, int slots,
		Duration stateLag, boolean keepBytes) {

	/**
	 * Returns a quick engine that checks fencing.
	 */
	public static EngineOptions quick() {
		return new EngineOptions(true, Duration.ofMillis(50), Duration.ofMillis(2), Duration.ofNanos(1000), 8,
				Duration.ofMillis(200), true);
	}

	/**
	 * Returns this with fencing on or off.
	 */
	public EngineOptions fencing(boolean on) {
		return new EngineOptions(on, this.load, this.token, this.prefillPerChar, this.slots, this.stateLag,
				this.keepBytes);
	}

	/**
	 * Returns this with other times for loading and for a token.
	 */
	public EngineOptions times(Duration newLoad, Duration newToken) {
		return new EngineOptions(this.fencing, newLoad, newToken, this.prefillPerChar, this.slots, this.stateLag,
				this.keepBytes);
	}

}
