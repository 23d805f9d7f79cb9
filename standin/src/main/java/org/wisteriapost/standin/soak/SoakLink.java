package org.wisteriapost.standin.soak;

import java.util.function.Consumer;

import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.wire.Frame;

/**
 * A connection between two processes that can be closed, or lose frames without closing.
 */
final class SoakLink {

	// Time in which the production heartbeats detect a stalled link.
	private static final long HEARTBEAT_TIMEOUT_NANOS = 3 * VirtualTime.SECOND;

	private final VirtualTime time;

	private final LinkEnd dialer = new LinkEnd("one");

	private final LinkEnd acceptor = new LinkEnd("two");

	private boolean open = true;

	private boolean stalled;

	SoakLink(VirtualTime time) {
		this.time = time;
	}

	LinkEnd dialer() {
		return this.dialer;
	}

	LinkEnd acceptor() {
		return this.acceptor;
	}

	boolean open() {
		return this.open;
	}

	/**
	 * Drops all frames from now on. Both ends close the link at the heartbeat timeout.
	 */
	void stall() {
		this.stalled = true;
		this.time.after(HEARTBEAT_TIMEOUT_NANOS, this::cut);
	}

	void cut() {
		if (this.open) {
			this.open = false;
			this.time.afterNetworkDelay(this.dialer.closeListener);
			this.time.afterNetworkDelay(this.acceptor.closeListener);
		}
	}

	final class LinkEnd implements Link {

		private final String name;

		private Consumer<Frame> frameListener = (frame) -> {
		};

		private Runnable closeListener = () -> {
		};

		private long lastArrival;

		private LinkEnd(String name) {
			this.name = name;
		}

		void listen(Consumer<Frame> onFrame, Runnable onClosed) {
			this.frameListener = onFrame;
			this.closeListener = onClosed;
		}

		@Override
		public boolean send(Frame frame) {
			if (!SoakLink.this.open) {
				return false;
			}
			VirtualTime time = SoakLink.this.time;
			LinkEnd other = (this == SoakLink.this.dialer) ? SoakLink.this.acceptor : SoakLink.this.dialer;
			this.lastArrival = Math.max(this.lastArrival + 1,
					time.nowNanos() + time.randomBetween(VirtualTime.MILLI / 3, VirtualTime.MILLI));
			time.after(this.lastArrival - time.nowNanos(), () -> {
				if (SoakLink.this.open && !SoakLink.this.stalled) {
					other.frameListener.accept(frame);
				}
			});
			return true;
		}

		@Override
		public boolean writable() {
			return true;
		}

		@Override
		public String peer() {
			return this.name;
		}

		@Override
		public void close() {
			cut();
		}

	}

}
