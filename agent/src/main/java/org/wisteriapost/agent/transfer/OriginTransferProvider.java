package org.wisteriapost.agent.transfer;

/**
 * The policy {@code naive}: reads every chunk from the origin. Baseline for benchmarks.
 */
public final class OriginTransferProvider implements TransferProvider {

	@Override
	public String name() {
		return "naive";
	}

	@Override
	public Transfer create(TransferContext context) {
		return OriginTransfer.of(context);
	}

}
