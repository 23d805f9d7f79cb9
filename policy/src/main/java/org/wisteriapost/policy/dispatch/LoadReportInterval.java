package org.wisteriapost.policy.dispatch;

/**
 * Decides how often an entry reports its in-flight load to other entries.
 *
 * Requests end and start within a few milliseconds of each other at saturated engines, so
 * an old report makes entries send to an engine whose slots are taken and refuse requests
 * while another has free ones. The number of messages that an entry sends is bounded, and
 * a small fleet uses the same number for more frequent reports.
 *
 * @param localTicks the interval of reports to peers in the failure domain, in ticks
 * @param remoteTicks the interval of reports to other peers, in ticks. They mostly use
 * other runners.
 */
public record LoadReportInterval(int localTicks, int remoteTicks) {

	/** The time between two ticks of an entry, in milliseconds. */
	public static final int TICK_MILLIS = 20;

	/**
	 * The shortest interval. In it two requests start or end at an entry with twelve
	 * requests per second.
	 */
	public static final int MIN_LOCAL_TICKS = 4;

	private static final int REMOTE_FACTOR = 2;

	private static final int MESSAGES_PER_TICK = 2;

	/** The shortest interval at which the sum of a failure domain is relayed. */
	private static final int MIN_RELAY_TICKS = 5;

	/**
	 * Returns the interval of the reports that an entry sends itself.
	 * @param localPeers the number of receivers in the failure domain of the entry
	 * @param remotePeers the number of other receivers
	 */
	public static LoadReportInterval toPeers(int localPeers, int remotePeers) {
		int weighted = REMOTE_FACTOR * localPeers + remotePeers;
		int ticks = Math.max(MIN_LOCAL_TICKS, ceilDiv(weighted, REMOTE_FACTOR * MESSAGES_PER_TICK));
		return new LoadReportInterval(ticks, REMOTE_FACTOR * ticks);
	}

	/**
	 * Returns the interval at which the sum of a failure domain is sent to the others, in
	 * ticks. An entry that receives such a sum forwards it to all its local peers.
	 * @param localPeers the number of peers in a failure domain
	 */
	public static int relayTicks(int localPeers) {
		return Math.max(MIN_RELAY_TICKS, ceilDiv(localPeers, MESSAGES_PER_TICK));
	}

	private static int ceilDiv(int dividend, int divisor) {
		return (dividend + divisor - 1) / divisor;
	}

}
