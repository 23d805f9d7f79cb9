package org.wisteriapost.agent.transfer;

/**
 * The policy {@code naive}: every chunk from the origin. The baseline of measurements.
 */
public final class OriginTransfers implements TransferProvider {

	@Override
	public String name() {
		return "naive";
	}

	@Override
	public Transfer create(TransferContext context) {
		return OriginTransfer.of(context);
	}

}
