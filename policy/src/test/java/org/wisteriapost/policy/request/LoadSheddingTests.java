package org.wisteriapost.policy.request;

import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class LoadSheddingTests {

	private static final RequestPolicySettings DEFAULTS = RequestPolicySettings.defaults();

	private final RequestPolicySettings settings = new RequestPolicySettings("", Map.of(), 6, 10, 20, 8, 0.5, 0.1,
			DEFAULTS.slowStartDuration(), DEFAULTS.baseEjectionTime(), 0.3);

	private final FairQueue queue = new FairQueue(this.settings);

	private long ids;

	@ParameterizedTest
	@CsvSource({ "4, BULK, none", "5, BULK, shed", "5, NORMAL, none", "9, URGENT, none" })
	void bulkIsShedFromHalfOfTheQueueOn(int waiting, Priority priority, String code) {
		for (int i = 0; i < waiting; i++) {
			enqueue("org-" + i, Priority.NORMAL);
		}
		assertThat(refuse("new", priority), is(code));
	}

	@Test
	void organisationIsLimitedToItsOwnQueue() {
		for (int i = 0; i < 6; i++) {
			enqueue("busy", Priority.NORMAL);
		}
		assertThat(refuse("busy", Priority.URGENT), is("queue-full"));
		assertThat(refuse("light", Priority.NORMAL), is("none"));
	}

	@Test
	void fullQueueReplacesLessUrgentRequest() {
		fill(Priority.NORMAL);
		Optional<PendingRequest> victim = LoadShedding.victim(request("new", Priority.URGENT), this.queue,
				this.settings);
		assertThat(victim.orElseThrow().request.priority(), is(Priority.NORMAL));
		assertThat(refuse("new", Priority.URGENT), is("none"));
	}

	@Test
	void fullQueueRefusesRequestsAtEqualShare() {
		fill(Priority.NORMAL);
		assertThat(refuse("new", Priority.NORMAL), is("shed"));
	}

	@Test
	void fullQueueReplacesRequestOfOrganisationAheadOfItsShare() {
		fill(Priority.NORMAL);
		PendingRequest served = this.queue.poll(true).orElseThrow();
		enqueue(served.request.organisation(), Priority.NORMAL);
		Optional<PendingRequest> victim = LoadShedding.victim(request("new", Priority.NORMAL), this.queue,
				this.settings);
		assertThat(victim.orElseThrow().request.organisation(), is(served.request.organisation()));
	}

	private void fill(Priority priority) {
		for (int i = 0; i < 10; i++) {
			enqueue("org-" + i % 2, priority);
		}
	}

	private void enqueue(String organisation, Priority priority) {
		this.queue.enqueue(new PendingRequest(request(organisation, priority)));
	}

	private String refuse(String organisation, Priority priority) {
		return LoadShedding.refuse(request(organisation, priority), this.queue, this.settings)
			.map((code) -> code.name())
			.orElse("none");
	}

	private Request request(String organisation, Priority priority) {
		return new Request(++this.ids, organisation, "s", priority, Long.MAX_VALUE, true, 0, 1);
	}

}
