package org.wisteriapost.agent.transfer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.ObjIntConsumer;

import org.wisteriapost.kernel.EventLoop;

/**
 * The one thread that owns a transfer's state, and where hashing is done beside it.
 *
 * A chunk takes milliseconds to hash: on the thread that reads links it would hold up
 * every other frame of this process.
 */
final class TransferThread implements AutoCloseable {

	// Every event ends work that a limit has admitted: requests, reads, links.
	private static final int RING = 1024;

	private final EventLoop<Runnable> loop = EventLoop.start("transfer", RING, this::consume);

	private final Deque<Runnable> own = new ArrayDeque<>();

	private final ExecutorService hashing = Executors.newVirtualThreadPerTaskExecutor();

	private final ObjIntConsumer<String> lost;

	private volatile Thread owner;

	private volatile boolean closed;

	TransferThread(ObjIntConsumer<String> lost) {
		this.lost = lost;
	}

	/**
	 * Runs a task on the transfer's thread, later and in order.
	 */
	void run(Runnable task) {
		if (Thread.currentThread() == this.owner) {
			// The ring may be full of what only this thread can take out: waiting for
			// room
			// in it would stop the transfer for good.
			this.own.add(task);
		}
		else if (!this.closed) {
			this.loop.put(task);
		}
	}

	/**
	 * Runs a task unless there is much to do; for what comes again soon.
	 */
	void runIfCalm(Runnable task) {
		if (!this.closed) {
			this.loop.offer(task);
		}
	}

	private void consume(Runnable task) {
		this.owner = Thread.currentThread();
		task.run();
		for (Runnable next = this.own.poll(); next != null; next = this.own.poll()) {
			next.run();
		}
	}

	/**
	 * Runs a task that only computes.
	 */
	void compute(Runnable task) {
		try {
			this.hashing.execute(task);
		}
		catch (RejectedExecutionException ex) {
			// The process is closing; nobody waits for the result.
		}
	}

	/**
	 * Hears on this thread that a stored chunk is no longer good.
	 */
	void lost(String file, int index) {
		this.lost.accept(file, index);
	}

	@Override
	public void close() {
		this.closed = true;
		this.hashing.shutdownNow();
		this.loop.close();
	}

}
