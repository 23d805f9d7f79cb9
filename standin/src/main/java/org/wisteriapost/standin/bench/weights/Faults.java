package org.wisteriapost.standin.bench.weights;

/**
 * What goes wrong during a roll, at three tenths of the bound on time.
 */
enum Faults {

	/** Nothing. */
	NONE,
	/** One VM in ten dies. */
	KILL,
	/**
	 * One VM in ten stops sending and receiving; its links stay open and alive.
	 */
	STALL,
	/** One VM sends wrong bytes for every chunk, from the start. */
	CORRUPT,
	/** The origin's content changes. */
	CHANGE,
	/** One VM in ten is gone from the start, and the others have not heard of it. */
	ABSENT,
	/** One VM in ten fetches another version. */
	IDLE,
	/** The origin takes no connection from then on for one and a half times the bound. */
	AWAY,
	/** The links of one VM in three carry a fifteenth from then on. */
	SQUEEZE;

	static Faults named(String name) {
		return valueOf(name.toUpperCase(java.util.Locale.ROOT));
	}

}
