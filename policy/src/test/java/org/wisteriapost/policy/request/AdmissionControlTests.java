package org.wisteriapost.policy.request;

import java.time.Duration;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class AdmissionControlTests {

	private final ServiceState service = new ServiceState(RequestPolicySettings.defaults());

	private long ids;

	AdmissionControlTests() {
		// One unit of cost takes 100 ms and two calls are in flight: 20 units per
		// second.
		this.service.pool.serviceTime.addSample(0.1);
		this.service.pool.addInFlight(2, false);
	}

	@Test
	void shortBacklogIsAdmitted() {
		addBacklog("a", Priority.NORMAL, 10);
		assertThat(retryAfterIfLate("a", Priority.NORMAL, 2000), is(Optional.empty()));
	}

	@Test
	void backlogBeyondTheDeadlineIsRefusedWithTheTimeItTakesToDrain() {
		addBacklog("a", Priority.NORMAL, 100);
		long retry = retryAfterIfLate("a", Priority.NORMAL, 2000).orElseThrow();
		assertThat(retry, allOf(greaterThanOrEqualTo(3000L), lessThan(4000L)));
	}

	@Test
	void backlogOfAnotherOrganisationDoesNotRefuse() {
		addBacklog("busy", Priority.NORMAL, 100);
		assertThat(retryAfterIfLate("light", Priority.NORMAL, 2000), is(Optional.empty()));
	}

	@Test
	void bulkIsRefusedWhileItsOrganisationsUrgentWorkTakesItsShare() {
		for (int i = 0; i < 60; i++) {
			this.service.recordAdmitted(request("a", Priority.URGENT, 2000), 0);
		}
		assertThat(retryAfterIfLate("a", Priority.BULK, 2000).isPresent(), is(true));
		assertThat(retryAfterIfLate("a", Priority.URGENT, 2000), is(Optional.empty()));
	}

	@Test
	void deadlineShorterThanTheWorkIsRefusedEvenWithoutAnyBacklog() {
		assertThat(retryAfterIfLate("a", Priority.NORMAL, 50).isPresent(), is(true));
		assertThat(retryAfterIfLate("a", Priority.NORMAL, 200), is(Optional.empty()));
	}

	@Test
	void deadlineInThePastIsRefused() {
		assertThat(retryAfterIfLate("a", Priority.NORMAL, -1).isPresent(), is(true));
	}

	private void addBacklog(String organisation, Priority priority, int count) {
		for (int i = 0; i < count; i++) {
			Request request = request(organisation, priority, 60_000);
			this.service.recordAdmitted(request, 0);
			this.service.queue.enqueue(new PendingRequest(request));
		}
	}

	private Optional<Long> retryAfterIfLate(String organisation, Priority priority, long millis) {
		return AdmissionControl.retryAfterIfLate(request(organisation, priority, millis), this.service, 0, 0);
	}

	private Request request(String organisation, Priority priority, long millis) {
		return new Request(++this.ids, organisation, "s", priority, Duration.ofMillis(millis).toNanos(), true, 0, 1);
	}

}
