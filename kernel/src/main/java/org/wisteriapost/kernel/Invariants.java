package org.wisteriapost.kernel;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts violations of invariants at run time.
 *
 * A violation aborts only the action that would break the invariant, so that other
 * requests of the same process are not affected. Randomized simulations fail on any
 * violation.
 */
public final class Invariants {

	private static final Logger LOG = System.getLogger(Invariants.class.getName());

	private final Map<String, AtomicLong> counts = new ConcurrentHashMap<>();

	private Invariants() {
	}

	/**
	 * Returns a new set of counters; use one per process or simulation.
	 */
	public static Invariants create() {
		return new Invariants();
	}

	/**
	 * Returns the condition; counts and logs a violation if it is false.
	 */
	public boolean holds(boolean condition, String invariant, String detail) {
		if (!condition) {
			this.counts.computeIfAbsent(invariant, (name) -> new AtomicLong()).incrementAndGet();
			LOG.log(Level.ERROR, "invariant-violated: " + invariant + ": " + detail);
		}
		return condition;
	}

	/**
	 * Returns the number of violations by invariant, sorted by name; empty when all hold.
	 */
	public Map<String, Long> violations() {
		Map<String, Long> copy = new TreeMap<>();
		this.counts.forEach((name, count) -> copy.put(name, count.get()));
		return copy;
	}

}
