package org.wisteriapost.agent.transfer;

/**
 * Creates transfers of one policy. Providers are found by the
 * {@link java.util.ServiceLoader}.
 */
public interface TransferProvider {

	/**
	 * Returns the value of {@code [transfer] policy} that selects this provider.
	 */
	String name();

	/**
	 * Creates a running transfer.
	 */
	Transfer create(TransferContext context);

}
