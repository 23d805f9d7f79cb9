package org.wisteriapost.standin;

import java.io.IOException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * The threads that all stand-ins of a process share, so that 48 engines fit into one
 * process.
 */
final class StandinThreads {

	private static final int IO_THREADS = 4;

	private static final XnioWorker WORKER = createWorker();

	private static final ScheduledThreadPoolExecutor TIMER = createTimer();

	private StandinThreads() {
	}

	static XnioWorker worker() {
		return WORKER;
	}

	static void schedule(long nanos, Runnable task) {
		TIMER.schedule(task, Math.max(0, nanos), TimeUnit.NANOSECONDS);
	}

	private static XnioWorker createWorker() {
		try {
			return Xnio.getInstance()
				.createWorker(OptionMap.builder()
					.set(Options.WORKER_IO_THREADS, IO_THREADS)
					.set(Options.WORKER_TASK_CORE_THREADS, 1)
					.set(Options.WORKER_TASK_MAX_THREADS, 2)
					.set(Options.THREAD_DAEMON, true)
					.set(Options.TCP_NODELAY, true)
					.set(Options.WORKER_NAME, "standin")
					.getMap());
		}
		catch (IOException ex) {
			throw new IllegalStateException("cannot create I/O threads", ex);
		}
	}

	private static ScheduledThreadPoolExecutor createTimer() {
		ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(2, (task) -> {
			Thread thread = new Thread(task, "standin-timer");
			thread.setDaemon(true);
			return thread;
		});
		timer.setRemoveOnCancelPolicy(true);
		return timer;
	}

}
