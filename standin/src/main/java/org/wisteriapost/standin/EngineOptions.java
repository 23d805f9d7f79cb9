package org.wisteriapost.standin;

import java.time.Duration;

/**
 * Behaviour of a stand-in engine.
 *
 * @param fencing whether it rejects orders older than the latest accepted one
 * @param loadTime time to load weights
 * @param timePerToken time to decode one token
 * @param prefillTimePerChar prefill time per character of the prompt
 * @param slots number of concurrent calls
 * @param maxStateAge maximum age of the reported load
 * @param retainChunkBytes false to keep only the hashes of chunks
 */
public record EngineOptions(boolean fencing, Duration loadTime, Duration timePerToken, Duration prefillTimePerChar,
		int slots, Duration maxStateAge, boolean retainChunkBytes) {

	/**
	 * Returns a fast engine that checks fencing.
	 */
	public static EngineOptions quick() {
		return new EngineOptions(true, Duration.ofMillis(50), Duration.ofMillis(2), Duration.ofNanos(1000), 8,
				Duration.ofMillis(200), true);
	}

	/**
	 * Returns a copy with fencing on or off.
	 */
	public EngineOptions fencing(boolean on) {
		return new EngineOptions(on, this.loadTime, this.timePerToken, this.prefillTimePerChar, this.slots,
				this.maxStateAge, this.retainChunkBytes);
	}

	/**
	 * Returns a copy with other times for loading and decoding.
	 */
	public EngineOptions times(Duration newLoad, Duration newToken) {
		return new EngineOptions(this.fencing, newLoad, newToken, this.prefillTimePerChar, this.slots, this.maxStateAge,
				this.retainChunkBytes);
	}

}
