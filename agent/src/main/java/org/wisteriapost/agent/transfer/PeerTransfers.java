package org.wisteriapost.agent.transfer;

/**
 * The policy {@code peers}: about one copy from the origin, the rest from one another.
 */
public final class PeerTransfers implements TransferProvider {

	@Override
	public String name() {
		return "peers";
	}

	@Override
	public Transfer create(TransferContext context) {
		return PeerTransfer.start(context, TransferOptions.of(context.settings()));
	}

	/**
	 * Returns a transfer with options of one's own; for measurements.
	 */
	public static Transfer create(TransferContext context, TransferOptions options) {
		return PeerTransfer.start(context, options);
	}

}
