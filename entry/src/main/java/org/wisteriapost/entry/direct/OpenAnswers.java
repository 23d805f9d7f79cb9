package org.wisteriapost.entry.direct;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts the requests that were read whole and whose answers are not sent whole. A
 * request has ended for the dispatcher as soon as its answer is known, while a caller may
 * read it slowly for seconds. Thread-safe.
 */
final class OpenAnswers {

	private final AtomicInteger count = new AtomicInteger();

	/**
	 * Counts a request until the returned action is run, once or more often.
	 */
	Runnable begin() {
		AtomicBoolean open = new AtomicBoolean(true);
		this.count.incrementAndGet();
		return () -> {
			if (open.compareAndSet(true, false)) {
				this.count.decrementAndGet();
			}
		};
	}

	int count() {
		return this.count.get();
	}

}
