package org.wisteriapost.kernel;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts the times that a promise was found broken inside the running program.
 *
 * A violation stops the action that would break the promise and nothing else: the other
 * callers of the same process keep their answers. Random runs fail on any count above
 * zero.
 */
public final class Invariants {

	private static final Logger LOG = System.getLogger(Invariants.class.getName());

	private final Map<String, AtomicLong> counts = new ConcurrentHashMap<>();

	private Invariants() {
	}

	/**
	 * Returns an empty set of counts, one for each process or random run.
	 */
	public static Invariants create() {
		return new Invariants();
	}

	/**
	 * Returns the given condition and counts a violation when it is false.
	 */
	public boolean holds(boolean condition, String invariant, String detail) {
		if (!condition) {
			this.counts.computeIfAbsent(invariant, (name) -> new AtomicLong()).incrementAndGet();
			LOG.log(Level.ERROR, "invariant-violated: " + invariant + ": " + detail);
		}
		return condition;
	}

	/**
	 * Returns the violations by invariant, sorted by name; empty when all held.
	 */
	public Map<String, Long> violations() {
		Map<String, Long> copy = new TreeMap<>();
		this.counts.forEach((name, count) -> copy.put(name, count.get()));
		return copy;
	}

}
