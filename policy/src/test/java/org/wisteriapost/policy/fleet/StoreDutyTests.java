package org.wisteriapost.policy.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.policy.fleet.StoreDuty.Step;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Entries of one place, of which one reads the site's store for all. When it fails, the
 * others would go on believing what they heard last: callers would be sent to runners
 * that have left, and refused for routes that are there.
 */
class StoreDutyTests {

	private static final long MILLI = 1_000_000;

	private static final long TICK = 100 * MILLI;

	private final Group group = new Group(10);

	@ParameterizedTest
	@ValueSource(ints = { 2, 3, 10, 40 })
	void oneOfTheGroupReadsAndTheOthersRest(int size) {
		Group entries = new Group(size);
		entries.run(3000);
		assertThat(entries.reading(), Matchers.hasSize(1));
	}

	// The reader dies, freezes, or is turned away by the store. Nobody is without news
	// for longer than its silence is borne, and after that one reads for all again. All
	// never read at once: their copies would fill a narrow link to the store.
	@ParameterizedTest
	@EnumSource
	void whoeverHearsNothingHasAnotherReaderAtOnce(Loss loss) {
		this.group.run(3000);
		String reader = this.group.reading().iterator().next();
		this.group.reads = 0;
		this.group.lose(reader, loss);
		this.group.run(StoreDuty.SILENT_MILLIS + 200);
		assertThat(this.group.uninformed(reader), Matchers.empty());
		this.group.run(5000);
		Set<String> reading = this.group.reading();
		reading.remove(reader);
		assertThat(reading, Matchers.hasSize(1));
		assertThat(this.group.reads, Matchers.lessThanOrEqualTo(2));
	}

	// The reader is lost to this entry alone, or the store turns away all others: all say
	// that they do not read. It reads itself then.
	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 10, 40 })
	void whoIsHelpedByNobodyReadsInTheEnd(int others) {
		Set<String> group = new TreeSet<>();
		IntStream.range(0, others).forEach((i) -> group.add("entry-" + i));
		String self = Rendezvous.order(IntStream.range(0, 1000).mapToObj((i) -> "self-" + i).toList(), "store")
			.getLast();
		StoreDuty duty = StoreDuty.of(self);
		List<Step> steps = new ArrayList<>();
		long now = 0;
		for (; !duty.rests(); now += TICK) {
			for (Step step : duty.tick(group, true, now)) {
				if (step instanceof Step.Ask ask) {
					duty.heard(ask.entry(), true, true, now);
				}
			}
		}
		long lost = now;
		for (; duty.rests(); now += TICK) {
			steps.addAll(duty.tick(group, false, now));
			for (String peer : group) {
				steps.addAll(duty.heard(peer, false, false, now));
			}
		}
		assertThat(steps.getLast(), Matchers.equalTo(new Step.Read()));
		assertThat(now - lost, Matchers.lessThanOrEqualTo(StoreDuty.LATEST_MILLIS * MILLI + TICK));
	}

	// Half of the entries believe that the reader is dead: a link is cut one way. There
	// are two readers then, and nobody is without news.
	@Test
	void twoReadersDoNoHarm() {
		this.group.run(3000);
		String reader = this.group.reading().iterator().next();
		this.group.names()
			.stream()
			.filter((name) -> !name.equals(reader))
			.limit(5)
			.forEach((name) -> this.group.unlinked.computeIfAbsent(name, (key) -> new TreeSet<>()).add(reader));
		this.group.run(6000);
		assertThat(this.group.uninformed(""), Matchers.empty());
		assertThat(this.group.reading().size(), Matchers.lessThanOrEqualTo(3));
	}

	@Test
	void whoIsHeardByOthersDoesNotRest() {
		StoreDuty duty = StoreDuty.of("z");
		for (int i = 0; i < 50; i++) {
			assertThat(duty.tick(Set.of("a", "b", "c"), false, i * TICK), Matchers.empty());
		}
		assertThat(duty.rests(), Matchers.equalTo(false));
	}

	@Test
	void nobodyIsBelievedWhoWasNotAsked() {
		StoreDuty duty = StoreDuty.of("z");
		duty.tick(Set.of("a"), true, 0);
		assertThat(duty.believes("a"), Matchers.equalTo(false));
		assertThat(duty.heard("a", true, true, TICK), Matchers.empty());
	}

	/** How a reader fails. */
	enum Loss {

		/** Its links close. */
		DIES,
		/** It says nothing and its links stay open. */
		FREEZES,
		/** The store does not answer it, which it says. */
		TURNED_AWAY

	}

	/** Entries with links to each other, in virtual time. */
	private static final class Group {

		private final Map<String, StoreDuty> duties = new HashMap<>();

		private final Map<String, Set<String>> downstream = new HashMap<>();

		private final Map<String, Loss> lost = new HashMap<>();

		private final Map<String, Set<String>> unlinked = new HashMap<>();

		private long now;

		private int reads;

		private Group(int size) {
			for (int i = 0; i < size; i++) {
				this.duties.put("entry-" + i, StoreDuty.of("entry-" + i));
				this.downstream.put("entry-" + i, new TreeSet<>());
			}
		}

		private Set<String> names() {
			return new TreeSet<>(this.duties.keySet());
		}

		private void lose(String name, Loss loss) {
			this.lost.put(name, loss);
		}

		private void run(long millis) {
			for (long until = this.now + millis * MILLI; this.now < until; this.now += TICK) {
				names().forEach(this::tick);
				names().forEach(this::sign);
			}
		}

		private void tick(String name) {
			if (frozen(name)) {
				return;
			}
			Set<String> others = names();
			others.remove(name);
			others.removeIf((other) -> this.lost.get(other) == Loss.DIES);
			others.removeAll(this.unlinked.getOrDefault(name, Set.of()));
			boolean mayRest = this.downstream.get(name).isEmpty() && !this.lost.containsKey(name);
			carryOut(name, this.duties.get(name).tick(others, mayRest, this.now));
		}

		private void sign(String name) {
			if (frozen(name)) {
				return;
			}
			boolean current = !this.duties.get(name).rests() && !this.lost.containsKey(name);
			for (String peer : List.copyOf(this.downstream.get(name))) {
				if (!this.unlinked.getOrDefault(peer, Set.of()).contains(name)) {
					carryOut(peer, this.duties.get(peer).heard(name, current, true, this.now));
				}
			}
		}

		private void carryOut(String name, List<Step> steps) {
			for (Step step : steps) {
				switch (step) {
					case Step.Ask ask -> this.downstream.get(ask.entry()).add(name);
					case Step.Dismiss dismiss -> this.downstream.get(dismiss.entry()).remove(name);
					case Step.Rest rest -> {
					}
					case Step.Read read -> this.reads++;
				}
			}
		}

		private boolean frozen(String name) {
			Loss loss = this.lost.get(name);
			return loss == Loss.DIES || loss == Loss.FREEZES;
		}

		private Set<String> reading() {
			Set<String> reading = names();
			reading.removeIf((name) -> this.duties.get(name).rests());
			return reading;
		}

		// Who rests and hears nobody that reads.
		private List<String> uninformed(String except) {
			List<String> found = new ArrayList<>();
			for (String name : names()) {
				boolean fed = names().stream()
					.anyMatch((other) -> this.downstream.get(other).contains(name) && !this.lost.containsKey(other)
							&& !this.duties.get(other).rests()
							&& !this.unlinked.getOrDefault(name, Set.of()).contains(other));
				if (!name.equals(except) && this.duties.get(name).rests() && !fed) {
					found.add(name);
				}
			}
			return found;
		}

	}

}
