package org.wisteriapost.protocol.site;

import java.time.Duration;

/**
 * The kinds of objects that wisteriapost reads or writes in a site's store.
 *
 * Each call of the store is paid for and counts against its rates, a watch that waits
 * too. Harm prevented by the two times of a kind: a watch whose connection has gone
 * silent is deaf, and every change of a burst costs every process a call.
 */
public enum Kind {

	/** The declaration of traffic; one object. */
	ROUTES(Watch.CONFIRMED, Duration.ofMillis(80)),
	/** Runners, written by themselves. */
	RUNNERS(Watch.SOON, Duration.ofMillis(150)),
	/** Named weights, written by operators. */
	WEIGHTS(Watch.SOON, Duration.ZERO),
	/**
	 * Entries, written by themselves. Who leaves or dies is known from the links; only
	 * who is new is read here.
	 */
	ENTRIES(Duration.ofSeconds(15), Duration.ofMillis(400));

	private final Duration wait;

	private final Duration gather;

	Kind(Duration wait, Duration gather) {
		this.wait = wait;
		this.gather = gather;
	}

	/**
	 * Returns how long a watch waits for a change. A connection can go silent without an
	 * end; the wait bounds how long that stays unnoticed.
	 */
	Duration watchWait() {
		return this.wait;
	}

	/**
	 * Returns how long a watch waits in a process on which others rely for what the store
	 * says. They are in touch with the store and bound by its promises, two seconds at
	 * the least: a connection that has gone silent has to be noticed well within that.
	 */
	Duration reliedWait() {
		return (this.wait.compareTo(Watch.SOON) <= 0) ? Watch.RELIED : this.wait;
	}

	/**
	 * Returns how long the changes that follow a change are gathered before they are
	 * asked for: runners register and change weights many at a time.
	 */
	Duration gather() {
		return this.gather;
	}

	/** Times of watches. */
	private static final class Watch {

		// A bit less than the usual bound for declarations to be in force.
		private static final Duration SOON = Duration.ofMillis(2200);

		// Harm prevented: a table that is not known to be new may not reject a request. A
		// watch without a change confirms it at its end, well within that usual bound.
		private static final Duration CONFIRMED = Duration.ofSeconds(1);

		// With 0.6 s until a silent watch is given up and 0.4 s for the call after it,
		// silence is known after 1.8 s.
		private static final Duration RELIED = Duration.ofMillis(800);

	}

}
