package org.wisteriapost.policy.routing;

import java.time.Duration;

/**
 * Decides whether the route table that an entry has read at its start is older than the
 * one that its peers have in force.
 *
 * A store that came back from a copy gives out an older table until operators have
 * written again. Entries that knew the newer one keep it; one that starts meanwhile would
 * serve keys that were revoked and routes that were removed.
 */
public final class StartupTable {

	// Operators write within some seconds what a restored store lacks. An entry that
	// waited for a table that nobody writes again would serve nobody.
	private static final long MAX_WAIT_NANOS = Duration.ofSeconds(10).toNanos();

	private static final long NONE = -1;

	private long inForce = NONE;

	private long newestStated = NONE;

	private long startNanos;

	private StartupTable() {
	}

	/**
	 * Returns the state of an entry that knows no table.
	 */
	public static StartupTable create() {
		return new StartupTable();
	}

	/**
	 * Records the table that comes into force.
	 */
	public void inForce(long version, long nowNanos) {
		if (this.inForce == NONE) {
			this.startNanos = nowNanos;
		}
		this.inForce = version;
	}

	/**
	 * Records the table that a peer has in force.
	 */
	public void stated(long version) {
		this.newestStated = Math.max(this.newestStated, version);
	}

	/**
	 * Returns whether no request may be served by the table yet.
	 */
	public boolean outdated(long nowNanos) {
		return this.inForce != NONE && this.inForce < this.newestStated && nowNanos - this.startNanos < MAX_WAIT_NANOS;
	}

}
