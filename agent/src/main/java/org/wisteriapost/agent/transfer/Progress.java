package org.wisteriapost.agent.transfer;

/**
 * How much of the files asked for is in the weight store.
 *
 * @param verified chunks that are hashed and stored
 * @param total chunks of all files
 */
public record Progress(long verified, long total) {

	/** Nothing was asked for. */
	public static final Progress NONE = new Progress(0, 0);

}
