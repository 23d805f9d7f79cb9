package org.wisteriapost.policy.transfer;

import java.time.Duration;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What is known of one neighbour.
 */
final class PeerState {

	/** Silent deadlines in a row after which a peer counts as failing. */
	private static final int FAILING_STRIKES = 1;

	private static final int MOST_DOUBLINGS = 5;

	private static final long NEVER = Long.MAX_VALUE;

	// A naming reaches all VMs within a second. Until then those that began first would
	// read what the others are about to read.
	private static final long IDLE_NANOS = Duration.ofSeconds(1).toNanos();

	private final Peer peer;

	private final boolean near;

	private final BitSet has = new BitSet();

	private final Map<Integer, Long> asks = new HashMap<>();

	private boolean up;

	private boolean down;

	private boolean counted;

	private boolean greeted;

	private long idleSince = NEVER;

	private long pausedUntil = Long.MIN_VALUE;

	private long distrustedUntil = Long.MIN_VALUE;

	private int strikes;

	private int corruptions;

	PeerState(Peer peer, boolean near) {
		this.peer = peer;
		this.near = near;
	}

	String vm() {
		return this.peer.vm();
	}

	boolean near() {
		return this.near;
	}

	boolean up() {
		return this.up;
	}

	BitSet has() {
		return this.has;
	}

	/**
	 * Returns the pieces asked of it and when.
	 */
	Map<Integer, Long> asks() {
		return this.asks;
	}

	/**
	 * Returns whether what it holds counts among the holders.
	 */
	boolean counted() {
		return this.counted;
	}

	void counted(boolean counts) {
		this.counted = counts;
	}

	/**
	 * Returns whether what it holds counts again: it has been heard, and the time of
	 * distrust after a wrong chunk has ended.
	 */
	boolean trustedAgain(long now) {
		return this.up && !this.counted && this.strikes < FAILING_STRIKES && now >= this.distrustedUntil;
	}

	/**
	 * Takes back all requests and returns their pieces.
	 */
	List<Integer> release() {
		List<Integer> asked = List.copyOf(this.asks.keySet());
		this.asks.clear();
		return asked;
	}

	/**
	 * Returns whether it has said what it holds, or cannot.
	 */
	boolean greeted() {
		return this.greeted || this.down;
	}

	void greeted(boolean said) {
		this.greeted = said;
	}

	/**
	 * Hears that it neither fetches nor holds what this VM fetches: it reads nothing from
	 * the origin, whatever its rank.
	 */
	void idle(long now) {
		this.idleSince = Math.min(this.idleSince, now);
	}

	/**
	 * Hears that it fetches or holds what this VM fetches.
	 */
	void busy() {
		this.idleSince = NEVER;
	}

	void linkUp() {
		this.up = true;
		this.down = false;
		this.strikes = 0;
		this.pausedUntil = Long.MIN_VALUE;
	}

	void linkDown(long retryAt) {
		this.up = false;
		this.down = true;
		this.pausedUntil = retryAt;
	}

	/**
	 * Returns whether a lost link should be made again now.
	 */
	boolean retryDue(long now) {
		return this.down && now >= this.pausedUntil;
	}

	/**
	 * Returns whether it may be asked for one more piece.
	 */
	boolean askable(long now, int perPeer) {
		return this.up && now >= this.pausedUntil && now >= this.distrustedUntil && this.asks.size() < perPeer;
	}

	/**
	 * Returns whether others must not count on it.
	 */
	boolean failing(long now) {
		boolean idle = this.idleSince != NEVER && now - this.idleSince > IDLE_NANOS;
		return this.down || idle || this.strikes >= FAILING_STRIKES || now < this.distrustedUntil;
	}

	/**
	 * Returns whether this was the silence that made it count as failing.
	 */
	boolean silent(long now, long deadlineNanos) {
		this.strikes++;
		this.pausedUntil = now + (deadlineNanos << Math.min(this.strikes, MOST_DOUBLINGS));
		return this.strikes == FAILING_STRIKES;
	}

	void heard(long now) {
		if (this.strikes > 0) {
			this.strikes = 0;
			this.pausedUntil = now;
		}
	}

	void pause(long untilNanos) {
		this.pausedUntil = Math.max(this.pausedUntil, untilNanos);
	}

	// A VM with bad memory gives wrong bytes again and again; each costs a chunk's time
	// on
	// the link. The doubled time keeps it out of this roll, and lets a VM whose one
	// answer
	// was hit on the way come back.
	void corrupt(long now, long distrustNanos) {
		this.distrustedUntil = now + (distrustNanos << Math.min(this.corruptions, MOST_DOUBLINGS));
		this.corruptions++;
	}

}
