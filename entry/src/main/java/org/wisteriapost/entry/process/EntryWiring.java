package org.wisteriapost.entry.process;

import java.util.function.LongSupplier;

import org.wisteriapost.entry.claim.ClaimStore;
import org.wisteriapost.kernel.Invariants;
import org.wisteriapost.policy.claim.ClaimTable;
import org.wisteriapost.policy.request.RequestStateMachine;

/**
 * The dependencies of an {@link EntryState}, which simulations replace by their own.
 *
 * @param machine decides on requests
 * @param claims the claims of idempotency keys
 * @param store stores the claims in the platform
 * @param metrics the entry's metrics
 * @param invariants counts violated invariants
 * @param clock the monotonic clock, in nanoseconds
 * @param wallMillis the wall clock, in milliseconds since 1970
 * @param maxBufferedBytes the size up to which an answer that is not streamed is buffered
 */
public record EntryWiring(RequestStateMachine machine, ClaimTable claims, ClaimStore store, EntryMetrics metrics,
		Invariants invariants, LongSupplier clock, LongSupplier wallMillis, long maxBufferedBytes) {
}
