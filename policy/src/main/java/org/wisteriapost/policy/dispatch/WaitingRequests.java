package org.wisteriapost.policy.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Requests that wait for free capacity, by service and in order of arrival. Late requests
 * are kept in separate queues, which are served last.
 */
final class WaitingRequests {

	private final Map<String, Deque<Job>> inTime = new HashMap<>();

	private final Map<String, Deque<Job>> late = new HashMap<>();

	/**
	 * Returns the queue for a request.
	 */
	Deque<Job> queue(Job job, boolean isLate) {
		return (isLate ? this.late : this.inTime).computeIfAbsent(job.service(), (name) -> new ArrayDeque<>());
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
			while (!queue.isEmpty() && (queue.peekFirst().finished || !waits.test(queue.peekFirst()))) {
				queue.pollFirst();
			}
		});
	}

	/**
	 * Places all waiting requests in order.
	 * @param waits places a request and returns whether it still has to wait
	 */
	void retryAll(Predicate<Job> waits) {
		queues().forEach((queue) -> queue.removeIf((job) -> job.finished || !waits.test(job)));
	}

	private Stream<Deque<Job>> queues() {
		return Stream.concat(this.inTime.values().stream(), this.late.values().stream());
	}

}
