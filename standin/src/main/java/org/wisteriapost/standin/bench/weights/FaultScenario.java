package org.wisteriapost.standin.bench.weights;

/**
 * A fault injected into a rollout. Faults that are not present from the start are
 * injected at three tenths of the bound, the time that the weights take over one link.
 */
enum FaultScenario {

	/** No fault. */
	NONE,
	/** One VM in ten fails. */
	KILL,
	/**
	 * One VM in ten stops sending and receiving while its links stay open.
	 */
	STALL,
	/** One VM sends corrupt bytes for every chunk, from the start. */
	CORRUPT,
	/** The content at the origin changes. */
	CHANGE,
	/** One VM in ten is unreachable from the start, and its peers do not know. */
	ABSENT,
	/** One VM in ten fetches another version from the start. */
	IDLE,
	/** The origin is unreachable for one and a half times the bound. */
	AWAY,
	/** The links of one VM in three are throttled to a fifteenth. */
	SQUEEZE;

	static FaultScenario named(String name) {
		return valueOf(name.toUpperCase(java.util.Locale.ROOT));
	}

}
