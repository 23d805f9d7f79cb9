package org.wisteriapost.kernel.log;

import java.io.PrintStream;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.core.io.JsonStringEncoder;

/**
 * Writes one JSON line for each decision about a request and each change of local state.
 *
 * Callers never block: a bounded queue passes the lines to a writer thread. Under load a
 * process would otherwise spend more time on its log than on requests, so each event name
 * has a rate limit. The limit for failures is higher, because they are needed to explain
 * incidents. The number of dropped lines is reported by the next line of the same event.
 */
public final class DecisionLog implements AutoCloseable {

	/** Limit per event name for decisions that are not failures. */
	public static final int MAX_DECISIONS_PER_SECOND = 40;

	/** Limit per event name for failures and rejections. */
	public static final int MAX_FAILURES_PER_SECOND = 200;

	private static final int QUEUE_CAPACITY = 4096;

	private static final long BATCH_INTERVAL_MILLIS = 250;

	private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(QUEUE_CAPACITY);

	private final Map<String, RateLimiter> limiters = new ConcurrentHashMap<>();

	private final PrintStream out;

	private final String process;

	private final Thread writer;

	private volatile boolean closed;

	private DecisionLog(String process, PrintStream out) {
		this.process = process;
		this.out = out;
		this.writer = new Thread(this::writeBatches, "decision-log");
		this.writer.setDaemon(true);
	}

	/**
	 * Starts the writer thread and returns the log.
	 * @param process name of the process, written to each line
	 */
	public static DecisionLog start(String process, PrintStream out) {
		DecisionLog log = new DecisionLog(process, out);
		log.writer.start();
		return log;
	}

	/**
	 * Logs a decision.
	 * @param pairs alternating names and values
	 */
	public void decision(String event, Object... pairs) {
		enqueue(event, MAX_DECISIONS_PER_SECOND, pairs);
	}

	/**
	 * Logs a failure, or a decision that rejects a request.
	 * @param pairs alternating names and values
	 */
	public void failure(String event, Object... pairs) {
		enqueue(event, MAX_FAILURES_PER_SECOND, pairs);
	}

	private void enqueue(String event, int maxPerSecond, Object... pairs) {
		RateLimiter limiter = this.limiters.computeIfAbsent(event, (name) -> new RateLimiter());
		if (!limiter.tryAcquire(maxPerSecond, System.nanoTime())) {
			return;
		}
		StringBuilder text = new StringBuilder(160);
		text.append("{\"time\":\"").append(Instant.now()).append('"');
		appendField(text, "process", this.process);
		appendField(text, "event", event);
		long dropped = limiter.dropped.getAndSet(0);
		if (dropped > 0) {
			appendField(text, "leftOut", dropped);
		}
		for (int i = 0; i + 1 < pairs.length; i += 2) {
			appendField(text, String.valueOf(pairs[i]), pairs[i + 1]);
		}
		text.append('}');
		if (!this.lines.offer(text.toString())) {
			limiter.dropped.incrementAndGet();
		}
	}

	private static void appendField(StringBuilder text, String name, Object value) {
		text.append(",\"").append(name).append("\":");
		if (value instanceof Number || value instanceof Boolean) {
			text.append(value);
			return;
		}
		text.append('"').append(JsonStringEncoder.getInstance().quoteAsString(String.valueOf(value))).append('"');
	}

	private void writeBatches() {
		StringBuilder batch = new StringBuilder();
		while (!this.closed || !this.lines.isEmpty()) {
			try {
				String first = this.lines.take();
				batch.setLength(0);
				for (String line = first; line != null; line = this.lines.poll()) {
					batch.append(line).append('\n');
				}
				this.out.print(batch);
				this.out.flush();
				// Batches lines: a system call costs more than formatting the
				// lines.
				TimeUnit.MILLISECONDS.sleep(BATCH_INTERVAL_MILLIS);
			}
			catch (InterruptedException ex) {
				// Only close() interrupts; the loop still drains the queue.
			}
		}
	}

	@Override
	public void close() {
		this.closed = true;
		this.writer.interrupt();
		try {
			this.writer.join(TimeUnit.SECONDS.toMillis(1));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static final class RateLimiter {

		private final AtomicLong dropped = new AtomicLong();

		private long windowStartNanos;

		private int count;

		private synchronized boolean tryAcquire(int maxPerSecond, long nowNanos) {
			if (this.count == 0 || nowNanos - this.windowStartNanos >= TimeUnit.SECONDS.toNanos(1)) {
				this.windowStartNanos = nowNanos;
				this.count = 0;
			}
			this.count++;
			if (this.count > maxPerSecond) {
				this.dropped.incrementAndGet();
				return false;
			}
			return true;
		}

	}

}
