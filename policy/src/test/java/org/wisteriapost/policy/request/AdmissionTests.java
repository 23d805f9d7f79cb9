package org.wisteriapost.policy.request;

import java.time.Duration;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class AdmissionTests {

	private final ServiceState service = new ServiceState(RequestPolicySettings.defaults());

	private long ids;

	AdmissionTests() {
		// One unit takes 100 ms, two calls are in flight: 20 units a second.
		this.service.pool.rate.sample(0.1);
		this.service.pool.countInFlight(2, false);
	}

	@Test
	void shortBacklogIsAdmitted() {
		backlog("a", Priority.NORMAL, 10);
		assertThat(refuse("a", Priority.NORMAL, 2000), is(Optional.empty()));
	}

	@Test
	void backlogBeyondTheDeadlineIsRefusedWithTheTimeItTakesToDrain() {
		backlog("a", Priority.NORMAL, 100);
		long retry = refuse("a", Priority.NORMAL, 2000).orElseThrow();
		assertThat(retry, allOf(greaterThanOrEqualTo(3000L), lessThan(4000L)));
	}

	@Test
	void backlogOfAnotherOrganisationDoesNotRefuse() {
		backlog("loud", Priority.NORMAL, 100);
		assertThat(refuse("quiet", Priority.NORMAL, 2000), is(Optional.empty()));
	}

	@Test
	void bulkIsRefusedWhileItsOrganisationsUrgentWorkTakesItsShare() {
		for (int each = 0; each < 60; each++) {
			this.service.admitted(request("a", Priority.URGENT, 2000), 0);
		}
		assertThat(refuse("a", Priority.BULK, 2000).isPresent(), is(true));
		assertThat(refuse("a", Priority.URGENT, 2000), is(Optional.empty()));
	}

	@Test
	void deadlineShorterThanTheWorkIsRefusedEvenWithoutAnyBacklog() {
		assertThat(refuse("a", Priority.NORMAL, 50).isPresent(), is(true));
		assertThat(refuse("a", Priority.NORMAL, 200), is(Optional.empty()));
	}

	@Test
	void deadlineInThePastIsRefused() {
		assertThat(refuse("a", Priority.NORMAL, -1).isPresent(), is(true));
	}

	private void backlog(String organisation, Priority priority, int count) {
		for (int each = 0; each < count; each++) {
			Request request = request(organisation, priority, 60_000);
			this.service.admitted(request, 0);
			this.service.queue.offer(new Flight(request));
		}
	}

	private Optional<Long> refuse(String organisation, Priority priority, long millis) {
		return Admission.refuse(request(organisation, priority, millis), this.service, 0, 0);
	}

	private Request request(String organisation, Priority priority, long millis) {
		return new Request(++this.ids, organisation, "s", priority, Duration.ofMillis(millis).toNanos(), true, 0, 1);
	}

}
