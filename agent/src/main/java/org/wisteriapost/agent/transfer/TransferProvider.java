package org.wisteriapost.agent.transfer;

/**
 * Makes one policy's transfer; registers with the service loader.
 */
public interface TransferProvider {

	/**
	 * Returns the name that {@code [transfer] policy} chooses it by.
	 */
	String name();

	/**
	 * Returns a transfer for this process.
	 */
	Transfer create(TransferContext context);

}
