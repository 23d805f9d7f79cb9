package org.wisteriapost.policy.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class FairQueueTests {

	private final FairQueue queue = new FairQueue(RequestPolicySettings.defaults());

	private long ids;

	@Test
	void loudOrganisationDoesNotDelayTheOthers() {
		offer("loud", Priority.NORMAL, 1, 100);
		offer("quiet", Priority.NORMAL, 1, 2);
		List<String> order = drain(4);
		assertThat(order.stream().filter("quiet"::equals).count(), is(2L));
	}

	@Test
	void organisationAloneGetsEverything() {
		offer("loud", Priority.NORMAL, 1, 3);
		assertThat(drain(3), contains("loud", "loud", "loud"));
		assertThat(this.queue.isEmpty(), is(true));
	}

	@Test
	void shareFollowsTheWeight() {
		RequestPolicySettings plain = RequestPolicySettings.defaults();
		FairQueue weighted = new FairQueue(new RequestPolicySettings("", Map.of("large", 3), 512, 2048, 20, 8, 0.5, 0.1,
				plain.slowStart(), plain.ejection(), 0.3));
		for (int each = 0; each < 40; each++) {
			weighted.offer(flight("large", Priority.NORMAL, 1));
			weighted.offer(flight("small", Priority.NORMAL, 1));
		}
		long large = 0;
		for (int each = 0; each < 40; each++) {
			large += weighted.poll(true).orElseThrow().request.organisation().equals("large") ? 1 : 0;
		}
		assertThat(large, is(30L));
	}

	@Test
	void longRequestsAreChargedByTheirCost() {
		offer("long", Priority.NORMAL, 10, 10);
		offer("short", Priority.NORMAL, 1, 10);
		assertThat(drain(11).stream().filter("short"::equals).count(), greaterThan(8L));
	}

	@Test
	void moreUrgentOfOneOrganisationGoesFirst() {
		offer("a", Priority.BULK, 1, 1);
		offer("a", Priority.URGENT, 1, 1);
		assertThat(this.queue.poll(true).orElseThrow().request.priority(), is(Priority.URGENT));
	}

	@Test
	void organisationThatCallsAllUrgentIsAheadByTheHeadStartOnly() {
		offer("cheat", Priority.URGENT, 1, 200);
		offer("honest", Priority.NORMAL, 1, 200);
		List<String> order = drain(100);
		assertThat(order.subList(0, 20).contains("honest"), is(false));
		assertThat(order.stream().filter("honest"::equals).count(), equalTo(40L));
	}

	@Test
	void shortRequestPassesALongOneThatMayNotRunYet() {
		offer("a", Priority.NORMAL, 50, 1);
		offer("a", Priority.NORMAL, 1, 1);
		assertThat(this.queue.poll(false).orElseThrow().request.cost(), is(1));
		assertThat(this.queue.poll(false), is(Optional.empty()));
		assertThat(this.queue.poll(true).orElseThrow().request.cost(), is(50));
	}

	@Test
	void requestPutBackIsNextAndNotChargedTwice() {
		offer("a", Priority.NORMAL, 1, 2);
		offer("b", Priority.NORMAL, 1, 2);
		Flight first = this.queue.poll(true).orElseThrow();
		this.queue.putBack(first);
		assertThat(this.queue.poll(true).orElseThrow(), is(first));
		assertThat(drain(3), contains("b", "a", "b"));
	}

	@Test
	void organisationThatReturnsHasNoCreditFromItsAbsence() {
		offer("a", Priority.NORMAL, 1, 50);
		drain(40);
		offer("b", Priority.NORMAL, 1, 50);
		assertThat(drain(10).stream().filter("b"::equals).count(), lessThan(7L));
	}

	private void offer(String organisation, Priority priority, int cost, int times) {
		for (int each = 0; each < times; each++) {
			this.queue.offer(flight(organisation, priority, cost));
		}
	}

	private Flight flight(String organisation, Priority priority, int cost) {
		return new Flight(new Request(++this.ids, organisation, "s", priority, Long.MAX_VALUE, true, 0, cost));
	}

	private List<String> drain(int count) {
		List<String> order = new ArrayList<>();
		for (int each = 0; each < count; each++) {
			order.add(this.queue.poll(true).orElseThrow().request.organisation());
		}
		return order;
	}

}
