package org.wisteriapost.agent.transfer;

import java.time.Duration;
import java.util.List;

import org.wisteriapost.kernel.settings.Setting;
import org.wisteriapost.kernel.settings.SettingsSchema;

/**
 * Keys of {@code [transfer]}.
 */
public final class TransferSettings implements SettingsSchema {

	/** Which transfer to use. */
	public static final Setting<String> POLICY = Setting
		.text("transfer", "policy",
				"Name of the policy that brings weights to this VM: peers, or naive for all from the origin.")
		.orElse("peers");

	/** What the VM's link carries. */
	public static final Setting<Long> LINK_BYTES = Setting
		.number("transfer", "link-bytes-per-second", 0, 100_000_000_000L,
				"Bytes per second that this VM's link carries in each direction; 0 for no pacing of weights.")
		.orElse("0");

	/** The share of the link for weights. */
	public static final Setting<Double> SHARE = Setting
		.fraction("transfer", "share", 0.01, 1,
				"Share of the link that weights may use; more brings them sooner, less leaves more to requests.")
		.orElse("0.8");

	/** The share of the link for weights under late answers. */
	public static final Setting<Double> SHARE_WHILE_LATE = Setting
		.fraction("transfer", "share-while-late", 0.01, 1,
				"Share of the link that weights may use while every answer is late; between the two in proportion.")
		.orElse("0.2");

	/** How many VMs read each chunk from the origin at once. */
	public static final Setting<Long> ORIGIN_COPIES = Setting
		.number("transfer", "origin-copies", 1, 16,
				"How many VMs read each chunk from the origin without waiting; 1 costs the fewest origin bytes.")
		.orElse("1");

	/** Origin reads at once. */
	public static final Setting<Long> ORIGIN_READS = Setting
		.number("transfer", "origin-reads", 1, 64, "Reads from the origin that this VM has open at once.")
		.orElse("2");

	/** Links to peers. */
	public static final Setting<Long> NEIGHBOURS = Setting
		.number("transfer", "neighbours", 1, 256, "The most links to peers that this VM makes to fetch weights.")
		.orElse("12");

	/** Chunks on their way. */
	public static final Setting<Long> OUTSTANDING = Setting
		.number("transfer", "outstanding", 1, 256,
				"Chunks asked of peers or not yet stored at once; with the chunk size it bounds the memory used.")
		.orElse("12");

	/** Chunks asked of one peer. */
	public static final Setting<Long> PER_PEER = Setting
		.number("transfer", "per-peer", 1, 64, "Chunks asked of one peer at once.")
		.orElse("2");

	/** Uploads that may wait. */
	public static final Setting<Long> UPLOADS_WAITING = Setting
		.number("transfer", "uploads-waiting", 1, 1024,
				"Requests of peers that may wait here at once; more are answered busy.")
		.orElse("16");

	/** When a silent link counts as stalled. */
	public static final Setting<Duration> PROGRESS_DEADLINE = Setting
		.millis("transfer", "progress-deadline", 50, 30_000,
				"Shortest time without progress after which a chunk is looked for elsewhere.")
		.orElse("500");

	/** How often peers are told. */
	public static final Setting<Duration> ANNOUNCE_INTERVAL = Setting
		.millis("transfer", "announce-interval", 10, 60_000,
				"Shortest time between two messages that tell a peer which chunks were added here.")
		.orElse("200");

	/** How long to wait for the VM list. */
	public static final Setting<Duration> ALONE_AFTER = Setting
		.millis("transfer", "alone-after", 0, 600_000,
				"How long to wait for a first VM list before everything is read from the origin.")
		.orElse("10000");

	@Override
	public List<Setting<?>> keys() {
		return List.of(POLICY, LINK_BYTES, SHARE, SHARE_WHILE_LATE, ORIGIN_COPIES, ORIGIN_READS, NEIGHBOURS,
				OUTSTANDING, PER_PEER, UPLOADS_WAITING, PROGRESS_DEADLINE, ANNOUNCE_INTERVAL, ALONE_AFTER);
	}

}
