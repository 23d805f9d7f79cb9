package org.wisteriapost.policy.request;

import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class SheddingTests {

	private static final RequestPolicySettings PLAIN = RequestPolicySettings.defaults();

	private final RequestPolicySettings settings = new RequestPolicySettings("", Map.of(), 6, 10, 20, 8, 0.5, 0.1,
			PLAIN.slowStart(), PLAIN.ejection(), 0.3);

	private final FairQueue queue = new FairQueue(this.settings);

	private long ids;

	@ParameterizedTest
	@CsvSource({ "4, BULK, none", "5, BULK, shed", "5, NORMAL, none", "9, URGENT, none" })
	void bulkGivesWayFromHalfOfTheQueueOn(int waiting, Priority priority, String code) {
		for (int each = 0; each < waiting; each++) {
			offer("org-" + each, Priority.NORMAL);
		}
		assertThat(refuse("new", priority), is(code));
	}

	@Test
	void organisationFillsItsOwnPartOnly() {
		for (int each = 0; each < 6; each++) {
			offer("loud", Priority.NORMAL);
		}
		assertThat(refuse("loud", Priority.URGENT), is("queue-full"));
		assertThat(refuse("quiet", Priority.NORMAL), is("none"));
	}

	@Test
	void fullQueueTakesUrgentInPlaceOfLessUrgent() {
		fill(Priority.NORMAL);
		Optional<Flight> victim = Shedding.victim(request("new", Priority.URGENT), this.queue, this.settings);
		assertThat(victim.orElseThrow().request.priority(), is(Priority.NORMAL));
		assertThat(refuse("new", Priority.URGENT), is("none"));
	}

	@Test
	void fullQueueDoesNotTakeEqualsOfOrganisationsThatAreLevel() {
		fill(Priority.NORMAL);
		assertThat(refuse("new", Priority.NORMAL), is("shed"));
	}

	@Test
	void fullQueueTakesANewcomerInPlaceOfTheOneAheadOfItsShare() {
		fill(Priority.NORMAL);
		Flight served = this.queue.poll(true).orElseThrow();
		offer(served.request.organisation(), Priority.NORMAL);
		Optional<Flight> victim = Shedding.victim(request("new", Priority.NORMAL), this.queue, this.settings);
		assertThat(victim.orElseThrow().request.organisation(), is(served.request.organisation()));
	}

	private void fill(Priority priority) {
		for (int each = 0; each < 10; each++) {
			offer("org-" + each % 2, priority);
		}
	}

	private void offer(String organisation, Priority priority) {
		this.queue.offer(new Flight(request(organisation, priority)));
	}

	private String refuse(String organisation, Priority priority) {
		return Shedding.refuse(request(organisation, priority), this.queue, this.settings)
			.map((code) -> code.name())
			.orElse("none");
	}

	private Request request(String organisation, Priority priority) {
		return new Request(++this.ids, organisation, "s", priority, Long.MAX_VALUE, true, 0, 1);
	}

}
