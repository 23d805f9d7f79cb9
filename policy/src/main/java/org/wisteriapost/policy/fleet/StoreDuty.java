package org.wisteriapost.policy.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;

/**
 * Whether this entry reads the site's store itself or hears from a neighbour what it
 * says.
 *
 * Load: dozens of entries that each wait for changes of four kinds of objects. Harm
 * prevented: every change of a runner costs the store a call an entry, some hundred a
 * second while a service is replaced, against rates that all share. In a group that
 * shares a reader one entry reads, the first by rendezvous of those that live, and the
 * others rest.
 *
 * The reader may die, freeze, be cut off or be turned away by the store, and what it does
 * not pass on would be missing: callers would be sent to runners that have left. So an
 * entry that rests takes the reader for lost when it says that it is not current, when
 * the link to it is gone, and when nothing came for {@value #SILENT_MILLIS} ms, of which
 * the reader sends something every half second. Two that both read do no harm.
 *
 * What is done about a loss, without all reading at once: {@link Succession}.
 *
 * A reader that froze reads on when it is back, beside the one that took its place, and
 * while somebody hears either neither rests. Symptom: the store is paid for both, for
 * good. So who rests asks the first by rendezvous, once that is not suspected any more,
 * and leaves its own reader only when it has everything from the other one. That is
 * enough: all move to the same, nobody hears the former, and it rests.
 *
 * The store may answer a reader for runners while its reading of the routes never ends.
 * Symptom: its signs go on, and with them a table whose tokens were taken away. So a
 * reader whose routes are older than the bound allows is left in the same way, for one
 * whose routes are not. Were all to read, a link that is full of the table would get a
 * copy for each; so of those that hear it the first by rendezvous reads at once, the next
 * two each {@value #BESIDE_MILLIS} ms later, and the others hear whichever has the
 * routes.
 */
public final class StoreDuty {

	/** Up to so many entries each reads for itself: few calls, and nobody to wait for. */
	public static final int MOST_READING_ALL = 8;

	static final int SILENT_MILLIS = 1200;

	static final int LATEST_MILLIS = Succession.LATEST_MILLIS;

	static final int BESIDE_MILLIS = 1000;

	private static final int MOST_BESIDE = 3;

	private static final long NANOS_PER_MILLI = Duration.ofMillis(1).toNanos();

	private static final long BESIDE_NANOS = Duration.ofMillis(BESIDE_MILLIS).toNanos();

	private static final Duration USUAL_IN_FORCE = Duration.ofSeconds(3);

	// The rest of the bound is for the reading.
	private static final double UNINFORMED_SHARE = 0.8;

	private static final long SILENT_NANOS = Duration.ofMillis(SILENT_MILLIS).toNanos();

	// A link carries everything within it, or is no good for news.
	private static final long ANSWER_NANOS = Duration.ofMillis(600).toNanos();

	// After a start or a loss the neighbours are found one after the other.
	private static final long SETTLE_NANOS = Duration.ofSeconds(1).toNanos();

	private final String self;

	private final long mostUninformedNanos;

	private final ReaderOrder order;

	private final ReaderAges ages;

	private Stage stage = Stage.READS;

	// Whom this entry hears or has asked; itself while it reads.
	private String reader;

	// Since when the stage is entered, or since the reader was last heard.
	private long sinceNanos;

	// As it was at the last look.
	private Collection<String> group = List.of();

	// Who is asked beside the reader, to be heard instead of it.
	private Optional<String> candidate = Optional.empty();

	private long candidateNanos;

	// How many have been asked for want of routes that are not old.
	private int asked;

	private long restsNanos;

	// Since when the reader's routes are older than the bound allows.
	private OptionalLong oldNanos = OptionalLong.empty();

	// What is done about the last loss.
	private Optional<Succession> succession = Optional.empty();

	private StoreDuty(String self, Duration inForce) {
		this.self = self;
		this.reader = self;
		this.order = new ReaderOrder(self);
		this.ages = ReaderAges.of(inForce);
		this.mostUninformedNanos = (long) (inForce.toNanos() * UNINFORMED_SHARE);
	}

	/**
	 * Returns the duty of one entry, which reads, with the usual bound for declarations.
	 */
	public static StoreDuty of(String self) {
		return of(self, USUAL_IN_FORCE);
	}

	/**
	 * Returns the duty of one entry, which reads.
	 * @param inForce from a declaration until it binds
	 */
	public static StoreDuty of(String self, Duration inForce) {
		return new StoreDuty(self, inForce);
	}

	/**
	 * Returns whether this entry leaves the store to a neighbour, also while it looks for
	 * another one.
	 */
	public boolean rests() {
		return this.stage == Stage.RESTS || this.stage == Stage.SEEKS;
	}

	/**
	 * Returns whether this entry has a neighbour from which it hears the store.
	 */
	public boolean settled() {
		return this.stage == Stage.RESTS;
	}

	/**
	 * Returns whether what an entry passes on is to be believed.
	 */
	public boolean believes(String peer) {
		return isCandidate(peer) || (this.stage != Stage.READS && peer.equals(this.reader));
	}

	/**
	 * Returns how many milliseconds ago the neighbour from which this entry hears the
	 * store was heard, rounded up; empty when it has none.
	 */
	public OptionalLong heardAgoMillis(long nowNanos) {
		long ago = Math.ceilDiv(Math.max(0, nowNanos - this.sinceNanos), NANOS_PER_MILLI);
		return settled() ? OptionalLong.of(ago) : OptionalLong.empty();
	}

	/**
	 * Hears as of when the routes are that a neighbour passes on.
	 */
	public void knownAsOf(String peer, long nanos) {
		if (believes(peer)) {
			this.ages.known(peer, nanos);
		}
	}

	/**
	 * Looks what is to be done now.
	 * @param group the other living entries that share a reader with this one; empty when
	 * each reads for itself
	 * @param mayRest whether this entry knows all, the store answers it and nobody hears
	 * the store from it
	 */
	public List<Step> tick(Collection<String> group, boolean mayRest, long nowNanos) {
		this.group = List.copyOf(group);
		return switch (this.stage) {
			case READS -> reads(group, mayRest, nowNanos);
			case ASKED -> asked(group, mayRest, nowNanos);
			case RESTS -> (!group.contains(this.reader) || nowNanos - this.sinceNanos > SILENT_NANOS)
					? lost(this.sinceNanos, nowNanos) : move(nowNanos);
			case SEEKS -> seeks((loss) -> loss.tick(this.group, nowNanos), nowNanos);
		};
	}

	/**
	 * Hears the reader.
	 * @param current whether the store answers it
	 * @param complete whether all objects of all kinds have come from it
	 */
	public List<Step> heard(String peer, boolean current, boolean complete, long nowNanos) {
		if (!believes(peer)) {
			return List.of();
		}
		if (isCandidate(peer)) {
			return candidateSays(peer, current, complete, nowNanos);
		}
		return switch (this.stage) {
			case READS -> List.of();
			case ASKED -> current ? answered(complete, nowNanos) : read(nowNanos);
			case RESTS -> current ? confirmed(nowNanos) : lost(informedNanos(), nowNanos);
			case SEEKS -> (current && complete) ? confirmed(nowNanos)
					: seeks((loss) -> loss.heard(peer, current, nowNanos), nowNanos);
		};
	}

	/**
	 * Hears a neighbour that was asked and hears the store from another one.
	 * @param agoNanos how long before its answer it heard that one
	 */
	public List<Step> heardResting(String peer, long agoNanos, long nowNanos) {
		return (this.stage == Stage.SEEKS && believes(peer))
				? seeks((loss) -> loss.heardResting(peer, agoNanos, this.group, nowNanos), nowNanos)
				: heard(peer, false, false, nowNanos);
	}

	private List<Step> reads(Collection<String> group, boolean mayRest, long nowNanos) {
		Optional<String> wanted = this.order.wanted(group, nowNanos);
		if (!mayRest || wanted.isEmpty()) {
			enter(Stage.READS, this.self, nowNanos);
			return List.of();
		}
		if (!wanted.get().equals(this.reader)) {
			enter(Stage.READS, wanted.get(), nowNanos);
			return List.of();
		}
		if (nowNanos - this.sinceNanos < SETTLE_NANOS) {
			return List.of();
		}
		enter(Stage.ASKED, this.reader, nowNanos);
		return List.of(new Step.Ask(this.reader));
	}

	private List<Step> asked(Collection<String> group, boolean mayRest, long nowNanos) {
		boolean late = nowNanos - this.sinceNanos > ANSWER_NANOS;
		return (late || !mayRest || !group.contains(this.reader)) ? read(nowNanos) : List.of();
	}

	private List<Step> answered(boolean complete, long nowNanos) {
		if (!complete) {
			return List.of();
		}
		enter(Stage.RESTS, this.reader, nowNanos);
		return List.of(new Step.Rest());
	}

	private List<Step> confirmed(long nowNanos) {
		enter(Stage.RESTS, this.reader, nowNanos);
		// One that has just begun to read is given as long as the routes may be old.
		boolean old = this.ages.old(this.reader, nowNanos) && this.ages.late(this.restsNanos, nowNanos);
		if (!old || this.oldNanos.isEmpty()) {
			this.oldNanos = old ? OptionalLong.of(nowNanos) : OptionalLong.empty();
		}
		return List.of();
	}

	private List<Step> move(long nowNanos) {
		if (this.candidate.isPresent()) {
			boolean late = nowNanos - this.candidateNanos > ANSWER_NANOS;
			return (late || !this.group.contains(this.candidate.get())) ? stay(nowNanos) : List.of();
		}
		if (this.oldNanos.isPresent()) {
			return leaveOld(nowNanos - this.oldNanos.getAsLong(), nowNanos);
		}
		return consider(this.order.wanted(this.group, nowNanos).filter((first) -> !first.equals(this.reader)),
				nowNanos);
	}

	private List<Step> leaveOld(long agoNanos, long nowNanos) {
		List<String> order = this.order.all(this.group, nowNanos)
			.stream()
			.filter((name) -> !name.equals(this.reader))
			.limit(MOST_BESIDE)
			.toList();
		int begun = (int) Math.min(order.size(), 1 + agoNanos / BESIDE_NANOS);
		int rank = order.indexOf(this.self);
		if (rank >= 0 && rank < begun) {
			Step dismiss = new Step.Dismiss(this.reader);
			this.order.suspect(this.reader, nowNanos);
			enter(Stage.READS, this.self, nowNanos);
			return List.of(dismiss, new Step.Read());
		}
		if (nowNanos - this.candidateNanos < ANSWER_NANOS) {
			return List.of();
		}
		this.asked++;
		return consider(Optional.of(order.get(this.asked % begun)), nowNanos);
	}

	private List<Step> consider(Optional<String> peer, long nowNanos) {
		this.candidate = peer;
		peer.ifPresent((name) -> this.candidateNanos = nowNanos);
		return peer.<List<Step>>map((name) -> List.of(new Step.Ask(name))).orElse(List.of());
	}

	private List<Step> candidateSays(String peer, boolean current, boolean complete, long nowNanos) {
		if (!current) {
			stay(nowNanos);
			return List.of();
		}
		if (!complete || this.ages.old(peer, nowNanos)) {
			return List.of();
		}
		Step dismiss = new Step.Dismiss(this.reader);
		if (this.oldNanos.isPresent()) {
			this.order.suspect(this.reader, nowNanos);
		}
		this.candidate = Optional.empty();
		enter(Stage.RESTS, peer, nowNanos);
		return List.of(dismiss);
	}

	private List<Step> stay(long nowNanos) {
		// Whoever is to read for want of newer routes may have only begun.
		if (this.oldNanos.isEmpty()) {
			this.candidate.ifPresent((peer) -> this.order.suspect(peer, nowNanos));
		}
		return leaveCandidate();
	}

	private List<Step> leaveCandidate() {
		List<Step> steps = this.candidate.<List<Step>>map((peer) -> List.of(new Step.Dismiss(peer))).orElse(List.of());
		this.candidate = Optional.empty();
		return steps;
	}

	private boolean isCandidate(String peer) {
		return this.candidate.equals(Optional.of(peer));
	}

	private List<Step> read(long nowNanos) {
		Step dismiss = new Step.Dismiss(this.reader);
		this.order.suspect(this.reader, nowNanos);
		enter(Stage.READS, this.self, nowNanos);
		return List.of(dismiss);
	}

	// A reader that says it is not current may have known nothing new for longer than it
	// was silent.
	private long informedNanos() {
		long known = this.ages.of(this.reader).orElse(this.sinceNanos);
		return (known - this.sinceNanos < 0) ? known : this.sinceNanos;
	}

	private List<Step> lost(long informedNanos, long nowNanos) {
		List<Step> steps = new ArrayList<>(leaveCandidate());
		steps.add(new Step.Dismiss(this.reader));
		this.order.suspect(this.reader, nowNanos);
		long dueNanos = informedNanos + this.mostUninformedNanos;
		this.succession = Optional.of(Succession.begin(this.order, this.group, this.sinceNanos, dueNanos, nowNanos));
		enter(Stage.SEEKS, this.self, nowNanos);
		steps.addAll(seeks((loss) -> loss.tick(this.group, nowNanos), nowNanos));
		return steps;
	}

	private List<Step> seeks(Function<Succession, List<Step>> next, long nowNanos) {
		Succession loss = this.succession.orElseThrow();
		List<Step> steps = next.apply(loss);
		if (steps.contains(new Step.Read())) {
			enter(Stage.READS, this.self, nowNanos);
		}
		else {
			enter(Stage.SEEKS, loss.asked().orElse(this.self), nowNanos);
		}
		return steps;
	}

	private void enter(Stage next, String of, long nowNanos) {
		if (next != this.stage || !of.equals(this.reader)) {
			this.restsNanos = nowNanos;
			this.oldNanos = OptionalLong.empty();
			this.ages.keep(of);
		}
		this.stage = next;
		this.reader = of;
		this.sinceNanos = nowNanos;
	}

	/**
	 * What an entry does about the store.
	 */
	public sealed interface Step {

		/**
		 * Ask an entry for all that the store says.
		 *
		 * @param entry its name
		 */
		record Ask(String entry) implements Step {
		}

		/**
		 * Tell an entry that nothing more is wanted of it.
		 *
		 * @param entry its name
		 */
		record Dismiss(String entry) implements Step {
		}

		/** Stop reading the store. */
		record Rest() implements Step {
		}

		/** Read the store again: what has changed since it rested. */
		record Read() implements Step {
		}

	}

	private enum Stage {

		READS, ASKED, RESTS, SEEKS

	}

}
