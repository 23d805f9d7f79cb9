package org.wisteriapost.policy.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses the entry through which this one follows the site's store while the store does
 * not answer it.
 *
 * Load: the store turns some machines away for many seconds while runners come and go,
 * tokens are taken away and weights are named; links between regions are narrow and the
 * objects many. Harm prevented: callers of a cut entry are refused for want of runners
 * that have long been there, or sent to ones that have left; and links stay full of
 * copies that are cut off and begun anew.
 *
 * One other entry is asked at a time and the former is told that nothing more is wanted
 * of it, so in calm times this costs nothing and in a cut one message a change. Those
 * near by come first, in an order of this entry's own so that not all ask the same one.
 * While nobody answers each is given more time than the one before: over a link that is
 * full an answer gets through in the end.
 */
public final class UpstreamChoice {

	// Free links carry a message in a few milliseconds; who has not answered by then is
	// cut off or overloaded, and the next one is asked.
	private static final long FIRST_ANSWER_NANOS = Duration.ofMillis(600).toNanos();

	private static final long LONGEST_ANSWER_NANOS = Duration.ofSeconds(4).toNanos();

	// Over a full link signs wait behind objects.
	private static final long SILENT_NANOS = Duration.ofSeconds(4).toNanos();

	// Entries that rest say at once that they do not read; asking all of them without a
	// pause would cost more than following the store.
	private static final long ROUND_NANOS = Duration.ofSeconds(1).toNanos();

	private final String self;

	private boolean cut;

	private Optional<String> asked = Optional.empty();

	// The one asked most recently, also when it helps no more.
	private Optional<String> last = Optional.empty();

	private Answer answer = Answer.NONE;

	private long askedNanos;

	private long heardNanos;

	private long patienceNanos = FIRST_ANSWER_NANOS;

	// Who has been asked in this round, and when it began.
	private final Set<String> tried = new HashSet<>();

	private long roundNanos;

	private boolean served;

	private UpstreamChoice(String self) {
		this.self = self;
	}

	/**
	 * Returns the choice of one entry.
	 */
	public static UpstreamChoice of(String self) {
		return new UpstreamChoice(self);
	}

	/**
	 * Hears whether the store answers this entry. Returns whom to tell that nothing more
	 * is wanted.
	 */
	public Optional<String> store(boolean answers) {
		this.cut = !answers;
		Optional<String> before = answers ? this.asked : Optional.empty();
		if (answers) {
			forget();
		}
		return before;
	}

	/**
	 * Returns whether what an entry passes on is to be believed: it was asked, and the
	 * store itself does not answer.
	 */
	public boolean believes(String peer) {
		return this.cut && this.asked.equals(Optional.of(peer));
	}

	/**
	 * Hears that the entry that was asked has answered.
	 * @param current whether the store answers it
	 */
	public void heard(boolean current, long nowNanos) {
		this.heardNanos = nowNanos;
		this.answer = current ? Answer.CURRENT : Answer.NOT_CURRENT;
		if (current) {
			this.served = true;
			this.patienceNanos = FIRST_ANSWER_NANOS;
		}
	}

	/**
	 * Hears a sign that the entry that was asked still passes on, without any objects.
	 */
	public void sign(long nowNanos) {
		this.heardNanos = nowNanos;
	}

	/**
	 * Looks whom to ask now, if anybody, and whom to tell that nothing more is wanted.
	 * @param linked the entries to which there is a link
	 */
	public List<Step> ask(Collection<LinkedEntry> linked, long nowNanos) {
		if (!this.cut) {
			return List.of();
		}
		boolean helps = this.answer != Answer.NOT_CURRENT && !silent(nowNanos)
				&& linked.stream().anyMatch((entry) -> this.asked.equals(Optional.of(entry.name())));
		boolean late = this.answer == Answer.NONE && nowNanos - this.askedNanos >= this.patienceNanos;
		if (helps && !late) {
			return List.of();
		}
		Optional<String> next = next(linked, nowNanos);
		if (helps && next.isEmpty()) {
			// Its answer may be on its way, and nobody else is left.
			return List.of();
		}
		if (helps) {
			this.patienceNanos = Math.min(2 * this.patienceNanos, LONGEST_ANSWER_NANOS);
		}
		return moveTo(next, nowNanos);
	}

	// It started anew or its last word was lost, so that it knows nothing of this entry:
	// what it said would be believed for as long as the store does not answer. Who passes
	// on sends something every half second.
	private boolean silent(long nowNanos) {
		return this.answer == Answer.CURRENT && nowNanos - this.heardNanos > SILENT_NANOS;
	}

	private List<Step> moveTo(Optional<String> next, long nowNanos) {
		List<Step> steps = new ArrayList<>();
		this.asked.filter((before) -> !next.equals(Optional.of(before)))
			.ifPresent((before) -> steps.add(new Step.Dismiss(before)));
		next.ifPresent((entry) -> {
			steps.add(new Step.Ask(entry));
			this.tried.add(entry);
			this.last = next;
		});
		this.asked = next;
		this.answer = Answer.NONE;
		this.askedNanos = nowNanos;
		return steps;
	}

	// Each once in a round, and a new round when all have been asked or one has helped
	// for a while. The one that was asked last is not the first again.
	private Optional<String> next(Collection<LinkedEntry> linked, long nowNanos) {
		List<String> order = order(linked);
		boolean over = this.served || this.tried.containsAll(order);
		if (this.tried.isEmpty() || (over && nowNanos - this.roundNanos >= ROUND_NANOS)) {
			this.tried.clear();
			this.served = false;
			this.roundNanos = nowNanos;
		}
		List<String> left = order.stream().filter((entry) -> !this.tried.contains(entry)).toList();
		return left.stream()
			.filter((entry) -> !this.last.equals(Optional.of(entry)))
			.findFirst()
			.or(() -> left.stream().findFirst());
	}

	private List<String> order(Collection<LinkedEntry> linked) {
		Map<LinkedEntry.Distance, List<String>> byDistance = new EnumMap<>(LinkedEntry.Distance.class);
		linked.forEach((entry) -> byDistance.computeIfAbsent(entry.distance(), (distance) -> new ArrayList<>())
			.add(entry.name()));
		return byDistance.values().stream().flatMap((names) -> Rendezvous.order(names, this.self).stream()).toList();
	}

	private void forget() {
		this.asked = Optional.empty();
		this.last = Optional.empty();
		this.answer = Answer.NONE;
		this.patienceNanos = FIRST_ANSWER_NANOS;
		this.tried.clear();
		this.served = false;
	}

	/**
	 * What an entry that the store does not answer says to others.
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

	}

	private enum Answer {

		NONE, CURRENT, NOT_CURRENT

	}

}
