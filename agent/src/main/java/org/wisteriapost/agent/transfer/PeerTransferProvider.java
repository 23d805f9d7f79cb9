package org.wisteriapost.agent.transfer;

/**
 * The policy {@code peers}: VMs exchange chunks, so that the origin is read about once.
 */
public final class PeerTransferProvider implements TransferProvider {

	@Override
	public String name() {
		return "peers";
	}

	@Override
	public Transfer create(TransferContext context) {
		return PeerTransfer.start(context, TransferOptions.of(context.settings()));
	}

	/**
	 * Returns a transfer with options that do not come from the settings.
	 */
	public static Transfer create(TransferContext context, TransferOptions options) {
		return PeerTransfer.start(context, options);
	}

}
