package org.wisteriapost.entry.direct;

import java.util.function.LongSupplier;

/**
 * The monotonic and the wall clock. Only the wall clock advances while the VM is
 * suspended, so comparing both detects a suspension.
 *
 * @param monotonicNanos the monotonic clock, as {@link System#nanoTime}
 * @param wallMillis the wall clock, in milliseconds since the epoch
 */
record EntryClocks(LongSupplier monotonicNanos, LongSupplier wallMillis) {

	static final EntryClocks SYSTEM = new EntryClocks(System::nanoTime, System::currentTimeMillis);

}
