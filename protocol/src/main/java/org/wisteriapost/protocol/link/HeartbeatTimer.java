package org.wisteriapost.protocol.link;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Periodically checks the links of one I/O thread. Not thread-safe: used by that thread
 * only.
 *
 * All links share one timer. Netty's selector wakes up to half a millisecond before a
 * timer is due and polls until then, so a timer for each link would cost more than the
 * heartbeats themselves.
 */
final class HeartbeatTimer {

	/** The interval between two checks of a link. */
	static final long INTERVAL_MILLIS = 1000;

	private final EventExecutor thread;

	private final Set<LinkKeepAlive> links = new LinkedHashSet<>();

	private ScheduledFuture<?> timer;

	HeartbeatTimer(EventExecutor thread) {
		this.thread = thread;
	}

	void add(LinkKeepAlive link) {
		this.links.add(link);
		if (this.timer == null) {
			this.timer = this.thread.scheduleWithFixedDelay(this::checkAll, INTERVAL_MILLIS, INTERVAL_MILLIS,
					TimeUnit.MILLISECONDS);
		}
	}

	void remove(LinkKeepAlive link) {
		this.links.remove(link);
		if (this.links.isEmpty() && this.timer != null) {
			this.timer.cancel(false);
			this.timer = null;
		}
	}

	private void checkAll() {
		long now = System.nanoTime();
		// A link that fails during a write removes itself.
		List.copyOf(this.links).forEach((link) -> link.check(now));
	}

}
