package org.wisteriapost.policy.admission;

import java.time.Duration;
import java.util.Optional;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;

class AdmissionPriorityTests {

	private static final String SERVICE = "lm-notice";

	private final ContentionByRank contention = new ContentionByRank();

	private final ReservedSlots slots = new ReservedSlots(this.contention);

	private final AdmissionPriority priority = new AdmissionPriority(this.contention, this.slots);

	private long nowNanos;

	private void arrive(int rank, String organisation, int requests, int admitted) {
		Optional<String> name = Optional.of(organisation);
		for (int i = 0; i < requests; i++) {
			this.priority.arrived(SERVICE, rank, name, this.nowNanos);
			if (i < admitted) {
				this.priority.admitted(SERVICE, rank, name, this.nowNanos);
			}
		}
	}

	private AdmissionStanding standing(int rank, String organisation) {
		return this.priority.standing(SERVICE, rank, Optional.of(organisation), this.nowNanos);
	}

	private void contend(int rank) {
		for (int step = 0; step < 10; step++) {
			this.nowNanos += Duration.ofMillis(100).toNanos();
			this.contention.noFreeSlot(SERVICE, rank, this.nowNanos);
			this.slots.reserved(SERVICE, 1, this.nowNanos);
			this.slots.reserved(SERVICE, 2, this.nowNanos);
		}
	}

	// Without requests of another rank, callers of a service are served as if there were
	// no ranks: in order of arrival, whatever their organisation.
	@Test
	void singleRankIsServedInOrderOfArrival() {
		arrive(1, "large", 30, 20);
		arrive(1, "small", 10, 3);
		contend(1);
		assertThat(standing(1, "large"), Matchers.equalTo(AdmissionStanding.withoutCompetition(1)));
		assertThat(AdmissionStanding.FIRST_SERVED.compare(standing(1, "large"), standing(1, "small")), Matchers.is(0));
	}

	// The burst of one organisation, or a large organisation among small ones.
	@Test
	void organisationAboveItsShareYieldsUnderContention() {
		this.slots.reserved(SERVICE, 1, this.nowNanos);
		arrive(1, "other", 1, 1);
		arrive(0, "large", 30, 20);
		arrive(0, "small", 10, 3);
		assertThat("without contention", standing(0, "large").order(), Matchers.is(0));
		contend(0);
		assertThat(standing(0, "large").order(), Matchers.greaterThan(standing(0, "small").order()));
		assertThat(standing(0, "large").reservedSlots(), Matchers.greaterThan(0.0));
		assertThat(standing(0, "small").reservedSlots(), Matchers.is(0.0));
	}

	// Failure: the organisation with the burst is not served at all.
	@Test
	void organisationThatIsHardlyServedDoesNotYield() {
		contend(0);
		arrive(1, "other", 1, 1);
		arrive(0, "large", 200, 6);
		for (int i = 0; i < 20; i++) {
			arrive(0, "small-" + i, 4, 2);
		}
		assertThat(standing(0, "large").order(), Matchers.is(0));
	}

	// Saturation by the most urgent kind: the least urgent one keeps a small share.
	@Test
	void rankThatIsHardlyServedLeavesNoSlotsFree() {
		contend(0);
		arrive(0, "urgent", 20, 18);
		arrive(2, "patient", 10, 5);
		assertThat(standing(2, "patient").reservedSlots(), Matchers.greaterThan(0.0));
		arrive(2, "patient", 30, 0);
		assertThat(standing(2, "patient").reservedSlots(), Matchers.is(0.0));
		assertThat(standing(2, "patient").order(), Matchers.is(0));
	}

	// Without the trend, callers are told to retry into a shortage and refused again.
	@Test
	void retryIsSuggestedOnlyWhileContentionFallsOrIsAbsent() {
		ContentionTrend trend = new ContentionTrend(this.contention);
		assertThat(trend.forecast(SERVICE, this.nowNanos), Matchers.is(true));
		for (int i = 0; i < 3; i++) {
			contend(1);
			trend.forecast(SERVICE, this.nowNanos);
		}
		assertThat(trend.forecast(SERVICE, this.nowNanos), Matchers.is(false));
		for (int i = 0; i < 10; i++) {
			this.nowNanos += Duration.ofMillis(100).toNanos();
			trend.forecast(SERVICE, this.nowNanos);
		}
		assertThat(trend.forecast(SERVICE, this.nowNanos), Matchers.is(true));
	}

}
