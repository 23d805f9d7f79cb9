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
	void busyOrganisationDoesNotDelayOthers() {
		enqueue("busy", Priority.NORMAL, 1, 100);
		enqueue("light", Priority.NORMAL, 1, 2);
		List<String> order = drain(4);
		assertThat(order.stream().filter("light"::equals).count(), is(2L));
	}

	@Test
	void soleOrganisationGetsAllSlots() {
		enqueue("busy", Priority.NORMAL, 1, 3);
		assertThat(drain(3), contains("busy", "busy", "busy"));
		assertThat(this.queue.isEmpty(), is(true));
	}

	@Test
	void shareFollowsTheWeight() {
		RequestPolicySettings plain = RequestPolicySettings.defaults();
		FairQueue weighted = new FairQueue(new RequestPolicySettings("", Map.of("large", 3), 512, 2048, 20, 8, 0.5, 0.1,
				plain.slowStartDuration(), plain.baseEjectionTime(), 0.3));
		for (int i = 0; i < 40; i++) {
			weighted.enqueue(pending("large", Priority.NORMAL, 1));
			weighted.enqueue(pending("small", Priority.NORMAL, 1));
		}
		long large = 0;
		for (int i = 0; i < 40; i++) {
			large += weighted.poll(true).orElseThrow().request.organisation().equals("large") ? 1 : 0;
		}
		assertThat(large, is(30L));
	}

	@Test
	void longRequestsAreChargedByTheirCost() {
		enqueue("long", Priority.NORMAL, 10, 10);
		enqueue("short", Priority.NORMAL, 1, 10);
		assertThat(drain(11).stream().filter("short"::equals).count(), greaterThan(8L));
	}

	@Test
	void moreUrgentOfOneOrganisationGoesFirst() {
		enqueue("a", Priority.BULK, 1, 1);
		enqueue("a", Priority.URGENT, 1, 1);
		assertThat(this.queue.poll(true).orElseThrow().request.priority(), is(Priority.URGENT));
	}

	@Test
	void urgentOnlyOrganisationIsAheadByTheHeadStartOnly() {
		enqueue("all-urgent", Priority.URGENT, 1, 200);
		enqueue("normal", Priority.NORMAL, 1, 200);
		List<String> order = drain(100);
		assertThat(order.subList(0, 20).contains("normal"), is(false));
		assertThat(order.stream().filter("normal"::equals).count(), equalTo(40L));
	}

	@Test
	void shortRequestOvertakesLongOneThatMayNotRunYet() {
		enqueue("a", Priority.NORMAL, 50, 1);
		enqueue("a", Priority.NORMAL, 1, 1);
		assertThat(this.queue.poll(false).orElseThrow().request.cost(), is(1));
		assertThat(this.queue.poll(false), is(Optional.empty()));
		assertThat(this.queue.poll(true).orElseThrow().request.cost(), is(50));
	}

	@Test
	void requeuedRequestIsNextAndNotChargedTwice() {
		enqueue("a", Priority.NORMAL, 1, 2);
		enqueue("b", Priority.NORMAL, 1, 2);
		PendingRequest first = this.queue.poll(true).orElseThrow();
		this.queue.requeueFirst(first);
		assertThat(this.queue.poll(true).orElseThrow(), is(first));
		assertThat(drain(3), contains("b", "a", "b"));
	}

	@Test
	void returningOrganisationHasNoCreditFromIdleTime() {
		enqueue("a", Priority.NORMAL, 1, 50);
		drain(40);
		enqueue("b", Priority.NORMAL, 1, 50);
		assertThat(drain(10).stream().filter("b"::equals).count(), lessThan(7L));
	}

	private void enqueue(String organisation, Priority priority, int cost, int times) {
		for (int i = 0; i < times; i++) {
			this.queue.enqueue(pending(organisation, priority, cost));
		}
	}

	private PendingRequest pending(String organisation, Priority priority, int cost) {
		return new PendingRequest(new Request(++this.ids, organisation, "s", priority, Long.MAX_VALUE, true, 0, cost));
	}

	private List<String> drain(int count) {
		List<String> order = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			order.add(this.queue.poll(true).orElseThrow().request.organisation());
		}
		return order;
	}

}
