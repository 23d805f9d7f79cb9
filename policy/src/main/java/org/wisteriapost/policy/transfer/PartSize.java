package org.wisteriapost.policy.transfer;

/**
 * How much of a piece is asked for, and sent, at once.
 *
 * Load: a piece holds up a VM's link for as long as all that is asked for of it takes.
 * Harm prevented: when the link narrows while whole pieces are on their way, they fill it
 * for seconds, and nothing can call them back. A part is a few milliseconds of the link.
 */
public final class PartSize {

	// What one part may hold up the link for.
	private static final double PART_SECONDS = 0.012;

	private static final int LEAST_BYTES = 4 << 10;

	private static final int MOST_BYTES = 256 << 10;

	private PartSize() {
	}

	/**
	 * Returns the most bytes of one part.
	 * @param bytesPerSecond for weights; 0 for no limit
	 */
	public static int of(double bytesPerSecond) {
		return (bytesPerSecond > 0) ? (int) Math.clamp(bytesPerSecond * PART_SECONDS, LEAST_BYTES, MOST_BYTES)
				: MOST_BYTES;
	}

}
