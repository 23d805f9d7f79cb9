package org.wisteriapost.policy.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Requests that wait for room, by service and in the order in which they came. Those that
 * can't be in time any more wait apart, and go on after all others.
 */
final class WaitingRequests {

	private final Map<String, Deque<Job>> inTime = new HashMap<>();

	private final Map<String, Deque<Job>> late = new HashMap<>();

	/**
	 * Returns where a request waits.
	 */
	Deque<Job> of(Job job, boolean isLate) {
		return (isLate ? this.late : this.inTime).computeIfAbsent(job.service(), (name) -> new ArrayDeque<>());
	}

	/**
	 * Lets requests be placed anew, in order, up to the first of each queue that still
	 * finds no room.
	 *
	 * Load: every first event and every end of an answer may have brought room, and
	 * dozens wait. Harm prevented: all of them look at all runners some hundred times a
	 * second, and the entry answers late. Who waits behind the first would hardly fare
	 * better; each is looked at in {@link #retryAll}.
	 * @param waits places a request and returns whether it goes on waiting
	 */
	void retry(Predicate<Job> waits) {
		queues().forEach((queue) -> {
			while (!queue.isEmpty() && (queue.peekFirst().over || !waits.test(queue.peekFirst()))) {
				queue.pollFirst();
			}
		});
	}

	/**
	 * Lets all requests be placed anew, in order.
	 * @param waits places a request and returns whether it goes on waiting
	 */
	void retryAll(Predicate<Job> waits) {
		queues().forEach((queue) -> queue.removeIf((job) -> job.over || !waits.test(job)));
	}

	private Stream<Deque<Job>> queues() {
		return Stream.concat(this.inTime.values().stream(), this.late.values().stream());
	}

}
