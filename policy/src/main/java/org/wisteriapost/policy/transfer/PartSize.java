package org.wisteriapost.policy.transfer;

/**
 * Computes how much of a chunk is requested and sent at once.
 *
 * A request that has been sent cannot be cancelled. When the link becomes slow while
 * whole chunks are in flight, they would occupy it for seconds. A part takes a few
 * milliseconds of the link.
 */
public final class PartSize {

	// The time for which one part may occupy the link.
	private static final double PART_SECONDS = 0.012;

	private static final int MIN_BYTES = 4 << 10;

	private static final int MAX_BYTES = 256 << 10;

	private PartSize() {
	}

	/**
	 * Returns the maximum size of one part in bytes.
	 * @param bytesPerSecond rate for weight transfers; 0 for no limit
	 */
	public static int of(double bytesPerSecond) {
		return (bytesPerSecond > 0) ? (int) Math.clamp(bytesPerSecond * PART_SECONDS, MIN_BYTES, MAX_BYTES) : MAX_BYTES;
	}

}
