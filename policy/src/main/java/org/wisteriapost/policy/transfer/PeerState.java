package org.wisteriapost.policy.transfer;

import java.time.Duration;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What is known of one neighbour.
 */
final class PeerState {

	/** Silent deadlines in a row after which a peer counts as failing. */
	private static final int FAILING_STRIKES = 1;

	private static final int MOST_DOUBLINGS = 5;

	private static final long NEVER = Long.MAX_VALUE;

	private static final long LONG_AGO = Long.MIN_VALUE / 2;

	// Load: a peer's link carries a tenth of what it is declared to. Harm prevented: what
	// it alone holds is waited for by all, for it is heard again and again and so seems
	// well; no VM but it reads those pieces from the origin. Until it has brought a part
	// in time, or for so long after the last that was late, others do not count on it.
	private static final long SLOW_NANOS = Duration.ofSeconds(2).toNanos();

	// A naming reaches all VMs within a second. Until then those that began first would
	// read what the others are about to read.
	private static final long IDLE_NANOS = Duration.ofSeconds(1).toNanos();

	private final Peer peer;

	private final boolean near;

	private final BitSet has = new BitSet();

	// How long a part that was given up counts as still on its way: by then its link is
	// dead or the part as good as lost.
	private static final long OWED_NANOS = Duration.ofSeconds(10).toNanos();

	private final Map<Integer, Ask> asks = new HashMap<>();

	// Pieces of which parts have come, with the bytes that have, while nothing is asked.
	private final Map<Integer, Integer> begun = new LinkedHashMap<>();

	private final Map<Integer, Ask> owed = new HashMap<>();

	// Begun pieces for which it was busy when it was asked last.
	private final Set<Integer> turnedAway = new HashSet<>();

	private boolean up;

	private boolean down;

	private boolean counted;

	private boolean greeted;

	private long idleSince = NEVER;

	private long pausedUntil = Long.MIN_VALUE;

	private long distrustedUntil = Long.MIN_VALUE;

	private int strikes;

	private long lateAt = LONG_AGO;

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
	 * Returns the pieces of which a part is asked of it now.
	 */
	Map<Integer, Ask> asks() {
		return this.asks;
	}

	/**
	 * Returns the pieces to go on with, and how many bytes of each have come.
	 */
	Map<Integer, Integer> begun() {
		return this.begun;
	}

	/**
	 * Returns whether the part that ends there is asked of it now.
	 */
	boolean asked(int piece, int end) {
		Ask ask = this.asks.get(piece);
		return ask != null && ask.end() == end;
	}

	/**
	 * Returns whether a piece is to come from it.
	 */
	boolean brings(int piece) {
		return this.asks.containsKey(piece) || this.begun.containsKey(piece);
	}

	void ask(int piece, int end, long now) {
		int offset = Optional.ofNullable(this.begun.remove(piece)).orElse(0);
		this.asks.put(piece, new Ask(now, offset, end));
	}

	/**
	 * Takes back the request that a part ends, also one that was given up.
	 */
	Optional<Ask> answered(int piece, int end) {
		this.turnedAway.remove(piece);
		return Optional.ofNullable((asked(piece, end) ? this.asks : this.owed).remove(piece));
	}

	/**
	 * Takes back the request for a piece, also one that was given up.
	 */
	Optional<Ask> answered(int piece) {
		return Optional.ofNullable(this.asks.remove(piece)).or(() -> Optional.ofNullable(this.owed.remove(piece)));
	}

	/**
	 * Notes that it was busy for a begun piece, and returns whether it may be asked to go
	 * on once more. One that stays busy would hold all that it has begun, and nothing
	 * would be asked of others: what has come of the piece costs less than that.
	 */
	boolean mayAskAgain(int piece) {
		boolean first = this.turnedAway.add(piece);
		if (!first) {
			this.turnedAway.remove(piece);
		}
		return first;
	}

	/**
	 * Returns how many parts were given up and may still come.
	 */
	int owed(long now) {
		this.owed.values().removeIf((ask) -> now - ask.at() > OWED_NANOS);
		return this.owed.size();
	}

	/**
	 * Counts the time of each request from now on.
	 */
	void excuse(long now) {
		this.asks.replaceAll((piece, ask) -> new Ask(now, ask.offset(), ask.end()));
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
		return this.up && !this.counted && this.strikes < FAILING_STRIKES && !slow(now) && now >= this.distrustedUntil;
	}

	/**
	 * Gives up all requests and returns their pieces. What was asked for may still come.
	 */
	Set<Integer> release() {
		Set<Integer> pieces = new LinkedHashSet<>(this.asks.keySet());
		pieces.addAll(this.begun.keySet());
		this.owed.putAll(this.asks);
		this.asks.clear();
		this.begun.clear();
		this.turnedAway.clear();
		return pieces;
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
		this.lateAt = LONG_AGO;
		this.pausedUntil = Long.MIN_VALUE;
	}

	void linkDown(long retryAt) {
		this.up = false;
		this.down = true;
		this.owed.clear();
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
		return ready(now) && this.asks.size() + this.begun.size() < perPeer;
	}

	/**
	 * Returns whether it may be asked at all.
	 */
	boolean ready(long now) {
		return this.up && now >= this.pausedUntil && now >= this.distrustedUntil;
	}

	/**
	 * Returns whether others must not count on it.
	 */
	boolean failing(long now) {
		boolean idle = this.idleSince != NEVER && now - this.idleSince > IDLE_NANOS;
		return this.down || idle || this.strikes >= FAILING_STRIKES || slow(now) || now < this.distrustedUntil;
	}

	private boolean slow(long now) {
		return now - this.lateAt < SLOW_NANOS;
	}

	/**
	 * Notes that it has brought a part in time.
	 */
	void inTime() {
		this.lateAt = LONG_AGO;
	}

	/**
	 * Returns whether this was the silence that made it count as failing.
	 */
	boolean silent(long now, long deadlineNanos) {
		this.strikes++;
		this.lateAt = now;
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
	// on the link. The doubled time keeps it out of this roll, and lets a VM whose one
	// answer was hit on the way come back.
	void corrupt(long now, long distrustNanos) {
		this.distrustedUntil = now + (distrustNanos << Math.min(this.corruptions, MOST_DOUBLINGS));
		this.corruptions++;
	}

	/**
	 * One request without an answer.
	 *
	 * @param at when it was made
	 * @param offset bytes that had come before
	 * @param end bytes that will have come with its answer
	 */
	record Ask(long at, int offset, int end) {
	}

}
