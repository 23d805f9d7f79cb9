package org.wisteriapost.policy.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

import org.wisteriapost.policy.fleet.StoreDuty.Step;

/**
 * What an entry does about one loss of its reader, until it hears another one or reads
 * itself.
 *
 * All of a group lose their reader at the same time. Were all to read, a narrow link to
 * the store would be full of copies of which none comes through in time, and stay full.
 * So the next by rendezvous reads at once and the others ask it, over and over while it
 * has only begun. Those that nobody has helped within {@value #SUCCESSOR_MILLIS} ms begin
 * to read one after the other, the last after {@value #LATEST_MILLIS} ms, and are asked
 * by those that come after them: whichever comes through first serves all, and an entry
 * with nobody left to ask reads at once.
 *
 * Who alone loses its reader, by a link that is silent, is bound by the site's promises
 * and would wait for a successor that does not read. Symptom: a request is handled by a
 * table that is older than the bound allows. Two safeguards are enough together. Of a
 * loss that all share nobody hears the reader later than this entry did; so one that
 * rests and did is passed over at once, and after {@value #MOST_PASSED_OVER} of them this
 * entry reads. And while nobody says that it has lost the reader as well, an entry waits
 * no longer than a share of the bound, counted from what it last knew.
 */
final class Succession {

	// As long as the next reader is given before the one after it begins as well.
	static final int SUCCESSOR_MILLIS = 500;

	static final int LATEST_MILLIS = 2000;

	static final int MOST_PASSED_OVER = 3;

	private static final long SUCCESSOR_NANOS = Duration.ofMillis(SUCCESSOR_MILLIS).toNanos();

	private static final long LATEST_NANOS = Duration.ofMillis(LATEST_MILLIS).toNanos();

	// A next reader in another region has answered by then.
	private static final long SHORTEST_WAIT_NANOS = Duration.ofMillis(300).toNanos();

	// A reader gives a sign each half second. One that was heard so much later has given
	// one that did not come here.
	private static final long LATER_NANOS = Duration.ofMillis(600).toNanos();

	// What a neighbour heard longer ago is no word of now.
	private static final long LONG_AGO_NANOS = Duration.ofMillis(StoreDuty.SILENT_MILLIS).toNanos();

	// Between two that begin one after the other: enough to ask the one before.
	private static final long STAGGER_NANOS = Duration.ofMillis(150).toNanos();

	// Who is to read next says at once whether it does.
	private static final long SUCCESSOR_ANSWER_NANOS = Duration.ofMillis(400).toNanos();

	private final ReaderOrder order;

	// Who is to read before this entry does, the next reader first.
	private final List<String> successors;

	private final long heardNanos;

	private final long lostNanos;

	// When this entry reads that may have lost its reader alone.
	private final long latestNanos;

	// Since when the first of them has had its turn.
	private long turnNanos;

	// Whom this entry has asked.
	private Optional<String> asked = Optional.empty();

	// Since when it was asked or has answered.
	private long sinceNanos;

	private Answer answer = Answer.NONE;

	// Whether somebody that was to read next has answered that it does, or not yet.
	private boolean shared;

	private int passedOver;

	private Succession(ReaderOrder order, List<String> successors, long heardNanos, long latestNanos, long nowNanos) {
		this.order = order;
		this.successors = new ArrayList<>(successors);
		this.heardNanos = heardNanos;
		this.lostNanos = nowNanos;
		this.latestNanos = latestNanos;
		this.turnNanos = nowNanos;
	}

	/**
	 * Returns the succession to a reader that is lost now.
	 * @param group the other living entries that share a reader with this one
	 * @param heardNanos when the reader was heard
	 * @param dueNanos by when this entry is to know again what the store says
	 */
	static Succession begin(ReaderOrder order, Collection<String> group, long heardNanos, long dueNanos,
			long nowNanos) {
		long waitNanos = Math.clamp(dueNanos - nowNanos, SHORTEST_WAIT_NANOS, LATEST_NANOS);
		return new Succession(order, order.before(group, nowNanos), heardNanos, nowNanos + waitNanos, nowNanos);
	}

	/**
	 * Returns whom this entry has asked last.
	 */
	Optional<String> asked() {
		return this.asked;
	}

	/**
	 * Looks what is to be done now; the last step is to read when it is over.
	 */
	List<Step> tick(Collection<String> group, long nowNanos) {
		leaveOut(group, nowNanos);
		boolean helps = this.asked.filter(this.successors::contains).isPresent() && this.answer != Answer.NOT_CURRENT;
		boolean passesOn = helps && this.answer == Answer.CURRENT;
		boolean due = !passesOn && nowNanos - this.turnNanos >= startNanos(this.successors.size());
		long latest = this.shared ? this.lostNanos + LATEST_NANOS : this.latestNanos;
		if (due || nowNanos - latest >= 0) {
			return read();
		}
		return helps ? List.of() : ask(this.successors.getFirst(), nowNanos);
	}

	/**
	 * Hears the one that was asked.
	 * @param current whether the store answers it
	 */
	List<Step> heard(String peer, boolean current, long nowNanos) {
		this.shared = this.passedOver == 0;
		this.answer = current ? Answer.CURRENT : Answer.NOT_CURRENT;
		this.sinceNanos = nowNanos;
		return current ? List.of() : after(peer, nowNanos).map((next) -> ask(next, nowNanos)).orElse(List.of());
	}

	/**
	 * Hears that the one that was asked hears the store from another one.
	 * @param agoNanos how long before its answer it heard that one
	 */
	List<Step> heardResting(String peer, long agoNanos, Collection<String> group, long nowNanos) {
		boolean later = agoNanos >= 0 && agoNanos <= LONG_AGO_NANOS
				&& this.sinceNanos - agoNanos - this.heardNanos >= LATER_NANOS;
		if (!later) {
			return heard(peer, false, nowNanos);
		}
		this.answer = Answer.NOT_CURRENT;
		this.successors.remove(peer);
		this.passedOver++;
		this.shared = false;
		return (this.passedOver == MOST_PASSED_OVER) ? read() : tick(group, nowNanos);
	}

	private List<Step> read() {
		List<Step> steps = new ArrayList<>(leave());
		steps.add(new Step.Read());
		return steps;
	}

	// Who is gone or says nothing reads no more; the one after it has its turn at once.
	private void leaveOut(Collection<String> group, long nowNanos) {
		Optional<String> first = this.successors.stream().findFirst();
		boolean silent = nowNanos - this.sinceNanos > SUCCESSOR_ANSWER_NANOS;
		this.asked.filter((peer) -> silent && this.successors.contains(peer)).ifPresent((peer) -> {
			this.order.suspect(peer, nowNanos);
			this.successors.remove(peer);
		});
		this.successors.retainAll(group);
		if (!first.equals(this.successors.stream().findFirst())) {
			this.turnNanos = nowNanos;
		}
	}

	private List<Step> ask(String successor, long nowNanos) {
		List<Step> steps = new ArrayList<>(this.asked.equals(Optional.of(successor)) ? List.of() : leave());
		steps.add(new Step.Ask(successor));
		this.answer = Answer.NONE;
		this.asked = Optional.of(successor);
		this.sinceNanos = nowNanos;
		return steps;
	}

	// Who has said that it is not current passes nothing on.
	private List<Step> leave() {
		return this.asked.filter((peer) -> this.answer != Answer.NOT_CURRENT)
			.<List<Step>>map((peer) -> List.of(new Step.Dismiss(peer)))
			.orElse(List.of());
	}

	// The next that has begun to read by now.
	private Optional<String> after(String successor, long nowNanos) {
		int rank = this.successors.indexOf(successor) + 1;
		boolean begun = rank < this.successors.size() && nowNanos - this.turnNanos >= startNanos(rank);
		return begun ? Optional.of(this.successors.get(rank)) : Optional.empty();
	}

	// How long after the loss the entry of a rank begins to read.
	private static long startNanos(int rank) {
		return (rank == 0) ? 0 : Math.min(SUCCESSOR_NANOS + (rank - 1) * STAGGER_NANOS, LATEST_NANOS);
	}

	private enum Answer {

		NONE, CURRENT, NOT_CURRENT

	}

}
