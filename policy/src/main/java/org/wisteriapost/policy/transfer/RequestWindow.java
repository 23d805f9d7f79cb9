package org.wisteriapost.policy.transfer;

/**
 * How many parts of pieces may be on their way to this VM at once.
 *
 * Load: a VM's link carries a tenth of what it is declared to, while new weights come in.
 * Harm prevented: parts that were asked for queue up on the link for seconds, and the
 * requests of the engine beside it behind them; callers give up before the engine hears
 * of them. So the window starts small, grows while parts come quickly and is halved when
 * the link is full.
 */
final class RequestWindow {

	private static final int FIRST = 3;

	private static final int LEAST = 1;

	private final LinkDelay delay = new LinkDelay();

	private final int most;

	private int size;

	RequestWindow(int most) {
		this.most = most;
		this.size = Math.min(most, FIRST);
	}

	int size() {
		return this.size;
	}

	/**
	 * Returns whether the link has turned out to be narrow.
	 */
	boolean narrow() {
		return this.size < Math.min(this.most, FIRST);
	}

	/**
	 * Notes how long a part took from its request to its last byte.
	 */
	void answered(long tookNanos, long nowNanos) {
		set(this.delay.took(tookNanos, nowNanos));
	}

	/**
	 * Notes that a part did not come in time.
	 */
	void late(long nowNanos) {
		set(this.delay.late(nowNanos));
	}

	private void set(LinkDelay.Verdict verdict) {
		this.size = switch (verdict) {
			case FREE -> Math.min(this.most, this.size + 1);
			case AS_BEFORE -> this.size;
			case FULL -> Math.max(LEAST, this.size / 2);
		};
	}

}
