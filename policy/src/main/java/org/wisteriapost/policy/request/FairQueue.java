package org.wisteriapost.policy.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Weighted fair queue of the waiting requests of one service.
 *
 * Load: more work than slots, with one organisation sending many times its share, and
 * long prompts among short ones. Harm prevented: the backlog of the busiest organisation
 * determines the waiting time of all.
 *
 * Each organisation has a virtual time that advances by cost / weight with each of its
 * dequeued requests; the one with the lowest virtual time is next, whatever the length of
 * its queue. Within an organisation, priority classes are strictly ordered. Between
 * organisations, a more urgent class only has a bounded head start: an organisation that
 * marks all of its requests urgent gains the head start once and is then limited to its
 * share.
 *
 * Long requests wait in separate lanes, so that short ones overtake them while no slot
 * for long requests is free. Each operation costs O(log organisations).
 */
final class FairQueue {

	private static final Priority[] PRIORITIES = Priority.values();

	private static final int LANES = PRIORITIES.length * 2;

	private final RequestPolicySettings settings;

	private final Map<String, OrganisationQueue> organisations = new HashMap<>();

	private final List<TreeSet<OrganisationQueue>> byVirtualTime = new ArrayList<>();

	private final long[] costs = new long[LANES];

	private int size;

	private int activeWeight;

	/** Lowest virtual time at the last dequeue, used while no request waits. */
	private double minVirtualTime;

	FairQueue(RequestPolicySettings settings) {
		this.settings = settings;
		for (int lane = 0; lane < LANES; lane++) {
			this.byVirtualTime
				.add(new TreeSet<>(Comparator.<OrganisationQueue>comparingDouble((queue) -> queue.virtualTime)
					.thenComparing((queue) -> queue.organisation)));
		}
	}

	int size() {
		return this.size;
	}

	boolean isEmpty() {
		return this.size == 0;
	}

	int size(String organisation) {
		OrganisationQueue queue = this.organisations.get(organisation);
		return (queue != null) ? queue.size : 0;
	}

	/**
	 * Returns the sum of the weights of all organisations with waiting requests.
	 */
	int activeWeight() {
		return this.activeWeight;
	}

	/**
	 * Returns the cost of the new request and of the waiting requests of its organisation
	 * that go before it.
	 */
	double ownCost(Request request) {
		OrganisationQueue queue = this.organisations.get(request.organisation());
		return request.cost() + ((queue != null) ? queue.costUpTo(lane(request)) : 0);
	}

	/**
	 * Returns the cost of more urgent requests of other organisations that go before a
	 * new request because of their head start.
	 */
	double headStartCost(Request request) {
		int rank = request.priority().ordinal();
		long waiting = 0;
		for (int lane = 0; lane < rank * 2; lane++) {
			waiting += this.costs[lane];
		}
		OrganisationQueue queue = this.organisations.get(request.organisation());
		waiting -= (queue != null) ? queue.costUpTo(rank * 2 - 1) : 0;
		return Math.min(waiting, (double) rank * this.settings.priorityHeadStart() * this.activeWeight);
	}

	void enqueue(PendingRequest pending) {
		OrganisationQueue queue = this.organisations.computeIfAbsent(pending.request.organisation(),
				this::newOrganisation);
		if (queue.size == 0) {
			queue.virtualTime = Math.max(queue.virtualTime, minVirtualTime());
			this.activeWeight += queue.weight;
		}
		int lane = lane(pending.request);
		queue.lanes.get(lane).addLast(pending);
		updateTotals(queue, pending.request, 1);
		this.byVirtualTime.get(lane).add(queue);
	}

	/**
	 * Returns a dequeued request that did not run to the front of its lane and refunds
	 * its cost to the organisation's virtual time.
	 */
	void requeueFirst(PendingRequest pending) {
		OrganisationQueue queue = this.organisations.computeIfAbsent(pending.request.organisation(),
				this::newOrganisation);
		if (queue.size == 0) {
			queue.virtualTime = Math.max(queue.virtualTime, minVirtualTime());
			this.activeWeight += queue.weight;
		}
		advance(queue, -(double) pending.request.cost() / queue.weight);
		int lane = lane(pending.request);
		queue.lanes.get(lane).addFirst(pending);
		updateTotals(queue, pending.request, 1);
		this.byVirtualTime.get(lane).add(queue);
	}

	/**
	 * Removes and returns the next request.
	 * @param includeLong false while no slot is available for long requests
	 */
	Optional<PendingRequest> poll(boolean includeLong) {
		int lane = nextLane(includeLong);
		if (lane < 0) {
			return Optional.empty();
		}
		this.minVirtualTime = minVirtualTime();
		OrganisationQueue queue = this.byVirtualTime.get(lane).first();
		PendingRequest pending = queue.lanes.get(lane).peekFirst();
		dequeue(queue, lane, pending);
		if (this.size == 0) {
			// Without waiting requests all organisations are at their share.
			this.organisations.clear();
			this.minVirtualTime = 0;
			return Optional.of(pending);
		}
		advance(queue, (double) pending.request.cost() / queue.weight);
		return Optional.of(pending);
	}

	void remove(PendingRequest pending) {
		OrganisationQueue queue = this.organisations.get(pending.request.organisation());
		int lane = lane(pending.request);
		if (queue != null && queue.lanes.get(lane).contains(pending)) {
			dequeue(queue, lane, pending);
		}
	}

	/**
	 * Returns the newest request of the organisation furthest ahead of its share, in the
	 * least urgent non-empty class that is at most as urgent as the given one.
	 */
	Optional<PendingRequest> shedCandidate(Priority priority) {
		for (int lane = LANES - 1; lane >= priority.ordinal() * 2; lane--) {
			if (!this.byVirtualTime.get(lane).isEmpty()) {
				return Optional.of(this.byVirtualTime.get(lane).last().lanes.get(lane).peekLast());
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns whether the first organisation is further ahead of its share than the
	 * second. An organisation without waiting requests counts as being at its share
	 * unless it is still ahead of it.
	 */
	boolean isFurtherAhead(String organisation, String other) {
		return virtualTimeOf(organisation) > virtualTimeOf(other);
	}

	List<PendingRequest> waiting() {
		List<PendingRequest> requests = new ArrayList<>();
		for (OrganisationQueue queue : this.organisations.values()) {
			queue.lanes.forEach(requests::addAll);
		}
		requests.sort(Comparator.comparingLong(PendingRequest::id));
		return requests;
	}

	/**
	 * Evicts organisations that have no waiting requests and are not ahead of their
	 * share.
	 */
	void evictIdle() {
		double current = minVirtualTime();
		this.organisations.values().removeIf((queue) -> queue.size == 0 && queue.virtualTime <= current);
	}

	private double virtualTimeOf(String organisation) {
		OrganisationQueue queue = this.organisations.get(organisation);
		return (queue != null) ? Math.max(queue.virtualTime, minVirtualTime()) : minVirtualTime();
	}

	private OrganisationQueue newOrganisation(String organisation) {
		return new OrganisationQueue(organisation, this.settings.weight(organisation));
	}

	private int nextLane(boolean includeLong) {
		int bestLane = -1;
		double bestTime = Double.MAX_VALUE;
		for (int lane = 0; lane < LANES; lane++) {
			if (this.byVirtualTime.get(lane).isEmpty() || (!includeLong && lane % 2 == 1)) {
				continue;
			}
			double effectiveTime = this.byVirtualTime.get(lane).first().virtualTime
					+ (double) (lane / 2) * this.settings.priorityHeadStart();
			if (effectiveTime < bestTime) {
				bestLane = lane;
				bestTime = effectiveTime;
			}
		}
		return bestLane;
	}

	private double minVirtualTime() {
		double lowest = Double.MAX_VALUE;
		for (TreeSet<OrganisationQueue> lane : this.byVirtualTime) {
			if (!lane.isEmpty()) {
				lowest = Math.min(lowest, lane.first().virtualTime);
			}
		}
		return (lowest != Double.MAX_VALUE) ? lowest : this.minVirtualTime;
	}

	private void dequeue(OrganisationQueue queue, int lane, PendingRequest pending) {
		Deque<PendingRequest> requests = queue.lanes.get(lane);
		if (requests.peekFirst() == pending) {
			requests.pollFirst();
		}
		else {
			requests.removeLastOccurrence(pending);
		}
		if (requests.isEmpty()) {
			this.byVirtualTime.get(lane).remove(queue);
		}
		updateTotals(queue, pending.request, -1);
		if (queue.size == 0) {
			this.activeWeight -= queue.weight;
		}
	}

	private void advance(OrganisationQueue queue, double delta) {
		for (int lane = 0; lane < LANES; lane++) {
			this.byVirtualTime.get(lane).remove(queue);
		}
		queue.virtualTime += delta;
		for (int lane = 0; lane < LANES; lane++) {
			if (!queue.lanes.get(lane).isEmpty()) {
				this.byVirtualTime.get(lane).add(queue);
			}
		}
	}

	private void updateTotals(OrganisationQueue queue, Request request, int sign) {
		int lane = lane(request);
		this.costs[lane] += (long) sign * request.cost();
		queue.costs[lane] += (long) sign * request.cost();
		queue.size += sign;
		this.size += sign;
	}

	private int lane(Request request) {
		boolean longRequest = request.cost() >= this.settings.longCost();
		return request.priority().ordinal() * 2 + (longRequest ? 1 : 0);
	}

	/**
	 * One organisation's virtual time and waiting requests.
	 */
	private static final class OrganisationQueue {

		private final String organisation;

		private final int weight;

		private final List<Deque<PendingRequest>> lanes = new ArrayList<>();

		private final long[] costs = new long[LANES];

		private double virtualTime;

		private int size;

		private OrganisationQueue(String organisation, int weight) {
			this.organisation = organisation;
			this.weight = weight;
			for (int lane = 0; lane < LANES; lane++) {
				this.lanes.add(new ArrayDeque<>());
			}
		}

		private long costUpTo(int last) {
			long sum = 0;
			for (int lane = 0; lane <= last; lane++) {
				sum += this.costs[lane];
			}
			return sum;
		}

	}

}
