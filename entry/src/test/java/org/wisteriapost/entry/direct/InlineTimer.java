package org.wisteriapost.entry.direct;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Runs immediate tasks in the calling thread and drops delayed ones.
 */
final class InlineTimer extends ScheduledThreadPoolExecutor {

	InlineTimer() {
		super(1);
	}

	@Override
	public void execute(Runnable task) {
		task.run();
	}

	@Override
	public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
		return null;
	}

}
