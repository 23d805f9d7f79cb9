package org.wisteriapost.entry.process;

import java.util.function.LongSupplier;

import org.wisteriapost.entry.claim.ClaimStore;
import org.wisteriapost.kernel.Invariants;
import org.wisteriapost.policy.claim.ClaimTable;
import org.wisteriapost.policy.request.RequestStateMachine;

/**
 * What surrounds an entry's state: the process puts the real parts here, a random run its
 * own.
 *
 * @param machine the decisions on requests
 * @param claims the records of calls that may run at most once
 * @param store where these records are kept
 * @param metrics the figures
 * @param invariants the counts of broken promises
 * @param clock the monotonic clock, in nanoseconds
 * @param wallMillis milliseconds since 1970
 * @param maxHeldBytes bound on an answer that is held back until it is whole
 */
public record EntryWiring(RequestStateMachine machine, ClaimTable claims, ClaimStore store, EntryMetrics metrics,
		Invariants invariants, LongSupplier clock, LongSupplier wallMillis, long maxHeldBytes) {
}
