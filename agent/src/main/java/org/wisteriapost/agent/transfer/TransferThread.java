package org.wisteriapost.agent.transfer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.ObjIntConsumer;

import org.wisteriapost.kernel.EventLoop;

/**
 * The thread that owns the state of a transfer, and an executor for hashing.
 *
 * Hashing a chunk takes milliseconds; on the thread that reads links it would delay all
 * other frames of this process.
 */
final class TransferThread implements AutoCloseable {

	// Enough for the events of all requests, reads and links within their limits.
	private static final int QUEUE_CAPACITY = 1024;

	private final EventLoop<Runnable> loop = EventLoop.start("transfer", QUEUE_CAPACITY, this::consume);

	private final Deque<Runnable> ownTasks = new ArrayDeque<>();

	private final ExecutorService hashExecutor = Executors.newVirtualThreadPerTaskExecutor();

	private final ObjIntConsumer<String> onChunkLost;

	private volatile Thread owner;

	private volatile boolean closed;

	TransferThread(ObjIntConsumer<String> onChunkLost) {
		this.onChunkLost = onChunkLost;
	}

	/**
	 * Runs a task on the transfer thread. Tasks of one thread run in order.
	 */
	void execute(Runnable task) {
		if (Thread.currentThread() == this.owner) {
			// Only this thread empties the event loop's queue, so waiting here for free
			// capacity in it would deadlock.
			this.ownTasks.add(task);
		}
		else if (!this.closed) {
			this.loop.put(task);
		}
	}

	/**
	 * Runs a task on the transfer thread, or drops it if the queue is full. For periodic
	 * tasks.
	 */
	void tryExecute(Runnable task) {
		if (!this.closed) {
			this.loop.offer(task);
		}
	}

	private void consume(Runnable task) {
		this.owner = Thread.currentThread();
		task.run();
		for (Runnable next = this.ownTasks.poll(); next != null; next = this.ownTasks.poll()) {
			next.run();
		}
	}

	/**
	 * Runs a task that hashes a chunk, outside the transfer thread.
	 */
	void executeHashing(Runnable task) {
		try {
			this.hashExecutor.execute(task);
		}
		catch (RejectedExecutionException ex) {
			// The transfer is closing, so the result is not needed.
		}
	}

	/**
	 * Reports a chunk that is corrupt or missing in the store. Called on the transfer
	 * thread.
	 */
	void onChunkLost(String file, int index) {
		this.onChunkLost.accept(file, index);
	}

	@Override
	public void close() {
		this.closed = true;
		this.hashExecutor.shutdownNow();
		this.loop.close();
	}

}
