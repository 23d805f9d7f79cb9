package org.wisteriapost.protocol.http;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import org.xnio.XnioExecutor;

/**
 * A timeout for something that a server does.
 *
 * An I/O thread runs expired timers before it looks at its sockets. After a delay of this
 * process, such as a garbage collection, a timer would expire although the connection was
 * established or the response received in time.
 */
final class PeerTimeout {

	// Enough for the I/O thread to look at its sockets once.
	private static final long SOCKET_CHECK_MILLIS = 5;

	private PeerTimeout() {
	}

	/**
	 * Runs a task on an I/O thread when a timeout has expired and the thread has looked
	 * at its sockets since. The task must check whether it still applies: it may run
	 * shortly after its key was removed.
	 */
	static XnioExecutor.Key schedule(XnioExecutor thread, Duration timeout, Runnable expired) {
		return thread.executeAfter(() -> thread.executeAfter(expired, SOCKET_CHECK_MILLIS, TimeUnit.MILLISECONDS),
				timeout.toNanos(), TimeUnit.NANOSECONDS);
	}

}
