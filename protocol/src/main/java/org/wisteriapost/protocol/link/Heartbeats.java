package org.wisteriapost.protocol.link;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Keeps the links of one I/O thread alive. Used by that thread alone.
 *
 * One timer serves them all: Netty's selector wakes up to half a millisecond before a
 * timer is due and polls until then, so timers for each link cost more than what is sent
 * for them.
 */
final class Heartbeats {

	/** How often each link is looked at. */
	static final long INTERVAL_MILLIS = 1000;

	private final EventExecutor thread;

	private final Set<LinkLife> links = new LinkedHashSet<>();

	private ScheduledFuture<?> timer;

	Heartbeats(EventExecutor thread) {
		this.thread = thread;
	}

	void add(LinkLife link) {
		this.links.add(link);
		if (this.timer == null) {
			this.timer = this.thread.scheduleWithFixedDelay(this::beat, INTERVAL_MILLIS, INTERVAL_MILLIS,
					TimeUnit.MILLISECONDS);
		}
	}

	void remove(LinkLife link) {
		this.links.remove(link);
		if (this.links.isEmpty() && this.timer != null) {
			this.timer.cancel(false);
			this.timer = null;
		}
	}

	private void beat() {
		long now = System.nanoTime();
		// A link that breaks while it is written to takes itself out.
		List.copyOf(this.links).forEach((link) -> link.beat(now));
	}

}
