package org.wisteriapost.policy.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Stream;

import org.wisteriapost.policy.admission.AdmissionStanding;

/**
 * Requests that wait for free capacity, by service, in the order of their standing and
 * then of arrival. Late requests are kept in separate queues, which are served last.
 */
final class WaitingRequests {

	private static final Comparator<Job> FIRST_SERVED = Comparator.comparing((job) -> job.standing,
			AdmissionStanding.FIRST_SERVED);

	// In order of arrival.
	private final Map<String, List<Job>> inTime = new HashMap<>();

	private final Map<String, List<Job>> late = new HashMap<>();

	private List<Job> queue(Job job, boolean isLate) {
		return (isLate ? this.late : this.inTime).computeIfAbsent(job.service(), (name) -> new ArrayList<>());
	}

	/**
	 * Returns the number of waiting requests that are served before a new one.
	 */
	int ahead(Job job, boolean isLate) {
		return (int) queue(job, isLate).stream()
			.filter((other) -> other.standing.order() <= job.standing.order())
			.count();
	}

	/**
	 * Adds a request.
	 */
	void add(Job job, boolean isLate) {
		queue(job, isLate).add(job);
	}

	/**
	 * Places waiting requests in order, up to the first request of each queue that still
	 * has to wait.
	 *
	 * Each first event and each completed response may free capacity while dozens of
	 * requests wait. Evaluating all runners for all of them hundreds of times per second
	 * would delay the entry's responses. Requests behind the first one are unlikely to be
	 * placed if it is not; {@link #retryAll} considers each of them.
	 * @param waits places a request and returns whether it still has to wait
	 */
	void retry(Predicate<Job> waits) {
		queues().forEach((queue) -> {
			while (!queue.isEmpty()) {
				Job first = first(queue);
				if (!first.finished && waits.test(first)) {
					return;
				}
				queue.remove(first);
			}
		});
	}

	/**
	 * Places all waiting requests in order.
	 * @param waits places a request and returns whether it still has to wait
	 */
	void retryAll(Predicate<Job> waits) {
		queues().forEach((queue) -> queue.stream().sorted(FIRST_SERVED).toList().forEach((job) -> {
			if (job.finished || !waits.test(job)) {
				queue.remove(job);
			}
		}));
	}

	// The first of equal ones in order of arrival.
	private static Job first(List<Job> queue) {
		Job first = queue.getFirst();
		for (Job job : queue) {
			first = (FIRST_SERVED.compare(job, first) < 0) ? job : first;
		}
		return first;
	}

	private Stream<List<Job>> queues() {
		return Stream.concat(this.inTime.values().stream(), this.late.values().stream());
	}

}
