package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.List;

import org.hamcrest.Matchers;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Fourteen entries of one place, of which one reads the site's store for all, in virtual
 * time. When the reader fails, the link to the store must not be filled with a copy of
 * everything for each of the others.
 */
class ReaderLossTests extends ReaderPlace {

	private static final long SILENT_MILLIS = 1300;

	// A declaration binds after three seconds; what is left is for a request on its way.
	private static final long MOST_BEHIND_MILLIS = 2700;

	// The reader dies, is turned away by the store or freezes for three seconds. The next
	// one reads, the others hear it. Were each to read, the narrow link between regions
	// would carry thirteen copies, none of which comes through in time.
	@ParameterizedTest
	@EnumSource(names = { "DIES", "TURNED_AWAY", "FREEZES" })
	void oneOrTwoReadForAReaderThatIsLost(Loss loss) {
		Entry lost = settled();
		lose(lost, loss);
		run(8000);
		assertThat(this.mostReading, Matchers.lessThanOrEqualTo(3));
		assertThat(this.wholeAnswers, Matchers.lessThanOrEqualTo(SIZE + 2));
		assertThat(behind(), Matchers.empty());
	}

	@ParameterizedTest
	@EnumSource(names = { "DIES", "TURNED_AWAY", "FREEZES" })
	void allHearTheStoreAgainSoonAfterTheLossIsNoticed(Loss loss) {
		Entry lost = settled();
		lose(lost, loss);
		run((loss == Loss.FREEZES) ? SILENT_MILLIS + 1000 : 1000);
		assertThat(behind(), Matchers.empty());
	}

	// The next reader has not come through after half a second. The others begin one
	// after the other, and all hear the first that has come through.
	@ParameterizedTest
	@CsvSource({ "600,4", "1000,7" })
	void aSlowNextReaderIsNotFollowedByAllAtOnce(long readMillis, int most) {
		Entry lost = settled();
		this.readNanos = Duration.ofMillis(readMillis).toNanos();
		lose(lost, Loss.DIES);
		run(2 * readMillis + 300);
		assertThat(this.mostReading, Matchers.lessThanOrEqualTo(most));
		assertThat(behind(), Matchers.empty());
	}

	// The next reader is lost with the reader: it dies, too, or the store turns it away.
	@ParameterizedTest
	@EnumSource(names = { "DIES", "TURNED_AWAY", "FREEZES" })
	void theOneAfterItReadsWhenTheNextIsLostToo(Loss loss) {
		Entry first = settled();
		lose(first, loss);
		run((loss == Loss.FREEZES) ? SILENT_MILLIS : 100);
		Entry next = this.entries.values()
			.stream()
			.filter((entry) -> entry != first && !entry.reading.rests())
			.findFirst()
			.orElseThrow();
		lose(next, loss);
		run((loss == Loss.FREEZES) ? SILENT_MILLIS + 1200 : 1200);
		assertThat(behind(), Matchers.empty());
		assertThat(this.mostReading, Matchers.lessThanOrEqualTo(5));
	}

	// At the end nobody sends to one that does not want it: it would go on for ever, and
	// the sender, with somebody to tell, would never rest.
	@ParameterizedTest
	@EnumSource(names = { "DIES", "TURNED_AWAY", "FREEZES" })
	void nobodyPassesOnWhatIsNotWanted(Loss loss) {
		Entry lost = settled();
		lose(lost, loss);
		run(8000);
		this.unbelieved.clear();
		run(2000);
		assertThat(this.unbelieved, Matchers.empty());
	}

	// The same when the loss was noticed late, so that little is left of the bound: all
	// at once would fill a link that is narrow for one already.
	@ParameterizedTest
	@CsvSource({ "FREEZES,1000,7", "FREEZES,1500,10", "STORE_SILENT,1000,7", "STORE_SILENT,1500,10" })
	void aSlowNextReaderIsNotFollowedByAllAtOnceWhenLittleTimeIsLeft(Loss loss, long readMillis, int most) {
		Entry lost = settled();
		this.readNanos = Duration.ofMillis(readMillis).toNanos();
		lose(lost, loss, lost);
		run(8000);
		assertThat(this.mostReading, Matchers.lessThanOrEqualTo(most));
		assertThat(behind(), Matchers.empty());
	}

	// The next readers hear the reader well, so this entry alone has lost it, and waits
	// for nobody. Three of them are cut off from the store themselves and know nothing.
	@ParameterizedTest
	@CsvSource({ "SILENT_TO_ONE,0,2000", "CLOSED_TO_ONE,0,2000", "SILENT_TO_ONE,1,2300", "SILENT_TO_ONE,3,2700" })
	void whoAloneLosesItsReaderDoesNotWaitForASuccessor(Loss loss, int successorsTurnedAway, long mostMillis) {
		Entry reader = settled();
		List<Entry> order = order();
		List<Entry> turnedAway = order.subList(1, successorsTurnedAway + 1);
		turnedAway.forEach((entry) -> this.silent.add(reader.name + " to " + entry.name));
		turnedAway.forEach((entry) -> lose(entry, Loss.TURNED_AWAY));
		run(4000);
		order.getLast().longestBehindNanos = 0;
		lose(reader, loss, order.getLast());
		run(5000);
		assertThat(order.getLast().longestBehindNanos / 1_000_000, Matchers.lessThan(mostMillis));
	}

	// One entry alone loses its reader, or with it those that are to read next. It
	// reaches the store all the while, so what is declared binds it: handled by an old
	// table a request goes to the old service, or runs with a token that was taken away.
	@ParameterizedTest
	@CsvSource({ "SILENT_TO_ONE,0,1", "SILENT_TO_ONE,0,5", "SILENT_TO_ONE,0,13", "SILENT_TO_ONE,1,13",
			"SILENT_TO_ONE,4,13", "SILENT_TO_ONE,12,13", "CLOSED_TO_ONE,0,13", "CLOSED_TO_ONE,4,13", "FREEZES,0,13",
			"FREEZES,1,13", "FREEZES,4,13", "STORE_SILENT,0,1", "STORE_SILENT,0,13", "STORE_SILENT,1,13",
			"STORE_SILENT,4,13" })
	void whoReachesTheStoreIsNeverWithoutNewsForTheBound(Loss loss, int successorsSilent, int rank) {
		Entry reader = settled();
		List<Entry> order = order();
		assertThat(order.getFirst(), Matchers.sameInstance(reader));
		Entry alone = order.get(rank);
		order.subList(1, successorsSilent + 1).forEach((entry) -> this.silent.add(entry.name + " to " + alone.name));
		this.entries.values().forEach((entry) -> entry.longestBehindNanos = 0);
		lose(reader, loss, alone);
		run(8000);
		List<Entry> bound = this.entries.values().stream().filter((entry) -> entry != reader).toList();
		assertThat(bound.stream().map((entry) -> entry.longestBehindNanos / 1_000_000).toList(),
				Matchers.everyItem(Matchers.lessThan(MOST_BEHIND_MILLIS)));
		assertThat(this.mostReading, Matchers.lessThanOrEqualTo(5));
	}

}
