package org.wisteriapost.agent.site;

import java.util.concurrent.TimeUnit;

import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.dispatch.EngineStatus;
import org.wisteriapost.policy.pace.PaceAnnouncer;
import org.wisteriapost.policy.pace.PaceStatement;
import org.wisteriapost.protocol.site.EngineControl;

/**
 * Follows the pace of the engine by its reports and adds it to the status for entries.
 * Confined to the agent's event loop.
 */
final class PaceReporter {

	private final PaceAnnouncer announcer = new PaceAnnouncer();

	private final DecisionLog log;

	private double loggedPace = PaceStatement.NORMAL;

	PaceReporter(DecisionLog log) {
		this.log = log;
	}

	void readStarted(long nowNanos) {
		this.announcer.readStarted(nowNanos);
	}

	void reportRead(EngineControl.Report report, long nowNanos) {
		this.announcer.reportRead(report.pace(), report.active() + report.queued() > 0, report.incarnation(), nowNanos);
	}

	void readFailed() {
		this.announcer.readFailed();
	}

	boolean readDue(long nowNanos) {
		return this.announcer.readDue(nowNanos);
	}

	/**
	 * Returns when the pace needs the next tick. A message that was held back for the
	 * sake of the rate follows with the next report.
	 */
	long nextTickNanos() {
		return this.announcer.nextReadNanos();
	}

	/**
	 * Returns whether all entries are to be sent the status for the sake of the pace.
	 */
	boolean tellDue(long nowNanos) {
		return this.announcer.tellDue(nowNanos);
	}

	/**
	 * Returns the status with the current pace.
	 */
	EngineStatus withPace(EngineStatus status) {
		return status.withPace(
				this.announcer.slow().filter((statement) -> statement.incarnation().equals(status.incarnation())));
	}

	/**
	 * Records that all entries were sent the status with the current pace.
	 * @param entries the number of entries
	 */
	void told(int entries, long nowNanos) {
		this.announcer.told(nowNanos);
		double pace = this.announcer.slow().map(PaceStatement::pace).orElse(PaceStatement.NORMAL);
		if (pace != this.loggedPace) {
			this.loggedPace = pace;
			long readNanos = this.announcer.slow().map(PaceStatement::readNanos).orElse(nowNanos);
			this.log.decision("engine-pace", "pace", pace, "ageMs", TimeUnit.NANOSECONDS.toMillis(nowNanos - readNanos),
					"entries", entries);
		}
	}

}
