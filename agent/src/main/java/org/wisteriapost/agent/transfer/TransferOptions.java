package org.wisteriapost.agent.transfer;

import java.time.Duration;

import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.policy.transfer.LinkShare;
import org.wisteriapost.policy.transfer.TransferLimits;
import org.wisteriapost.policy.transfer.TransferLimits.Distribution;

/**
 * How one VM's transfer behaves.
 *
 * @param limits of the decisions
 * @param share of the VM's link
 * @param uploadsWaiting requests of peers that may wait at once
 * @param aloneAfter how long to wait for a first VM list
 */
public record TransferOptions(TransferLimits limits, LinkShare share, int uploadsWaiting, Duration aloneAfter) {

	/**
	 * Returns what the settings say.
	 */
	public static TransferOptions of(Settings settings) {
		TransferLimits standard = TransferLimits.standard();
		TransferLimits limits = new TransferLimits(Distribution.SWARM, number(TransferSettings.ORIGIN_COPIES, settings),
				number(TransferSettings.ORIGIN_READS, settings), number(TransferSettings.NEIGHBOURS, settings),
				number(TransferSettings.OUTSTANDING, settings), number(TransferSettings.PER_PEER, settings),
				TransferSettings.PROGRESS_DEADLINE.get(settings), TransferSettings.ANNOUNCE_INTERVAL.get(settings),
				standard.rarestSampleSize(), standard.preferSameFailureDomain());
		LinkShare share = new LinkShare(TransferSettings.LINK_BYTES.get(settings), TransferSettings.SHARE.get(settings),
				TransferSettings.SHARE_WHILE_LATE.get(settings));
		return new TransferOptions(limits, share, number(TransferSettings.UPLOADS_WAITING, settings),
				TransferSettings.ALONE_AFTER.get(settings));
	}

	private static int number(org.wisteriapost.kernel.settings.Setting<Long> key, Settings settings) {
		return Math.toIntExact(key.get(settings));
	}

}
