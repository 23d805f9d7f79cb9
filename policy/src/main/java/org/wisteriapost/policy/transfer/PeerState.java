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
 * The state of one connected peer: what it holds, what is requested from it, and whether
 * it responds.
 */
final class PeerState {

	// Consecutive timeouts after which a peer counts as failing.
	private static final int FAILING_TIMEOUTS = 1;

	private static final int MAX_DOUBLINGS = 5;

	private static final long NEVER = Long.MAX_VALUE;

	private static final long LONG_AGO = Long.MIN_VALUE / 2;

	// A peer whose link has a tenth of its declared capacity still responds now and
	// then, and so would count as healthy: no other VM would read the chunks assigned to
	// it from the origin, and all would wait for them. For this long after its last late
	// response, or until it sends a part in time, other VMs take over its chunks.
	private static final long SLOW_PERIOD_NANOS = Duration.ofSeconds(2).toNanos();

	// A new target version reaches all VMs within a second. Without the grace period the
	// VMs that receive it first would read the chunks that the others are about to read.
	private static final long NOT_FETCHING_GRACE_NANOS = Duration.ofSeconds(1).toNanos();

	private final Peer peer;

	private final boolean sameFailureDomain;

	private final BitSet held = new BitSet();

	// How long an abandoned request counts as in flight; afterwards its link is assumed
	// dead.
	private static final long ABANDONED_RETENTION_NANOS = Duration.ofSeconds(10).toNanos();

	private final Map<Integer, PendingRequest> pending = new HashMap<>();

	// Bytes received of each chunk that is partially received and not being requested.
	private final Map<Integer, Integer> partial = new LinkedHashMap<>();

	private final Map<Integer, PendingRequest> abandoned = new HashMap<>();

	// Partially received chunks whose latest request the peer answered with busy.
	private final Set<Integer> refusedOnce = new HashSet<>();

	private boolean up;

	private boolean down;

	private boolean countedAsHolder;

	private boolean reported;

	private long notFetchingSince = NEVER;

	private long pausedUntil = Long.MIN_VALUE;

	private long distrustedUntil = Long.MIN_VALUE;

	private int timeouts;

	private long lastLateAt = LONG_AGO;

	private int corruptions;

	PeerState(Peer peer, boolean sameFailureDomain) {
		this.peer = peer;
		this.sameFailureDomain = sameFailureDomain;
	}

	String vm() {
		return this.peer.vm();
	}

	boolean sameFailureDomain() {
		return this.sameFailureDomain;
	}

	boolean up() {
		return this.up;
	}

	BitSet held() {
		return this.held;
	}

	/**
	 * Returns the pending requests by chunk.
	 */
	Map<Integer, PendingRequest> pending() {
		return this.pending;
	}

	/**
	 * Returns the chunks to resume, and how many bytes of each were received.
	 */
	Map<Integer, Integer> partial() {
		return this.partial;
	}

	/**
	 * Returns whether the part that ends at an offset is being requested.
	 */
	boolean isPending(int chunk, int end) {
		PendingRequest request = this.pending.get(chunk);
		return request != null && request.end() == end;
	}

	/**
	 * Returns whether a chunk is being requested or resumed from this peer.
	 */
	boolean isSourceOf(int chunk) {
		return this.pending.containsKey(chunk) || this.partial.containsKey(chunk);
	}

	void addPending(int chunk, int end, long now) {
		int offset = Optional.ofNullable(this.partial.remove(chunk)).orElse(0);
		this.pending.put(chunk, new PendingRequest(now, offset, end));
	}

	/**
	 * Removes the request for the part that ends at an offset, also an abandoned one.
	 */
	Optional<PendingRequest> removePending(int chunk, int end) {
		this.refusedOnce.remove(chunk);
		return Optional.ofNullable((isPending(chunk, end) ? this.pending : this.abandoned).remove(chunk));
	}

	/**
	 * Removes the request for a chunk, also an abandoned one.
	 */
	Optional<PendingRequest> removePending(int chunk) {
		return Optional.ofNullable(this.pending.remove(chunk))
			.or(() -> Optional.ofNullable(this.abandoned.remove(chunk)));
	}

	/**
	 * Records that the peer was busy for a partially received chunk, and returns whether
	 * to retry once. A peer that stays busy would otherwise keep all chunks begun with it
	 * and block requests to others; discarding the received bytes costs less.
	 */
	boolean mayRetryAfterBusy(int chunk) {
		boolean retry = this.refusedOnce.add(chunk);
		if (!retry) {
			this.refusedOnce.remove(chunk);
		}
		return retry;
	}

	/**
	 * Returns how many abandoned requests that were sent since a time may still be
	 * answered.
	 */
	int abandoned(long since, long now) {
		this.abandoned.values().removeIf((request) -> now - request.sentAt() > ABANDONED_RETENTION_NANOS);
		return (int) this.abandoned.values().stream().filter((request) -> request.sentAt() >= since).count();
	}

	/**
	 * Restarts the timeout of each pending request.
	 */
	void restartTimers(long now) {
		this.pending.replaceAll((chunk, request) -> new PendingRequest(now, request.offset(), request.end()));
	}

	boolean countedAsHolder() {
		return this.countedAsHolder;
	}

	void countedAsHolder(boolean counted) {
		this.countedAsHolder = counted;
	}

	/**
	 * Returns whether the peer may be counted as a holder again: it has responded, and
	 * its backoff after a corrupt chunk has ended.
	 */
	boolean mayCountAgain(long now) {
		return this.up && !this.countedAsHolder && this.timeouts < FAILING_TIMEOUTS && !slow(now)
				&& now >= this.distrustedUntil;
	}

	/**
	 * Abandons all requests and returns their chunks. Abandoned requests may still be
	 * answered.
	 */
	Set<Integer> abandonRequests() {
		Set<Integer> chunks = new LinkedHashSet<>(this.pending.keySet());
		chunks.addAll(this.partial.keySet());
		this.abandoned.putAll(this.pending);
		this.pending.clear();
		this.partial.clear();
		this.refusedOnce.clear();
		return chunks;
	}

	/**
	 * Returns whether the peer has reported which chunks it holds, or is unreachable.
	 */
	boolean reported() {
		return this.reported || this.down;
	}

	void reported(boolean reported) {
		this.reported = reported;
	}

	/**
	 * Records that the peer neither fetches nor holds these files, so that it reads
	 * nothing from the origin, whatever its rank.
	 */
	void markNotFetching(long now) {
		this.notFetchingSince = Math.min(this.notFetchingSince, now);
	}

	void markFetching() {
		this.notFetchingSince = NEVER;
	}

	void linkUp() {
		this.up = true;
		this.down = false;
		this.timeouts = 0;
		this.lastLateAt = LONG_AGO;
		this.pausedUntil = Long.MIN_VALUE;
	}

	void linkDown(long retryAt) {
		this.up = false;
		this.down = true;
		this.abandoned.clear();
		this.pausedUntil = retryAt;
	}

	boolean reconnectDue(long now) {
		return this.down && now >= this.pausedUntil;
	}

	/**
	 * Returns whether one more chunk may be requested from the peer.
	 */
	boolean acceptsNewChunk(long now, int perPeer) {
		return acceptsRequests(now) && this.pending.size() + this.partial.size() < perPeer;
	}

	/**
	 * Returns whether the peer is connected and not in a backoff.
	 */
	boolean acceptsRequests(long now) {
		return this.up && now >= this.pausedUntil && now >= this.distrustedUntil;
	}

	/**
	 * Returns whether other VMs take over the chunks assigned to this peer.
	 */
	boolean failing(long now) {
		boolean idle = this.notFetchingSince != NEVER && now - this.notFetchingSince > NOT_FETCHING_GRACE_NANOS;
		return this.down || idle || this.timeouts >= FAILING_TIMEOUTS || slow(now) || now < this.distrustedUntil;
	}

	private boolean slow(long now) {
		return now - this.lastLateAt < SLOW_PERIOD_NANOS;
	}

	void recordOnTime() {
		this.lastLateAt = LONG_AGO;
	}

	/**
	 * Records a timeout and returns whether it made the peer count as failing.
	 */
	boolean recordTimeout(long now, long deadlineNanos) {
		this.timeouts++;
		this.lastLateAt = now;
		this.pausedUntil = now + (deadlineNanos << Math.min(this.timeouts, MAX_DOUBLINGS));
		return this.timeouts == FAILING_TIMEOUTS;
	}

	void recordResponse(long now) {
		if (this.timeouts > 0) {
			this.timeouts = 0;
			this.pausedUntil = now;
		}
	}

	void pause(long untilNanos) {
		this.pausedUntil = Math.max(this.pausedUntil, untilNanos);
	}

	// A VM with faulty memory sends corrupt chunks repeatedly, and each wastes a chunk's
	// time on the link. The doubling backoff excludes it for the rest of the rollout,
	// while a VM whose single response was damaged in transit returns.
	void recordCorruption(long now, long distrustNanos) {
		this.distrustedUntil = now + (distrustNanos << Math.min(this.corruptions, MAX_DOUBLINGS));
		this.corruptions++;
	}

	/**
	 * A request without a response.
	 *
	 * @param sentAt when it was sent
	 * @param offset bytes of the chunk received before
	 * @param end bytes of the chunk received with its response
	 */
	record PendingRequest(long sentAt, int offset, int end) {
	}

}
