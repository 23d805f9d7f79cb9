package org.wisteriapost.policy.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Chooses the entry through which this one follows the site's store while the store does
 * not answer it.
 *
 * Load: the store turns some machines away for many seconds while runners come and go,
 * tokens are taken away and weights are named. Harm prevented: callers of a cut entry are
 * refused for want of runners that have long been there, or sent to ones that have left.
 * One other entry is asked at a time and the former is told that nothing more is wanted
 * of it, so in calm times this costs nothing and in a cut one message a change.
 */
public final class UpstreamChoice {

	// Links carry a message in a few milliseconds; who has not answered by then is cut
	// off or overloaded, and the next one is asked.
	private static final long ANSWER_NANOS = Duration.ofMillis(600).toNanos();

	private boolean cut;

	private Optional<String> asked = Optional.empty();

	private boolean answered;

	private long askedNanos;

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
	public void heard(boolean current) {
		this.answered = current;
		if (!current) {
			this.askedNanos = Long.MIN_VALUE / 2;
		}
	}

	/**
	 * Looks whom to ask now, if anybody, and whom to tell that nothing more is wanted.
	 * @param linked the entries to which there is a link
	 */
	public List<Step> ask(Collection<String> linked, long nowNanos) {
		boolean lost = this.asked.isPresent() && !linked.contains(this.asked.get());
		boolean waits = this.asked.isPresent() && !lost && (this.answered || nowNanos - this.askedNanos < ANSWER_NANOS);
		if (!this.cut || waits || linked.isEmpty()) {
			return List.of();
		}
		TreeSet<String> names = new TreeSet<>(linked);
		String after = this.asked.map(names::higher).orElse(null);
		String next = (after != null) ? after : names.first();
		List<Step> steps = new ArrayList<>();
		this.asked.filter((before) -> !before.equals(next)).ifPresent((before) -> steps.add(new Step.Dismiss(before)));
		steps.add(new Step.Ask(next));
		this.asked = Optional.of(next);
		this.answered = false;
		this.askedNanos = nowNanos;
		return steps;
	}

	private void forget() {
		this.asked = Optional.empty();
		this.answered = false;
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

}
