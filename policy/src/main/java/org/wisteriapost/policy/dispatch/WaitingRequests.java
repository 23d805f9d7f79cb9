package org.wisteriapost.policy.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

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
	 * Takes each request out once, in order, and lets it be placed anew.
	 * @param place puts it back into the given queue if it has to go on waiting
	 */
	void retry(BiConsumer<Job, Deque<Job>> place) {
		retry(this.inTime, place);
		retry(this.late, place);
	}

	private static void retry(Map<String, Deque<Job>> waiting, BiConsumer<Job, Deque<Job>> place) {
		for (Deque<Job> queue : waiting.values()) {
			for (int left = queue.size(); left > 0; left--) {
				Job job = queue.pollFirst();
				if (!job.over) {
					place.accept(job, queue);
				}
			}
		}
	}

}
