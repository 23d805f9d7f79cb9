package org.wisteriapost.policy.claim;

import java.util.ArrayList;
import java.util.LinkedList;
import java.util.List;
import java.util.Optional;

import org.wisteriapost.policy.claim.ClaimRecord.KeptAnswer;
import org.wisteriapost.policy.claim.ClaimRecord.State;

/**
 * One claim object as this entry knows it, with the wishes that wait for it. At most one
 * read or write is under way; what is wished meanwhile goes together into the next write.
 *
 * A write whose confirmation is lost is resolved by reading back: the wishes stay at the
 * front, and a claim that finds its own nonce in the page has been claimed.
 */
final class ClaimShard {

	// Below the platform's megabyte with room for one more batch.
	private static final int MAX_PAGE_BYTES = 900_000;

	// A page that is nearly full still takes claims but keeps no more answers: claims
	// protect from running twice, answers only spare the caller an "unknown".
	private static final int ROOM_FOR_ANSWERS_BYTES = 600_000;

	private static final int RECORD_BYTES = 220;

	// Bounds the work of one event.
	private static final int MAX_BATCH = 256;

	private final String object;

	private final LinkedList<ClaimWish> waiting = new LinkedList<>();

	private Optional<Known> known = Optional.empty();

	private Optional<Pending> pending = Optional.empty();

	private boolean reading;

	private long waitingSinceNanos;

	private long knownNanos;

	ClaimShard(String object) {
		this.object = object;
	}

	String object() {
		return this.object;
	}

	void wish(ClaimWish wish, long nowNanos) {
		if (this.waiting.isEmpty()) {
			this.waitingSinceNanos = nowNanos;
		}
		this.waiting.add(wish);
	}

	/**
	 * Returns whether nothing is under way.
	 */
	boolean rests() {
		return !this.reading && this.pending.isEmpty();
	}

	/**
	 * Returns when the first of what waits came.
	 */
	long waitingSinceNanos() {
		return this.waitingSinceNanos;
	}

	int waiting() {
		return this.waiting.size();
	}

	/**
	 * Returns whether a caller waits for this shard; what else waits can wait longer.
	 */
	boolean urgent() {
		return this.waiting.stream().anyMatch((wish) -> wish instanceof ClaimWish.Claim);
	}

	/**
	 * Returns whether a read is under way.
	 */
	boolean reads() {
		return this.reading;
	}

	/**
	 * Returns whether the page was last seen at a time or after it.
	 */
	boolean knownSince(long nanos) {
		return this.known.isPresent() && this.knownNanos - nanos >= 0;
	}

	/**
	 * Forgets the page when it was last seen before a time, so that it is read again.
	 */
	void forgetBefore(long nanos) {
		if (rests() && this.knownNanos - nanos < 0) {
			this.known = Optional.empty();
		}
	}

	/**
	 * Takes the next step for what waits.
	 */
	void step(List<ClaimEffect> effects) {
		if (!rests() || this.waiting.isEmpty()) {
			return;
		}
		if (this.known.isEmpty()) {
			this.reading = true;
			effects.add(new ClaimEffect.Read(this.object));
			return;
		}
		write(this.known.get(), effects);
	}

	/**
	 * Takes the object as it is in the platform: what was read, or what a write found
	 * instead of what it expected.
	 */
	void read(ClaimPage page, long version, long nowNanos) {
		this.reading = false;
		this.knownNanos = nowNanos;
		this.known = Optional.of(new Known(page, version));
		back();
	}

	/**
	 * Takes the confirmation of a write.
	 */
	void written(long version, long nowNanos, List<ClaimEffect> effects) {
		if (this.pending.isEmpty()) {
			return;
		}
		Pending done = this.pending.get();
		this.pending = Optional.empty();
		this.known = Optional.of(new Known(done.page, version));
		this.knownNanos = nowNanos;
		for (ClaimWish wish : done.batch) {
			if (wish instanceof ClaimWish.Claim claim) {
				tell(new ClaimVerdict.Claimed(claim.id()), effects);
			}
		}
	}

	/**
	 * Takes the failure of a read or write. Claims are refused: they were not sent, so
	 * that it is certain that they did not run. One whose write may yet take effect is
	 * taken back as soon as the platform answers again. The other wishes wait for that as
	 * well.
	 * @param unconfirmed whether a write may have taken effect
	 */
	void failed(boolean unconfirmed, List<ClaimEffect> effects) {
		boolean wrote = this.pending.isPresent();
		this.reading = false;
		this.known = Optional.empty();
		back();
		if (wrote && unconfirmed) {
			this.waiting.replaceAll((wish) -> (wish instanceof ClaimWish.Claim claim) ? claim.afterLostAnswer() : wish);
			return;
		}
		List<ClaimWish> kept = new ArrayList<>();
		for (ClaimWish wish : this.waiting) {
			if (wish instanceof ClaimWish.Claim claim) {
				tell(new ClaimVerdict.Failed(claim.id(), false), effects);
				// Only these: an outage of an hour must not gather a wish for each call
				// that it turned away.
				if (claim.unconfirmed()) {
					kept.add(new ClaimWish.Release(claim.key(), claim.nonce()));
				}
			}
			else {
				kept.add(wish);
			}
		}
		this.waiting.clear();
		this.waiting.addAll(kept);
	}

	private void back() {
		this.pending.ifPresent((failed) -> failed.batch.reversed().forEach(this.waiting::addFirst));
		this.pending = Optional.empty();
	}

	private void write(Known from, List<ClaimEffect> effects) {
		List<ClaimWish> batch = new ArrayList<>();
		ClaimPage page = from.page;
		int bytes = size(page);
		while (!this.waiting.isEmpty() && batch.size() < MAX_BATCH) {
			ClaimWish wish = this.waiting.pollFirst();
			Optional<ClaimPage> next = switch (wish) {
				case ClaimWish.Claim claim -> claim(claim, page, bytes, effects);
				case ClaimWish.Settle settle -> settle(settle, page, bytes);
				case ClaimWish.Release release ->
					own(page, release.key(), release.nonce()).map((record) -> record.key()).map(page::without);
			};
			if (this.known.isEmpty()) {
				// A claim asked for the page to be read again; what came before it is
				// written after that.
				batch.reversed().forEach(this.waiting::addFirst);
				step(effects);
				return;
			}
			if (next.isPresent()) {
				page = next.get();
				bytes = size(page);
				batch.add(wish);
			}
		}
		if (!batch.isEmpty()) {
			this.pending = Optional.of(new Pending(page, batch));
			effects.add(new ClaimEffect.Write(this.object, page.encode(), from.version));
		}
	}

	private Optional<ClaimPage> claim(ClaimWish.Claim claim, ClaimPage page, int bytes, List<ClaimEffect> effects) {
		if (claim.key().slot() < page.slot()) {
			tell(new ClaimVerdict.Expired(claim.id()), effects);
			return Optional.empty();
		}
		ClaimPage from = (claim.key().slot() > page.slot()) ? new ClaimPage(claim.key().slot(), List.of()) : page;
		Optional<ClaimRecord> first = from.find(claim.key().hash());
		if (first.isEmpty()) {
			if (from == page && bytes + RECORD_BYTES > MAX_PAGE_BYTES) {
				tell(new ClaimVerdict.Failed(claim.id(), true), effects);
				return Optional.empty();
			}
			return Optional.of(from.with(ClaimRecord.claimed(claim.key().hash(), claim.call(), claim.nonce())));
		}
		ClaimRecord record = first.get();
		if (record.nonce().equals(claim.nonce())) {
			tell(new ClaimVerdict.Claimed(claim.id()), effects);
			return Optional.empty();
		}
		if (record.state() == State.CLAIMED && !claim.reread()) {
			// Settled by another entry, perhaps, since the page was read.
			this.waiting.addFirst(claim.afterReading());
			this.known = Optional.empty();
			return Optional.empty();
		}
		tell(new ClaimVerdict.Repeated(claim.id(), record, record.call().equals(claim.call())), effects);
		return Optional.empty();
	}

	private Optional<ClaimPage> settle(ClaimWish.Settle settle, ClaimPage page, int bytes) {
		boolean room = bytes + settle.answer().size() <= ROOM_FOR_ANSWERS_BYTES;
		boolean kept = settle.state() == State.ANSWERED && room;
		State state = (settle.state() == State.ANSWERED && !room) ? State.RAN : settle.state();
		return own(page, settle.key(), settle.nonce())
			.map((record) -> record.settled(state, kept ? settle.answer() : KeptAnswer.NONE))
			.map(page::with);
	}

	private static Optional<ClaimRecord> own(ClaimPage page, ClaimKey key, String nonce) {
		if (page.slot() != key.slot()) {
			return Optional.empty();
		}
		return page.find(key.hash()).filter((record) -> record.isOf(key.hash(), nonce));
	}

	private static int size(ClaimPage page) {
		return page.records().stream().mapToInt((record) -> RECORD_BYTES + record.answer().size()).sum();
	}

	private static void tell(ClaimVerdict verdict, List<ClaimEffect> effects) {
		effects.add(new ClaimEffect.Tell(verdict));
	}

	private record Known(ClaimPage page, long version) {
	}

	private record Pending(ClaimPage page, List<ClaimWish> batch) {
	}

}
