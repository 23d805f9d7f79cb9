package org.wisteriapost.protocol.site;

import java.time.Duration;
import java.util.Collections;
import java.util.EnumSet;
import java.util.Set;

/**
 * The kinds of objects that wisteriapost reads or writes in a site's store.
 *
 * Each call to the store, including a waiting watch, is charged and counts against its
 * rate limits. The watch wait of a kind bounds how long a silently broken connection goes
 * unnoticed. Its batch delay keeps a burst of changes from costing every process a call
 * for each change.
 */
public enum ObjectKind {

	/** The declaration of routes; a single object. */
	ROUTES(WatchWaits.ROUTE_TABLE, Duration.ofMillis(80)),
	/** Runners, each registered by itself. */
	RUNNERS(WatchWaits.DEFAULT, Duration.ofMillis(150)),
	/** Target weights versions, written by operators. */
	WEIGHTS(WatchWaits.DEFAULT, Duration.ZERO),
	/**
	 * Entries, each registered by itself. Departures and failures are detected through
	 * the links between entries, so only new entries depend on this watch.
	 */
	ENTRIES(Duration.ofSeconds(15), Duration.ofMillis(400)),
	/**
	 * Evacuations of failure domains, written by operators; in use only where the site
	 * has an activation delay for them. A silent connection is noticed within four
	 * seconds: the wait, 0.6 s until the watch times out and 1.2 s for the call after it.
	 */
	EVACUATIONS(WatchWaits.DEFAULT, Duration.ZERO);

	private final Duration watchWait;

	private final Duration batchDelay;

	ObjectKind(Duration wait, Duration gather) {
		this.watchWait = wait;
		this.batchDelay = gather;
	}

	/**
	 * Returns the kinds that the processes of a site read.
	 */
	public static Set<ObjectKind> inUse(SiteSettings.Guarantees guarantees) {
		Set<ObjectKind> kinds = EnumSet.allOf(ObjectKind.class);
		if (guarantees.evacuationDelay().isEmpty()) {
			kinds.remove(EVACUATIONS);
		}
		return Collections.unmodifiableSet(kinds);
	}

	/**
	 * Returns how long a watch waits for a change. A connection can stall without being
	 * closed; the wait bounds how long that goes unnoticed.
	 */
	Duration watchWait() {
		return this.watchWait;
	}

	/**
	 * Returns how long a watch waits in a leader. Its followers can reach the store and
	 * are bound by the site's activation delays, at least two seconds, so the leader must
	 * detect a stalled connection well within that time.
	 */
	Duration leaderWatchWait() {
		return (this.watchWait.compareTo(WatchWaits.DEFAULT) <= 0) ? WatchWaits.LEADER : this.watchWait;
	}

	/**
	 * Returns how long to wait after a change before the next watch, so that changes made
	 * in a burst are read in one call: many runners register or change weights at a time.
	 */
	Duration batchDelay() {
		return this.batchDelay;
	}

	/** Durations of watches. */
	private static final class WatchWaits {

		// Slightly below the usual activation delay of declarations.
		private static final Duration DEFAULT = Duration.ofMillis(2200);

		// An entry may not reject a request by a route table that may be stale. A watch
		// that ends without a change confirms the table, well within the usual delay.
		private static final Duration ROUTE_TABLE = Duration.ofSeconds(1);

		// With 0.6 s until a silent watch times out and 0.4 s for the call after it, a
		// stalled connection is detected after 1.8 s.
		private static final Duration LEADER = Duration.ofMillis(800);

	}

}
