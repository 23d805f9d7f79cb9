package org.wisteriapost.agent.transfer;

import java.time.Duration;
import java.util.List;

import org.wisteriapost.kernel.settings.Setting;
import org.wisteriapost.kernel.settings.SettingsSchema;

/**
 * Settings of the section {@code [transfer]}.
 */
public final class TransferSettings implements SettingsSchema {

	/** Name of the {@link TransferProvider}. */
	public static final Setting<String> POLICY = Setting
		.text("transfer", "policy",
				"Name of the policy that brings weights to this VM: peers, or naive for all from the origin.")
		.orElse("peers");

	/** Bandwidth of the VM's link, 0 for no pacing. */
	public static final Setting<Long> LINK_BYTES_PER_SECOND = Setting
		.number("transfer", "link-bytes-per-second", 0, 100_000_000_000L,
				"Bytes per second that this VM's link carries in each direction; 0 for no pacing of weights.")
		.orElse("0");

	/** Share of the link that chunks may use. */
	public static final Setting<Double> LINK_SHARE = Setting
		.fraction("transfer", "share", 0.01, 1,
				"Share of the link that weights may use; more brings them sooner, less leaves more to requests.")
		.orElse("0.8");

	/** Share of the link that chunks may use while every live response is late. */
	public static final Setting<Double> LINK_SHARE_WHILE_LATE = Setting
		.fraction("transfer", "share-while-late", 0.01, 1,
				"Share of the link that weights may use while every answer is late; between the two in proportion.")
		.orElse("0.2");

	/** VMs that read a chunk from the origin without waiting for a peer to have it. */
	public static final Setting<Long> ORIGIN_READERS_PER_CHUNK = Setting
		.number("transfer", "origin-copies", 1, 16,
				"How many VMs read each chunk from the origin without waiting; 1 costs the fewest origin bytes.")
		.orElse("1");

	/** Concurrent reads from the origin. */
	public static final Setting<Long> MAX_ORIGIN_READS = Setting
		.number("transfer", "origin-reads", 1, 64, "Reads from the origin that this VM has open at once.")
		.orElse("2");

	/** Links that this VM opens to peers. */
	public static final Setting<Long> MAX_PEERS = Setting
		.number("transfer", "neighbours", 1, 256, "The most links to peers that this VM makes to fetch weights.")
		.orElse("12");

	/** Chunks requested or not yet stored, which bounds the memory used. */
	public static final Setting<Long> MAX_CHUNKS_IN_PROGRESS = Setting
		.number("transfer", "outstanding", 1, 256,
				"Chunks asked of peers or not yet stored at once; with the chunk size it bounds the memory used.")
		.orElse("12");

	/** Concurrent chunk requests to one peer. */
	public static final Setting<Long> MAX_CHUNKS_PER_PEER = Setting
		.number("transfer", "per-peer", 1, 64, "Chunks asked of one peer at once.")
		.orElse("2");

	/** Queued requests of peers; further ones are answered as busy. */
	public static final Setting<Long> MAX_QUEUED_UPLOADS = Setting
		.number("transfer", "uploads-waiting", 1, 1024,
				"Requests of peers that may wait here at once; more are answered busy.")
		.orElse("16");

	/** Shortest time without progress after which another source is tried. */
	public static final Setting<Duration> PROGRESS_DEADLINE = Setting
		.millis("transfer", "progress-deadline", 50, 30_000,
				"Shortest time without progress after which a chunk is looked for elsewhere.")
		.orElse("500");

	/** Shortest time between two announcements to a peer. */
	public static final Setting<Duration> ANNOUNCE_INTERVAL = Setting
		.millis("transfer", "announce-interval", 10, 60_000,
				"Shortest time between two messages that tell a peer which chunks were added here.")
		.orElse("200");

	/** Longest wait for a first VM list before all chunks are read from the origin. */
	public static final Setting<Duration> VM_LIST_TIMEOUT = Setting
		.millis("transfer", "alone-after", 0, 600_000,
				"How long to wait for a first VM list before everything is read from the origin.")
		.orElse("10000");

	@Override
	public List<Setting<?>> keys() {
		return List.of(POLICY, LINK_BYTES_PER_SECOND, LINK_SHARE, LINK_SHARE_WHILE_LATE, ORIGIN_READERS_PER_CHUNK,
				MAX_ORIGIN_READS, MAX_PEERS, MAX_CHUNKS_IN_PROGRESS, MAX_CHUNKS_PER_PEER, MAX_QUEUED_UPLOADS,
				PROGRESS_DEADLINE, ANNOUNCE_INTERVAL, VM_LIST_TIMEOUT);
	}

}
