package org.wisteriapost.entry.process;

import java.util.function.LongSupplier;

import org.wisteriapost.kernel.Invariants;
import org.wisteriapost.policy.request.RequestMachine;

/**
 * What an entry's state is put together from.
 *
 * @param machine the decisions on requests
 * @param claims the records of calls that may run at most once
 * @param metrics the figures
 * @param invariants the counts of broken promises
 * @param clock the monotonic clock, in nanoseconds
 * @param maxHeldBytes bound on an answer that is held back until it is whole
 */
record EntryParts(RequestMachine machine, ClaimKeeper claims, EntryMetrics metrics, Invariants invariants,
		LongSupplier clock, long maxHeldBytes) {
}
