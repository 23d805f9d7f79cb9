package org.wisteriapost.policy.dispatch;

/**
 * Decides how often an entry reports its in-flight load to other entries.
 *
 * Peers of the same failure domain use the same runners and get reports twice as often as
 * remote ones. The number of messages that an entry sends is bounded.
 *
 * @param localTicks the interval of reports to peers in the failure domain, in ticks
 * @param remoteTicks the interval of reports to other peers, in ticks
 */
public record LoadReportInterval(int localTicks, int remoteTicks) {

	/** The time between two ticks of an entry, in milliseconds. */
	public static final int TICK_MILLIS = 20;

	/** The shortest interval, in ticks. */
	public static final int MIN_LOCAL_TICKS = 5;

	private static final int MIN_REMOTE_TICKS = 10;

	private static final int PEERS_PER_INTERVAL = 6;

	private static final int RELAY_TICKS = 10;

	/**
	 * Returns the interval of the reports that an entry sends itself.
	 * @param localPeers the number of receivers in the failure domain of the entry
	 * @param remotePeers the number of other receivers
	 */
	public static LoadReportInterval toPeers(int localPeers, int remotePeers) {
		return new LoadReportInterval(rounds(localPeers) * MIN_LOCAL_TICKS, rounds(remotePeers) * MIN_REMOTE_TICKS);
	}

	/**
	 * Returns the interval at which the sum of a failure domain is sent to the others, in
	 * ticks.
	 */
	public static int relayTicks() {
		return RELAY_TICKS;
	}

	private static int rounds(int peers) {
		return Math.max(1, (peers + PEERS_PER_INTERVAL - 1) / PEERS_PER_INTERVAL);
	}

}
