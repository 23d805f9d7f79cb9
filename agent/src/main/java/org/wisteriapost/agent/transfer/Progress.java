package org.wisteriapost.agent.transfer;

/**
 * Progress of a fetch.
 *
 * @param verified chunks that have been verified and stored
 * @param total chunks of all files of the fetch
 */
public record Progress(long verified, long total) {

	/** Progress before the first fetch. */
	public static final Progress NONE = new Progress(0, 0);

}
