package org.wisteriapost.agent.transfer;

import java.time.Duration;

import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.policy.transfer.LinkShare;
import org.wisteriapost.policy.transfer.TransferLimits;
import org.wisteriapost.policy.transfer.TransferLimits.Distribution;

/**
 * Options of one VM's transfer.
 *
 * @param limits limits on requests to peers and the origin
 * @param linkShare share of the VM's link that chunks may use
 * @param maxQueuedUploads most requests of peers that wait; further ones are rejected
 * @param vmListTimeout longest wait for a first VM list before the fetch starts without
 * peers
 */
public record TransferOptions(TransferLimits limits, LinkShare linkShare, int maxQueuedUploads,
		Duration vmListTimeout) {

	/**
	 * Returns the options from the section {@code [transfer]}.
	 */
	public static TransferOptions of(Settings settings) {
		TransferLimits defaults = TransferLimits.standard();
		TransferLimits limits = new TransferLimits(Distribution.SWARM,
				toInt(TransferSettings.ORIGIN_READERS_PER_CHUNK, settings),
				toInt(TransferSettings.MAX_ORIGIN_READS, settings), toInt(TransferSettings.MAX_PEERS, settings),
				toInt(TransferSettings.MAX_CHUNKS_IN_PROGRESS, settings),
				toInt(TransferSettings.MAX_CHUNKS_PER_PEER, settings), TransferSettings.PROGRESS_DEADLINE.get(settings),
				TransferSettings.ANNOUNCE_INTERVAL.get(settings), defaults.rarestSampleSize(),
				defaults.preferSameFailureDomain());
		LinkShare linkShare = new LinkShare(TransferSettings.LINK_BYTES_PER_SECOND.get(settings),
				TransferSettings.LINK_SHARE.get(settings), TransferSettings.LINK_SHARE_WHILE_LATE.get(settings));
		return new TransferOptions(limits, linkShare, toInt(TransferSettings.MAX_QUEUED_UPLOADS, settings),
				TransferSettings.VM_LIST_TIMEOUT.get(settings));
	}

	private static int toInt(org.wisteriapost.kernel.settings.Setting<Long> setting, Settings settings) {
		return Math.toIntExact(setting.get(settings));
	}

}
