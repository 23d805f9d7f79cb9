package org.wisteriapost.policy.admission;

import java.time.Duration;
import java.util.OptionalInt;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;

class ReservedSlotsTests {

	private static final int ENTRIES = 40;

	private static final String SERVICE = "lm-notice";

	private final ContentionByRank contention = new ContentionByRank();

	private final ReservedSlots slots = new ReservedSlots(this.contention);

	private long nowNanos;

	ReservedSlotsTests() {
		this.slots.updateEntryCount(ENTRIES);
		reserved(2);
	}

	private void contend(int entries, OptionalInt rank, int steps) {
		for (int step = 0; step < steps; step++) {
			this.nowNanos += Duration.ofMillis(100).toNanos();
			for (int i = 0; i < entries; i++) {
				this.contention.reported("entry-" + i, new ContentionReport(SERVICE, rank, Duration.ZERO),
						this.nowNanos);
			}
			reserved(1);
			reserved(2);
		}
	}

	private double reserved(int rank) {
		return this.slots.reserved(SERVICE, rank, this.nowNanos);
	}

	// A burst of the least urgent kind that starves the more urgent ones; and a burst of
	// the least urgent kind alone, for which nothing is to be reserved.
	@ParameterizedTest
	@CsvSource({ "0,true", "1,true", "2,false", "3,false" })
	void onlyContentionOfMoreUrgentRanksReservesSlots(int contendedRank, boolean reserves) {
		contend(ENTRIES, OptionalInt.of(contendedRank), 10);
		assertThat(reserved(2) > 1, Matchers.is(reserves));
		assertThat(reserved(0), Matchers.is(0.0));
	}

	// Failure: slots that stay empty after the burst, or reservations that swing.
	@Test
	void reservationGrowsInSmallStepsAndDecaysMonotonically() {
		double previous = 0;
		for (int step = 0; step < 50; step++) {
			contend(ENTRIES, OptionalInt.of(0), 1);
			assertThat(reserved(2) - previous, Matchers.lessThanOrEqualTo(1.0));
			previous = reserved(2);
		}
		assertThat(previous, Matchers.lessThanOrEqualTo(ReservedSlots.MAX_RESERVED));
		contend(0, OptionalInt.empty(), 10);
		previous = reserved(2);
		for (int step = 0; step < 400; step++) {
			contend(0, OptionalInt.empty(), 1);
			assertThat(reserved(2),
					Matchers.allOf(Matchers.lessThanOrEqualTo(previous), Matchers.greaterThanOrEqualTo(0.0)));
			previous = reserved(2);
		}
		assertThat(previous, Matchers.is(0.0));
	}

	// Failure: the gauge, which is read ten times a second, drives the reservation.
	@Test
	void readingTheGaugeReservesNothing() {
		contend(ENTRIES, OptionalInt.of(0), 1);
		this.nowNanos += Duration.ofMillis(100).toNanos();
		double before = this.slots.current(this.nowNanos).get(SERVICE).get(2);
		for (int i = 0; i < 10; i++) {
			assertThat(this.slots.current(this.nowNanos).get(SERVICE).get(2), Matchers.is(before));
		}
		assertThat(before, Matchers.lessThan(reserved(2)));
	}

	// Failure: one entry with a bad view of the load empties the slots of all engines.
	@Test
	void contentionAtFewEntriesIsTolerated() {
		contend(2, OptionalInt.of(0), 20);
		assertThat(reserved(2), Matchers.is(0.0));
	}

	// A peer of an older version names no rank: nothing is reserved, as before.
	@Test
	void reportsOfOlderVersionsReserveNothing() {
		contend(ENTRIES, OptionalInt.empty(), 20);
		assertThat(reserved(2), Matchers.is(0.0));
	}

	// Peers that go silent during a burst must not hold slots free.
	@Test
	void silentPeersCountAsNotContended() {
		contend(ENTRIES, OptionalInt.of(0), 20);
		this.nowNanos += Duration.ofMillis(2500).toNanos();
		assertThat(this.contention.mostUrgent(SERVICE, this.nowNanos), Matchers.is(OptionalInt.empty()));
		double after = reserved(2);
		this.nowNanos += Duration.ofSeconds(5).toNanos();
		assertThat(reserved(2), Matchers.lessThan(after));
	}

	// An entry without messages protects its own urgent requests.
	@Test
	void isolatedEntryReservesByItsOwnRequests() {
		this.slots.updateEntryCount(1);
		for (int step = 0; step < 5; step++) {
			this.nowNanos += Duration.ofMillis(100).toNanos();
			this.contention.noFreeSlot(SERVICE, 0, this.nowNanos);
			reserved(2);
		}
		assertThat(reserved(2), Matchers.greaterThan(1.0));
	}

}
