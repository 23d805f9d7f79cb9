package org.wisteriapost.policy.transfer;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * How many parts of pieces may be on their way from this VM at once. Used by one thread.
 *
 * Load: a VM's link carries a tenth of what it is declared to, while a dozen peers fetch
 * from it. Harm prevented: parts of pieces queue up on the link for seconds, and what the
 * engine beside it answers behind them. A peer that wants more of a piece asks for it as
 * soon as a part has come: that request ends the part's time under way. The window is
 * halved when the link is full and grows while it is free; one part may always be sent,
 * so that a peer that asks for nothing more stops nobody.
 */
public final class UploadWindow {

	// On a link of its declared width some three parts are under way.
	private static final int FIRST = 4;

	private static final int MOST = 12;

	private static final int LEAST = 1;

	// By then a peer that has not asked for more will not.
	private static final long FORGET_NANOS = Duration.ofSeconds(4).toNanos();

	private final LinkDelay delay = new LinkDelay();

	private final Map<Object, Long> awaited = new HashMap<>();

	// Last parts of pieces, after which nobody asks for more: they take as long as
	// others.
	private final Deque<Long> last = new ArrayDeque<>();

	private long tookNanos;

	private int size = FIRST;

	private boolean wanted;

	private UploadWindow() {
	}

	/**
	 * Returns a window that is open.
	 */
	public static UploadWindow create() {
		return new UploadWindow();
	}

	/**
	 * Returns whether one more part may be sent.
	 * @param sending parts that are about to be
	 */
	public boolean open(int sending, long nowNanos) {
		this.awaited.values().removeIf((at) -> nowNanos - at > FORGET_NANOS);
		this.last.removeIf((at) -> nowNanos - at > this.tookNanos);
		int overdue = (int) this.awaited.values().stream().filter((at) -> this.delay.overdue(nowNanos - at)).count();
		if (overdue > 0) {
			set(this.delay.late(nowNanos));
		}
		int underWay = sending + this.awaited.size() + this.last.size();
		boolean open = underWay - overdue < Math.max(LEAST, this.size - overdue);
		this.wanted |= !open;
		return open;
	}

	/**
	 * Notes that a part is out.
	 * @param more whether its peer will ask for what comes after it
	 */
	public void sent(Object peer, boolean more, long nowNanos) {
		if (more) {
			this.awaited.put(peer, nowNanos);
		}
		else {
			this.last.add(nowNanos);
		}
	}

	/**
	 * Notes that a peer asks for what comes after a part.
	 */
	public void asked(Object peer, long nowNanos) {
		Long at = this.awaited.remove(peer);
		if (at != null) {
			this.tookNanos = nowNanos - at;
			set(this.delay.took(this.tookNanos, nowNanos));
		}
	}

	/**
	 * Forgets a peer that is gone.
	 */
	public void drop(Object peer) {
		this.awaited.remove(peer);
	}

	// A window that is not used up tells nothing of a wider one.
	private void set(LinkDelay.Verdict verdict) {
		this.size = switch (verdict) {
			case FREE -> this.wanted ? Math.min(MOST, this.size + 1) : this.size;
			case AS_BEFORE -> this.size;
			case FULL -> Math.max(LEAST, this.size / 2);
		};
		this.wanted = false;
	}

}
