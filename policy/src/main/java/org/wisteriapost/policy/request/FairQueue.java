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
 * Returns which waiting request of a service goes next.
 *
 * Load: more work than slots, from organisations of which one sends many times its share,
 * with long prompts among short ones. Harm prevented: the loudest organisation's backlog
 * becomes everybody's waiting time.
 *
 * Every organisation has a virtual time that grows by cost / weight with each request it
 * gets through; the one furthest behind goes next, whatever the length of its queue. The
 * priority classes of one organisation are strictly ordered. Between organisations a
 * class is a head start and not a right: an organisation that calls all its work urgent
 * is ahead by the head start once and then back at its share.
 *
 * Long requests wait in lanes of their own, so that short ones pass them while no slot
 * for long work is free. Each step costs O(log organisations).
 */
final class FairQueue {

	private static final Priority[] PRIORITIES = Priority.values();

	private static final int LANES = PRIORITIES.length * 2;

	private final RequestPolicySettings settings;

	private final Map<String, Share> shares = new HashMap<>();

	private final List<TreeSet<Share>> lanes = new ArrayList<>();

	private final long[] costs = new long[LANES];

	private int size;

	private int activeWeight;

	/** Virtual time of the organisation furthest behind at the last step. */
	private double behind;

	FairQueue(RequestPolicySettings settings) {
		this.settings = settings;
		for (int lane = 0; lane < LANES; lane++) {
			this.lanes.add(new TreeSet<>(Comparator.<Share>comparingDouble((share) -> share.virtual)
				.thenComparing((share) -> share.organisation)));
		}
	}

	int size() {
		return this.size;
	}

	boolean isEmpty() {
		return this.size == 0;
	}

	/**
	 * Returns how many requests of an organisation wait.
	 */
	int size(String organisation) {
		Share share = this.shares.get(organisation);
		return (share != null) ? share.size : 0;
	}

	/**
	 * Returns the sum of the weights of all organisations that have work waiting.
	 */
	int activeWeight() {
		return this.activeWeight;
	}

	/**
	 * Returns the cost of an organisation's waiting work that goes before a new request
	 * of it, with the request.
	 */
	double ownCost(Request request) {
		Share share = this.shares.get(request.organisation());
		return request.cost() + ((share != null) ? share.costUpTo(lane(request)) : 0);
	}

	/**
	 * Returns the cost of the other organisations' more urgent waiting work that goes
	 * before a new request by its head start.
	 */
	double headStartCost(Request request) {
		int rank = request.priority().ordinal();
		long waiting = 0;
		for (int lane = 0; lane < rank * 2; lane++) {
			waiting += this.costs[lane];
		}
		Share share = this.shares.get(request.organisation());
		waiting -= (share != null) ? share.costUpTo(rank * 2 - 1) : 0;
		return Math.min(waiting, (double) rank * this.settings.priorityHeadStart() * this.activeWeight);
	}

	void offer(Flight flight) {
		Share share = this.shares.computeIfAbsent(flight.request.organisation(), this::newShare);
		if (share.size == 0) {
			share.virtual = Math.max(share.virtual, behind());
			this.activeWeight += share.weight;
		}
		int lane = lane(flight.request);
		share.queues.get(lane).addLast(flight);
		count(share, flight.request, 1);
		this.lanes.get(lane).add(share);
	}

	/**
	 * Puts back a request that was taken and not run, before all others of its lane, and
	 * gives its organisation the cost back.
	 */
	void putBack(Flight flight) {
		Share share = this.shares.computeIfAbsent(flight.request.organisation(), this::newShare);
		if (share.size == 0) {
			share.virtual = Math.max(share.virtual, behind());
			this.activeWeight += share.weight;
		}
		move(share, -(double) flight.request.cost() / share.weight);
		int lane = lane(flight.request);
		share.queues.get(lane).addFirst(flight);
		count(share, flight.request, 1);
		this.lanes.get(lane).add(share);
	}

	/**
	 * Takes the next request.
	 * @param longToo false while no slot is to be had for long work
	 */
	Optional<Flight> poll(boolean longToo) {
		int lane = next(longToo);
		if (lane < 0) {
			return Optional.empty();
		}
		this.behind = behind();
		Share share = this.lanes.get(lane).first();
		Flight flight = share.queues.get(lane).peekFirst();
		take(share, lane, flight);
		if (this.size == 0) {
			// Nobody waits, so nobody is behind: shares need not be remembered.
			this.shares.clear();
			this.behind = 0;
			return Optional.of(flight);
		}
		move(share, (double) flight.request.cost() / share.weight);
		return Optional.of(flight);
	}

	/**
	 * Takes out one request, wherever it stands.
	 */
	void remove(Flight flight) {
		Share share = this.shares.get(flight.request.organisation());
		int lane = lane(flight.request);
		if (share != null && share.queues.get(lane).contains(flight)) {
			take(share, lane, flight);
		}
	}

	/**
	 * Returns the newest request of the organisation furthest ahead of its share in the
	 * lowest class that has any, and at most as urgent as given.
	 */
	Optional<Flight> last(Priority priority) {
		for (int lane = LANES - 1; lane >= priority.ordinal() * 2; lane--) {
			if (!this.lanes.get(lane).isEmpty()) {
				return Optional.of(this.lanes.get(lane).last().queues.get(lane).peekLast());
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns whether the first organisation is further ahead of its share than the
	 * second; an organisation with nothing waiting is at its share.
	 */
	boolean ahead(String organisation, String other) {
		return virtual(organisation) > virtual(other);
	}

	List<Flight> all() {
		List<Flight> flights = new ArrayList<>();
		for (Share share : this.shares.values()) {
			share.queues.forEach(flights::addAll);
		}
		flights.sort(Comparator.comparingLong(Flight::id));
		return flights;
	}

	/**
	 * Forgets organisations that have nothing waiting and are not ahead of their share.
	 */
	void forgetIdle() {
		double now = behind();
		this.shares.values().removeIf((share) -> share.size == 0 && share.virtual <= now);
	}

	private double virtual(String organisation) {
		Share share = this.shares.get(organisation);
		return (share != null) ? Math.max(share.virtual, behind()) : behind();
	}

	private Share newShare(String organisation) {
		return new Share(organisation, this.settings.weight(organisation));
	}

	private int next(boolean longToo) {
		int best = -1;
		double bestVirtual = Double.MAX_VALUE;
		for (int lane = 0; lane < LANES; lane++) {
			if (this.lanes.get(lane).isEmpty() || (!longToo && lane % 2 == 1)) {
				continue;
			}
			double virtual = this.lanes.get(lane).first().virtual
					+ (double) (lane / 2) * this.settings.priorityHeadStart();
			if (virtual < bestVirtual) {
				best = lane;
				bestVirtual = virtual;
			}
		}
		return best;
	}

	private double behind() {
		double behind = Double.MAX_VALUE;
		for (TreeSet<Share> lane : this.lanes) {
			if (!lane.isEmpty()) {
				behind = Math.min(behind, lane.first().virtual);
			}
		}
		return (behind != Double.MAX_VALUE) ? behind : this.behind;
	}

	private void take(Share share, int lane, Flight flight) {
		Deque<Flight> queue = share.queues.get(lane);
		if (queue.peekFirst() == flight) {
			queue.pollFirst();
		}
		else {
			queue.removeLastOccurrence(flight);
		}
		if (queue.isEmpty()) {
			this.lanes.get(lane).remove(share);
		}
		count(share, flight.request, -1);
		if (share.size == 0) {
			this.activeWeight -= share.weight;
		}
	}

	private void move(Share share, double by) {
		for (int lane = 0; lane < LANES; lane++) {
			this.lanes.get(lane).remove(share);
		}
		share.virtual += by;
		for (int lane = 0; lane < LANES; lane++) {
			if (!share.queues.get(lane).isEmpty()) {
				this.lanes.get(lane).add(share);
			}
		}
	}

	private void count(Share share, Request request, int sign) {
		int lane = lane(request);
		this.costs[lane] += (long) sign * request.cost();
		share.costs[lane] += (long) sign * request.cost();
		share.size += sign;
		this.size += sign;
	}

	private int lane(Request request) {
		boolean longOne = request.cost() >= this.settings.longCost();
		return request.priority().ordinal() * 2 + (longOne ? 1 : 0);
	}

	/**
	 * One organisation's virtual time and its waiting requests.
	 */
	private static final class Share {

		private final String organisation;

		private final int weight;

		private final List<Deque<Flight>> queues = new ArrayList<>();

		private final long[] costs = new long[LANES];

		private double virtual;

		private int size;

		private Share(String organisation, int weight) {
			this.organisation = organisation;
			this.weight = weight;
			for (int lane = 0; lane < LANES; lane++) {
				this.queues.add(new ArrayDeque<>());
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
