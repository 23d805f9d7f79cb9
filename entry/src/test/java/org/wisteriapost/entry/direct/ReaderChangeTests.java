package org.wisteriapost.entry.direct;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Fourteen entries of one place, of which one reads the site's store for all, in virtual
 * time. They leave their reader for another one while it still gives signs.
 */
class ReaderChangeTests extends ReaderPlace {

	private static final long BOUND_MILLIS = 3000;

	// The store answers the reader for runners, and its reading of routes never ends: its
	// signs go on. Who rests would keep a table for ever, with routes that were moved and
	// tokens that were taken away.
	@Test
	void aReaderWhoseRoutesGrowOldIsLeft() {
		Entry reader = settled();
		this.entries.values().forEach((entry) -> entry.oldestNanos = 0);
		lose(reader, Loss.ROUTES_SILENT, reader);
		run(9000);
		assertThat(others(reader).stream().map((entry) -> entry.oldestNanos / 1_000_000).toList(),
				Matchers.everyItem(Matchers.lessThan(BOUND_MILLIS)));
		assertThat(others(reader).stream().map((entry) -> entry.longestBehindNanos / 1_000_000).toList(),
				Matchers.everyItem(Matchers.lessThan(1000L)));
		assertThat(this.mostReading, Matchers.lessThanOrEqualTo(3));
	}

	// The link to the store is so full that nobody's reading of routes ends. Were all to
	// read, it would stay full for good.
	@Test
	void readersWhoseRoutesAllGrowOldAreNotFollowedByAll() {
		settled();
		this.entries.values().forEach((entry) -> entry.routesSilentNanos = now());
		run(12_000);
		assertThat(this.mostReading, Matchers.lessThanOrEqualTo(5));
		assertThat(behind(), Matchers.empty());
	}

	// The reader froze and another one reads for all. Both are paid for, so all hear one
	// again some seconds after the first one is back, and nobody is without news
	// meanwhile.
	@Test
	void afterAReaderHasFrozenThereIsOneAgain() {
		Entry first = settled();
		lose(first, Loss.FREEZES);
		run(8000);
		this.entries.values().forEach((entry) -> entry.longestBehindNanos = 0);
		run(8000);
		assertThat(this.entries.values().stream().filter((entry) -> !entry.reading.rests()).toList(),
				Matchers.hasSize(1));
		assertThat(this.entries.values().stream().map((entry) -> entry.longestBehindNanos / 1_000_000).toList(),
				Matchers.everyItem(Matchers.lessThan(500L)));
		this.unbelieved.clear();
		run(2000);
		assertThat(this.unbelieved, Matchers.empty());
	}

}
