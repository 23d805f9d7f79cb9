package org.wisteriapost.policy.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

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
 * entry that rests reads again at once when the reader says that it is not current, when
 * the link to it is gone, and when nothing came for {@value #SILENT_MILLIS} ms, of which
 * the reader sends something every half second. Two that both read do no harm.
 */
public final class StoreDuty {

	/** Up to so many entries each reads for itself: few calls, and nobody to wait for. */
	public static final int MOST_READING_ALL = 8;

	static final int SILENT_MILLIS = 1200;

	private static final long SILENT_NANOS = Duration.ofMillis(SILENT_MILLIS).toNanos();

	// A link carries everything within it, or is no good for news.
	private static final long ANSWER_NANOS = Duration.ofMillis(600).toNanos();

	// After a start or a loss the neighbours are found one after the other.
	private static final long SETTLE_NANOS = Duration.ofSeconds(1).toNanos();

	// A reader that failed is not asked again for longer than a restart takes.
	private static final long SUSPECT_NANOS = Duration.ofSeconds(10).toNanos();

	private static final String PURPOSE = "store";

	private final String self;

	private final Map<String, Long> suspects = new HashMap<>();

	private Stage stage = Stage.READS;

	private String reader;

	private long sinceNanos;

	private StoreDuty(String self) {
		this.self = self;
		this.reader = self;
	}

	/**
	 * Returns the duty of one entry, which reads.
	 */
	public static StoreDuty of(String self) {
		return new StoreDuty(self);
	}

	/**
	 * Returns whether this entry hears the store from a neighbour.
	 */
	public boolean rests() {
		return this.stage == Stage.RESTS;
	}

	/**
	 * Returns whether what an entry passes on is to be believed.
	 */
	public boolean believes(String peer) {
		return this.stage != Stage.READS && peer.equals(this.reader);
	}

	/**
	 * Looks what is to be done now.
	 * @param group the other living entries that share a reader with this one; empty when
	 * each reads for itself
	 * @param mayRest whether this entry knows all, the store answers it and nobody hears
	 * the store from it
	 */
	public List<Step> tick(Collection<String> group, boolean mayRest, long nowNanos) {
		return switch (this.stage) {
			case READS -> reads(group, mayRest, nowNanos);
			case ASKED -> asked(group, mayRest, nowNanos);
			case RESTS -> (!group.contains(this.reader) || nowNanos - this.sinceNanos > SILENT_NANOS) ? read(nowNanos)
					: List.of();
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
		if (!current) {
			return read(nowNanos);
		}
		if (this.stage == Stage.RESTS) {
			this.sinceNanos = nowNanos;
			return List.of();
		}
		if (complete) {
			enter(Stage.RESTS, peer, nowNanos);
			return List.of(new Step.Rest());
		}
		return List.of();
	}

	private List<Step> reads(Collection<String> group, boolean mayRest, long nowNanos) {
		Optional<String> wanted = wanted(group, nowNanos);
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

	private List<Step> read(long nowNanos) {
		List<Step> steps = new ArrayList<>();
		steps.add(new Step.Dismiss(this.reader));
		if (this.stage == Stage.RESTS) {
			steps.add(new Step.Read());
		}
		this.suspects.put(this.reader, nowNanos + SUSPECT_NANOS);
		enter(Stage.READS, this.self, nowNanos);
		return steps;
	}

	// Whom to hear; empty when this entry is to read.
	private Optional<String> wanted(Collection<String> group, long nowNanos) {
		this.suspects.values().removeIf((until) -> nowNanos >= until);
		List<String> candidates = new ArrayList<>(group);
		candidates.removeAll(this.suspects.keySet());
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		candidates.add(this.self);
		String first = Rendezvous.order(candidates, PURPOSE).getFirst();
		return first.equals(this.self) ? Optional.empty() : Optional.of(first);
	}

	private void enter(Stage next, String of, long nowNanos) {
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

		/** Read the store again, all of it. */
		record Read() implements Step {
		}

	}

	private enum Stage {

		READS, ASKED, RESTS

	}

}
