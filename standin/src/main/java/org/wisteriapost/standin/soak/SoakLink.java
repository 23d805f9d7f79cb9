package org.wisteriapost.standin.soak;

import java.util.function.Consumer;

import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.wire.Frame;

/**
 * A connection between two processes that can be cut, or stall without closing.
 */
final class SoakLink {

	// What the product's heartbeats need to find a silent link.
	private static final long SILENT_NANOS = 3 * VirtualTime.SECOND;

	private final VirtualTime time;

	private final Side one = new Side("one");

	private final Side two = new Side("two");

	private boolean open = true;

	private boolean stalled;

	SoakLink(VirtualTime time) {
		this.time = time;
	}

	Side one() {
		return this.one;
	}

	Side two() {
		return this.two;
	}

	boolean open() {
		return this.open;
	}

	/**
	 * Loses all frames from now on; both sides close it when they miss the heartbeats.
	 */
	void stall() {
		this.stalled = true;
		this.time.after(SILENT_NANOS, this::cut);
	}

	void cut() {
		if (this.open) {
			this.open = false;
			this.time.soon(this.one.closed);
			this.time.soon(this.two.closed);
		}
	}

	/** One end. */
	final class Side implements Link {

		private final String name;

		private Consumer<Frame> frames = (frame) -> {
		};

		private Runnable closed = () -> {
		};

		private long lastArrival;

		private Side(String name) {
			this.name = name;
		}

		void hears(Consumer<Frame> onFrame, Runnable onClosed) {
			this.frames = onFrame;
			this.closed = onClosed;
		}

		@Override
		public boolean send(Frame frame) {
			if (!SoakLink.this.open) {
				return false;
			}
			VirtualTime time = SoakLink.this.time;
			Side other = (this == SoakLink.this.one) ? SoakLink.this.two : SoakLink.this.one;
			this.lastArrival = Math.max(this.lastArrival + 1,
					time.now() + time.between(VirtualTime.MILLI / 3, VirtualTime.MILLI));
			time.after(this.lastArrival - time.now(), () -> {
				if (SoakLink.this.open && !SoakLink.this.stalled) {
					other.frames.accept(frame);
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
