package org.wisteriapost.policy.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * How old the routes of entries are that read the site's store for others, by what they
 * say.
 */
final class ReaderAges {

	// What is left of the bound is for the next sign, and for reading.
	private static final double USED_SHARE = 0.7;

	// Two watches over a link that takes 0.3 s: the first confirms as of its call.
	private static final long SLOW_LINK_NANOS = Duration.ofMillis(2200).toNanos();

	private final long mostNanos;

	private final Map<String, Long> asOf = new HashMap<>();

	private ReaderAges(long mostNanos) {
		this.mostNanos = mostNanos;
	}

	/**
	 * Returns ages of which none is known.
	 * @param inForce from a declaration until it binds
	 */
	static ReaderAges of(Duration inForce) {
		return new ReaderAges(Math.max((long) (inForce.toNanos() * USED_SHARE), SLOW_LINK_NANOS));
	}

	/**
	 * Hears as of when the routes of an entry are.
	 */
	void known(String reader, long nanos) {
		this.asOf.merge(reader, nanos, (before, now) -> (now - before > 0) ? now : before);
	}

	/**
	 * Forgets all but one.
	 */
	void keep(String reader) {
		this.asOf.keySet().removeIf((name) -> !name.equals(reader));
	}

	/**
	 * Returns as of when the routes of an entry are; empty when it has not said it.
	 */
	OptionalLong of(String reader) {
		Long known = this.asOf.get(reader);
		return (known != null) ? OptionalLong.of(known) : OptionalLong.empty();
	}

	/**
	 * Returns whether the routes of an entry are older than the bound allows. One that
	 * does not say its age never is.
	 */
	boolean old(String reader, long nowNanos) {
		OptionalLong known = of(reader);
		return known.isPresent() && late(known.getAsLong(), nowNanos);
	}

	/**
	 * Returns whether what was due from a moment on has taken too long.
	 */
	boolean late(long sinceNanos, long nowNanos) {
		return nowNanos - sinceNanos > this.mostNanos;
	}

}
