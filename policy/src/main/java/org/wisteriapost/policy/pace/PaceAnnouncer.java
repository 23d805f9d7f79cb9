package org.wisteriapost.policy.pace;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;

import org.wisteriapost.policy.fleet.RunnerIncarnation;

/**
 * Decides when an agent reads the pace of its engine and when it tells entries of it.
 *
 * A pace up to a fifth above normal counts as normal: predictions of the first event vary
 * by more. Entries forget a statement after a second, so it is repeated while it lasts.
 * For an engine whose report has no pace nothing is read and nothing is told.
 */
public final class PaceAnnouncer {

	private static final double SIGNIFICANT_CHANGE = 1.2;

	// Below the pace from which an engine counts as slow, so that one that varies around
	// that pace does not cause a message with each report.
	private static final double NORMAL_AGAIN = 1.1;

	private static final long MIN_INTERVAL_NANOS = Duration.ofMillis(100).toNanos();

	private static final long REPEAT_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

	// A read takes 1.4 ms of processor time, so that this is 0.9 % of a core. A spell of
	// 0.6 s is known after an eighth of it on average.
	private static final long ACTIVE_READ_INTERVAL_NANOS = Duration.ofMillis(150).toNanos();

	// The interval of the reads for the rollout, so that an agent at rest reads no more
	// often than without a pace. Without requests nobody waits for the engine.
	private static final long IDLE_READ_INTERVAL_NANOS = Duration.ofMillis(1100).toNanos();

	private static final long READ_TIMEOUT_NANOS = Duration.ofMillis(1500).toNanos();

	private Optional<PaceStatement> latest = Optional.empty();

	private Optional<PaceStatement> told = Optional.empty();

	private long toldNanos = Long.MIN_VALUE / 2;

	private boolean active;

	private boolean reading;

	private boolean failed;

	private long readStartNanos = Long.MIN_VALUE / 2;

	/**
	 * Records that the engine's report is being read, for whatever purpose.
	 */
	public void readStarted(long nowNanos) {
		this.reading = true;
		this.readStartNanos = nowNanos;
	}

	/**
	 * Records the engine's report.
	 * @param pace the reported pace; empty if the report has none
	 * @param active whether the engine has requests in progress
	 */
	public void reportRead(OptionalDouble pace, boolean active, RunnerIncarnation incarnation, long nowNanos) {
		this.reading = false;
		this.failed = false;
		this.active = active;
		this.latest = pace.isEmpty() ? Optional.empty()
				: Optional.of(new PaceStatement(counted(PaceStatement.bounded(pace.getAsDouble()), incarnation),
						nowNanos, incarnation));
	}

	// The pace of an engine that was slow counts until it is nearly normal.
	private double counted(double pace, RunnerIncarnation incarnation) {
		boolean wasSlow = this.told.map((statement) -> statement.incarnation().equals(incarnation)).orElse(false);
		return (pace > (wasSlow ? NORMAL_AGAIN : SIGNIFICANT_CHANGE)) ? pace : PaceStatement.NORMAL;
	}

	/**
	 * Records that the engine's report could not be read.
	 */
	public void readFailed() {
		this.reading = false;
		this.failed = true;
	}

	/**
	 * Returns whether the engine's report is to be read now for the sake of the pace.
	 */
	public boolean readDue(long nowNanos) {
		return nowNanos >= nextReadNanos();
	}

	/**
	 * Returns when the engine's report is to be read next for the sake of the pace.
	 */
	public long nextReadNanos() {
		if (this.latest.isEmpty()) {
			return Long.MAX_VALUE;
		}
		boolean awaited = !this.failed && (this.active || slow().isPresent());
		long interval = awaited ? ACTIVE_READ_INTERVAL_NANOS : IDLE_READ_INTERVAL_NANOS;
		return this.readStartNanos + (this.reading ? READ_TIMEOUT_NANOS : interval);
	}

	/**
	 * Returns the statement to be told to entries; empty if the engine is not slow.
	 */
	public Optional<PaceStatement> slow() {
		return this.latest.filter((statement) -> statement.pace() > PaceStatement.NORMAL);
	}

	/**
	 * Returns whether entries are to be told now.
	 */
	public boolean tellDue(long nowNanos) {
		if (nowNanos - this.toldNanos < MIN_INTERVAL_NANOS) {
			return false;
		}
		Optional<PaceStatement> slow = slow();
		if (slow.isEmpty() || this.told.isEmpty()) {
			return slow.isPresent() != this.told.isPresent();
		}
		PaceStatement before = this.told.get();
		double change = slow.get().pace() / before.pace();
		return change > SIGNIFICANT_CHANGE || change < 1 / SIGNIFICANT_CHANGE
				|| !slow.get().incarnation().equals(before.incarnation())
				|| (nowNanos - this.toldNanos >= REPEAT_INTERVAL_NANOS && slow.get().readNanos() != before.readNanos());
	}

	/**
	 * Records that all entries were sent what {@link #slow()} returns.
	 */
	public void told(long nowNanos) {
		this.told = slow();
		this.toldNanos = nowNanos;
	}

}
