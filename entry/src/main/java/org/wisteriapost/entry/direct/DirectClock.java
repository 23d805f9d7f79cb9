package org.wisteriapost.entry.direct;

import java.util.function.LongSupplier;

/**
 * The two clocks of a VM. Only the time of day goes on while it is suspended.
 *
 * @param nanos the monotonic clock, in nanoseconds
 * @param dayMillis milliseconds since 1970
 */
record DirectClock(LongSupplier nanos, LongSupplier dayMillis) {

	static final DirectClock SYSTEM = new DirectClock(System::nanoTime, System::currentTimeMillis);

}
