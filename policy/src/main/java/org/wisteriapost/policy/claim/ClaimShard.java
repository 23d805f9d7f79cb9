package org.wisteriapost.policy.claim;

import java.util.ArrayList;
import java.util.LinkedList;
import java.util.List;
import java.util.Optional;

import org.wisteriapost.policy.claim.ClaimRecord.State;
import org.wisteriapost.policy.claim.ClaimRecord.StoredAnswer;

/**
 * Local state of one claim object and the operations that wait for it. At most one read
 * or write is in progress; operations that arrive meanwhile are batched into the next
 * write.
 *
 * A write whose confirmation is lost is resolved by reading the page again: its
 * operations are requeued at the front, and a claim whose nonce is found in the page has
 * succeeded.
 */
final class ClaimShard {

	// Below the platform's limit of one megabyte, with space for one more batch.
	private static final int MAX_PAGE_BYTES = 900_000;

	// Above this size a page still takes claims but stores no answers: claims prevent a
	// second execution, whereas a missing answer only makes a repeat return "unknown".
	private static final int MAX_PAGE_BYTES_WITH_ANSWERS = 600_000;

	private static final int RECORD_OVERHEAD_BYTES = 220;

	// Bounds the work per event.
	private static final int MAX_BATCH_OPERATIONS = 256;

	private final String object;

	private final LinkedList<ClaimOperation> waiting = new LinkedList<>();

	private Optional<CachedPage> cached = Optional.empty();

	private Optional<PendingWrite> pendingWrite = Optional.empty();

	private boolean readInProgress;

	private long waitingSinceNanos;

	private long cachedNanos;

	ClaimShard(String object) {
		this.object = object;
	}

	String object() {
		return this.object;
	}

	void enqueue(ClaimOperation operation, long nowNanos) {
		if (this.waiting.isEmpty()) {
			this.waitingSinceNanos = nowNanos;
		}
		this.waiting.add(operation);
	}

	/**
	 * Returns whether no read or write is in progress.
	 */
	boolean isIdle() {
		return !this.readInProgress && this.pendingWrite.isEmpty();
	}

	/**
	 * Returns when the oldest waiting operation arrived.
	 */
	long waitingSinceNanos() {
		return this.waitingSinceNanos;
	}

	int waiting() {
		return this.waiting.size();
	}

	/**
	 * Returns whether a caller waits for this shard. Settlements and releases are less
	 * urgent.
	 */
	boolean hasWaitingClaim() {
		return this.waiting.stream().anyMatch((operation) -> operation instanceof ClaimOperation.Claim);
	}

	boolean isReading() {
		return this.readInProgress;
	}

	/**
	 * Returns whether the page was read or written at the given time or later.
	 */
	boolean isCachedSince(long nanos) {
		return this.cached.isPresent() && this.cachedNanos - nanos >= 0;
	}

	/**
	 * Drops a page that was last read or written before the given time, so that it is
	 * read again.
	 */
	void evictBefore(long nanos) {
		if (isIdle() && this.cachedNanos - nanos < 0) {
			this.cached = Optional.empty();
		}
	}

	/**
	 * Starts the next read or write if operations wait and none is in progress.
	 */
	void startNext(List<ClaimEffect> effects) {
		if (!isIdle() || this.waiting.isEmpty()) {
			return;
		}
		if (this.cached.isEmpty()) {
			this.readInProgress = true;
			effects.add(new ClaimEffect.Read(this.object));
			return;
		}
		write(this.cached.get(), effects);
	}

	/**
	 * Handles the object's current value, from a read or from a write conflict.
	 */
	void onRead(ClaimPage page, long version, long nowNanos) {
		this.readInProgress = false;
		this.cachedNanos = nowNanos;
		this.cached = Optional.of(new CachedPage(page, version));
		requeueBatch();
	}

	/**
	 * Handles the confirmation of a write.
	 */
	void onWritten(long version, long nowNanos, List<ClaimEffect> effects) {
		if (this.pendingWrite.isEmpty()) {
			return;
		}
		PendingWrite completed = this.pendingWrite.get();
		this.pendingWrite = Optional.empty();
		this.cached = Optional.of(new CachedPage(completed.page, version));
		this.cachedNanos = nowNanos;
		for (ClaimOperation operation : completed.batch) {
			if (operation instanceof ClaimOperation.Claim claim) {
				complete(new ClaimResult.Claimed(claim.id()), effects);
			}
		}
	}

	/**
	 * Handles the failure of a read or write. Waiting claims are refused; their calls
	 * were not sent and certainly did not run. A claim whose write may have taken effect
	 * is released once the platform is available again. Settlements and releases keep
	 * waiting.
	 * @param unconfirmed whether a write may have taken effect
	 */
	void onFailure(boolean unconfirmed, List<ClaimEffect> effects) {
		boolean writePending = this.pendingWrite.isPresent();
		this.readInProgress = false;
		this.cached = Optional.empty();
		requeueBatch();
		if (writePending && unconfirmed) {
			this.waiting.replaceAll((operation) -> (operation instanceof ClaimOperation.Claim claim)
					? claim.withUnconfirmedWrite() : operation);
			return;
		}
		List<ClaimOperation> remaining = new ArrayList<>();
		for (ClaimOperation operation : this.waiting) {
			if (operation instanceof ClaimOperation.Claim claim) {
				complete(new ClaimResult.Failed(claim.id(), false), effects);
				// Only for unconfirmed writes: a long outage must not accumulate a
				// release for every refused call.
				if (claim.unconfirmed()) {
					remaining.add(new ClaimOperation.Release(claim.key(), claim.nonce()));
				}
			}
			else {
				remaining.add(operation);
			}
		}
		this.waiting.clear();
		this.waiting.addAll(remaining);
	}

	private void requeueBatch() {
		this.pendingWrite.ifPresent((failed) -> failed.batch.reversed().forEach(this.waiting::addFirst));
		this.pendingWrite = Optional.empty();
	}

	private void write(CachedPage from, List<ClaimEffect> effects) {
		List<ClaimOperation> batch = new ArrayList<>();
		ClaimPage page = from.page;
		int bytes = size(page);
		while (!this.waiting.isEmpty() && batch.size() < MAX_BATCH_OPERATIONS) {
			ClaimOperation operation = this.waiting.pollFirst();
			Optional<ClaimPage> next = switch (operation) {
				case ClaimOperation.Claim claim -> claim(claim, page, bytes, effects);
				case ClaimOperation.Settle settle -> settle(settle, page, bytes);
				case ClaimOperation.Release release ->
					findOwned(page, release.key(), release.nonce()).map((record) -> record.key()).map(page::without);
			};
			if (this.cached.isEmpty()) {
				// A claim requires the page to be read again; the operations before it
				// are requeued.
				batch.reversed().forEach(this.waiting::addFirst);
				startNext(effects);
				return;
			}
			if (next.isPresent()) {
				page = next.get();
				bytes = size(page);
				batch.add(operation);
			}
		}
		if (!batch.isEmpty()) {
			this.pendingWrite = Optional.of(new PendingWrite(page, batch));
			effects.add(new ClaimEffect.Write(this.object, page.encode(), from.version));
		}
	}

	private Optional<ClaimPage> claim(ClaimOperation.Claim claim, ClaimPage page, int bytes,
			List<ClaimEffect> effects) {
		if (claim.key().slot() < page.slot()) {
			complete(new ClaimResult.Expired(claim.id()), effects);
			return Optional.empty();
		}
		ClaimPage current = (claim.key().slot() > page.slot()) ? new ClaimPage(claim.key().slot(), List.of()) : page;
		Optional<ClaimRecord> first = current.find(claim.key().hash());
		if (first.isEmpty()) {
			if (current == page && bytes + RECORD_OVERHEAD_BYTES > MAX_PAGE_BYTES) {
				complete(new ClaimResult.Failed(claim.id(), true), effects);
				return Optional.empty();
			}
			return Optional.of(current.with(ClaimRecord.claimed(claim.key().hash(), claim.call(), claim.nonce())));
		}
		ClaimRecord record = first.get();
		if (record.nonce().equals(claim.nonce())) {
			complete(new ClaimResult.Claimed(claim.id()), effects);
			return Optional.empty();
		}
		if (record.state() == State.CLAIMED && !claim.reread()) {
			// Another entry may have settled it since the page was read.
			this.waiting.addFirst(claim.withReread());
			this.cached = Optional.empty();
			return Optional.empty();
		}
		complete(new ClaimResult.AlreadyClaimed(claim.id(), record, record.call().equals(claim.call())), effects);
		return Optional.empty();
	}

	private Optional<ClaimPage> settle(ClaimOperation.Settle settle, ClaimPage page, int bytes) {
		boolean fits = bytes + settle.answer().encodedBytes() <= MAX_PAGE_BYTES_WITH_ANSWERS;
		boolean stored = settle.state() == State.ANSWERED && fits;
		State state = (settle.state() == State.ANSWERED && !fits) ? State.RAN : settle.state();
		return findOwned(page, settle.key(), settle.nonce())
			.map((record) -> record.withOutcome(state, stored ? settle.answer() : StoredAnswer.NONE))
			.map(page::with);
	}

	private static Optional<ClaimRecord> findOwned(ClaimPage page, ClaimKey key, String nonce) {
		if (page.slot() != key.slot()) {
			return Optional.empty();
		}
		return page.find(key.hash()).filter((record) -> record.isOwnedBy(key.hash(), nonce));
	}

	private static int size(ClaimPage page) {
		return page.records()
			.stream()
			.mapToInt((record) -> RECORD_OVERHEAD_BYTES + record.answer().encodedBytes())
			.sum();
	}

	private static void complete(ClaimResult verdict, List<ClaimEffect> effects) {
		effects.add(new ClaimEffect.Complete(verdict));
	}

	private record CachedPage(ClaimPage page, long version) {
	}

	private record PendingWrite(ClaimPage page, List<ClaimOperation> batch) {
	}

}
