package org.wisteriapost.policy.rollout;

import java.time.Duration;
import java.util.OptionalInt;
import java.util.stream.LongStream;

/**
 * When one engine is to switch to the version that is being fetched or staged, and when
 * the steps before that are due.
 */
final class SwitchPlan {

	// Entries receive the closed status within a few milliseconds; requests already sent
	// to the engine arrive within this time.
	private static final long CLOSE_GRACE_NANOS = Duration.ofMillis(80).toNanos();

	// Verification reads all staged chunks back, which takes some 200 ms on a busy VM,
	// and is done ahead so that the engine does not idle for it.
	private static final long VERIFY_LEAD_NANOS = Duration.ofMillis(400).toNanos();

	// Smaller changes of an announced switch are not published, since each change is a
	// message to every entry.
	private static final long ANNOUNCE_TOLERANCE_NANOS = Duration.ofMillis(150).toNanos();

	private final SwitchSchedule schedule;

	private final PendingVersions pendingVersions = new PendingVersions();

	private long switchNanos;

	SwitchPlan(Duration activation) {
		this.schedule = new SwitchSchedule(activation);
	}

	/**
	 * Sets this engine's position among all engines that switch, from 0 to below 1.
	 */
	void position(double position) {
		this.schedule.position(position);
	}

	/**
	 * Records that a version became the target.
	 */
	void targetAdded(int version, long nowNanos) {
		this.pendingVersions.add(version, nowNanos);
	}

	/**
	 * Records the version that the engine holds.
	 */
	void held(OptionalInt version) {
		this.pendingVersions.removeUpTo(version);
	}

	/**
	 * Returns the planned time of the switch.
	 */
	long switchNanos() {
		return this.switchNanos;
	}

	/**
	 * Returns when a version became the target.
	 * @param otherwise returned for a version that the engine holds already
	 */
	long targetNanos(int version, long otherwise) {
		return this.pendingVersions.sinceNanos(version, otherwise);
	}

	/**
	 * Returns the latest time of the switch.
	 * @param fetchStartNanos when the fetch of the version began
	 */
	long latestNanos(long fetchStartNanos) {
		return this.schedule.latestNanos(this.pendingVersions.oldestNanos(fetchStartNanos));
	}

	/**
	 * Plans the switch after the estimated end of a fetch.
	 * @param newest whether the version is the newest target
	 */
	void fetchEndsAt(long fetchedNanos, long fetchStartNanos, boolean newest) {
		long candidate = timeAfter(fetchedNanos, fetchStartNanos, newest);
		if (Math.abs(candidate - this.switchNanos) > ANNOUNCE_TOLERANCE_NANOS) {
			this.switchNanos = candidate;
		}
	}

	/**
	 * Plans the switch to a staged version. An announced switch is kept unless it is no
	 * longer possible.
	 */
	void staged(long fetchStartNanos, boolean newest, long nowNanos) {
		long candidate = timeAfter(nowNanos, fetchStartNanos, newest);
		boolean closeEnough = Math.abs(candidate - this.switchNanos) <= ANNOUNCE_TOLERANCE_NANOS;
		boolean kept = closeEnough && this.switchNanos >= nowNanos + SwitchSchedule.LEAD.toNanos();
		this.switchNanos = kept ? this.switchNanos : candidate;
	}

	/**
	 * Plans the switch for now, for an engine that serves no requests.
	 */
	void atOnce(long nowNanos) {
		this.switchNanos = nowNanos;
	}

	boolean verificationDue(long nowNanos) {
		return nowNanos >= this.switchNanos - VERIFY_LEAD_NANOS;
	}

	/**
	 * Returns whether no request may be sent to the engine any more.
	 */
	boolean closed(long nowNanos) {
		return nowNanos >= this.switchNanos;
	}

	/**
	 * Returns whether all requests that were sent before have arrived.
	 */
	boolean orderDue(long nowNanos) {
		return nowNanos >= this.switchNanos + CLOSE_GRACE_NANOS;
	}

	/**
	 * Returns when the next step is due.
	 */
	long nextStepNanos(long nowNanos) {
		return LongStream
			.of(this.switchNanos - VERIFY_LEAD_NANOS, this.switchNanos, this.switchNanos + CLOSE_GRACE_NANOS)
			.filter((time) -> time > nowNanos)
			.findFirst()
			.orElse(Long.MAX_VALUE);
	}

	private long timeAfter(long fetchedNanos, long fetchStartNanos, boolean newest) {
		return this.schedule.switchNanos(fetchedNanos, this.pendingVersions.oldestNanos(fetchStartNanos), newest);
	}

}
