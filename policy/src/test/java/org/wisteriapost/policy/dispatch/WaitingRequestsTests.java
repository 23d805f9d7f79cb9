package org.wisteriapost.policy.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.wisteriapost.policy.admission.AdmissionStanding;

import static org.hamcrest.MatcherAssert.assertThat;

class WaitingRequestsTests {

	private final DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.engine("e1"));

	private final WaitingRequests waiting = new WaitingRequests();

	private Job add(int order, double organisationShare) {
		Job job = this.harness.arrive(DispatcherHarness.STREAM);
		job.standing = new AdmissionStanding(order / 2, order, 0, organisationShare, OptionalInt.empty());
		this.waiting.add(job, false);
		return job;
	}

	// Failure: urgent requests wait behind a burst of less urgent ones, and small
	// organisations behind a burst of one.
	@Test
	void urgentRequestsAreServedFirstThenOrganisationsWithTheLeastAdmitted() {
		Job patient = add(4, 0.1);
		Job burst = add(0, 0.9);
		Job first = add(0, 0.2);
		Job second = add(0, 0.2);
		assertThat(this.waiting.ahead(burst, false), Matchers.is(3));
		List<Job> served = new ArrayList<>();
		this.waiting.retry((job) -> {
			served.add(job);
			return false;
		});
		assertThat(served, Matchers.contains(first, second, burst, patient));
	}

}
