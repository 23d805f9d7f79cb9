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
 * Writes one JSON line for each decision that touches a request or changes a belief.
 *
 * A decision never waits for its line: lines go through a bounded queue to a thread of
 * their own. A busy process would otherwise spend more on its log than on requests, so
 * each kind of line has a rate; lines of failures have a larger one, since they are the
 * ones that are looked for. What is left out is counted and said in the next line of its
 * kind.
 */
public final class DecisionLog implements AutoCloseable {

	/** Lines of one kind in a second, for what goes well. */
	public static final int USUAL_RATE = 40;

	/** Lines of one kind in a second, for what fails. */
	public static final int FAILURE_RATE = 200;

	private static final int QUEUE = 4096;

	private static final long PAUSE_MILLIS = 250;

	private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(QUEUE);

	private final Map<String, Rate> rates = new ConcurrentHashMap<>();

	private final PrintStream out;

	private final String process;

	private final Thread writer;

	private volatile boolean closed;

	private DecisionLog(String process, PrintStream out) {
		this.process = process;
		this.out = out;
		this.writer = new Thread(this::write, "decision-log");
		this.writer.setDaemon(true);
	}

	/**
	 * Returns a running log.
	 * @param process names the process in each line
	 */
	public static DecisionLog start(String process, PrintStream out) {
		DecisionLog log = new DecisionLog(process, out);
		log.writer.start();
		return log;
	}

	/**
	 * Notes a decision.
	 * @param pairs names and values by turns
	 */
	public void decision(String event, Object... pairs) {
		line(event, USUAL_RATE, pairs);
	}

	/**
	 * Notes a decision that turns a request away or a failure.
	 * @param pairs names and values by turns
	 */
	public void failure(String event, Object... pairs) {
		line(event, FAILURE_RATE, pairs);
	}

	private void line(String event, int perSecond, Object... pairs) {
		Rate rate = this.rates.computeIfAbsent(event, (name) -> new Rate());
		if (!rate.take(perSecond, System.nanoTime())) {
			return;
		}
		StringBuilder text = new StringBuilder(160);
		text.append("{\"time\":\"").append(Instant.now()).append('"');
		field(text, "process", this.process);
		field(text, "event", event);
		long leftOut = rate.leftOut.getAndSet(0);
		if (leftOut > 0) {
			field(text, "leftOut", leftOut);
		}
		for (int i = 0; i + 1 < pairs.length; i += 2) {
			field(text, String.valueOf(pairs[i]), pairs[i + 1]);
		}
		text.append('}');
		if (!this.lines.offer(text.toString())) {
			rate.leftOut.incrementAndGet();
		}
	}

	private static void field(StringBuilder text, String name, Object value) {
		text.append(",\"").append(name).append("\":");
		if (value instanceof Number || value instanceof Boolean) {
			text.append(value);
			return;
		}
		text.append('"').append(JsonStringEncoder.getInstance().quoteAsString(String.valueOf(value))).append('"');
	}

	private void write() {
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
				// One write for many lines: a write costs more than the lines in it.
				TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
			}
			catch (InterruptedException ex) {
				// Only close interrupts; what is queued is still written.
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

	private static final class Rate {

		private final AtomicLong leftOut = new AtomicLong();

		private long secondStart;

		private int count;

		private synchronized boolean take(int perSecond, long nowNanos) {
			if (this.count == 0 || nowNanos - this.secondStart >= TimeUnit.SECONDS.toNanos(1)) {
				this.secondStart = nowNanos;
				this.count = 0;
			}
			this.count++;
			if (this.count > perSecond) {
				this.leftOut.incrementAndGet();
				return false;
			}
			return true;
		}

	}

}
