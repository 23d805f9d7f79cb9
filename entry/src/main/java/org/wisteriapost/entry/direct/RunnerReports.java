package org.wisteriapost.entry.direct;

import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.dispatch.Dispatcher;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.protocol.site.EngineStatusCodec;
import org.wisteriapost.protocol.wire.EngineState;

/**
 * Applies and logs what runners, their agents and checks of them report. Confined to the
 * state thread.
 */
final class RunnerReports {

	private final Dispatcher dispatcher;

	private final DecisionLog log;

	private final EnginePaceLog paceLog;

	RunnerReports(Dispatcher dispatcher, DecisionLog log, DirectMetrics metrics) {
		this.dispatcher = dispatcher;
		this.log = log;
		this.paceLog = new EnginePaceLog(log, metrics);
	}

	void tick(long now) {
		this.paceLog.tick(now);
	}

	/**
	 * Handles a check of a runner after its connections had ended.
	 */
	void checked(DirectEvent.RunnerChecked checked, long now) {
		this.log.decision("runner-checked", "runner", checked.runner().id(), "address", checked.runner().address(),
				"accepts", checked.accepts());
		this.dispatcher.quarantine().runnerChecked(checked.runner(), checked.accepts(), now);
		if (!checked.accepts()) {
			this.dispatcher.rateLimits().coldRunners().unreachable(checked.runner(), now);
		}
	}

	/**
	 * Handles a runner's statement that it is leaving.
	 */
	void leavingStated(RunnerInfo runner) {
		if (this.dispatcher.departures().leavingStated(runner)) {
			this.log.decision("runner-leaving", "runner", runner.id(), "address", runner.address());
		}
	}

	/**
	 * Handles a runner's statement that it is cold.
	 */
	void coldStated(DirectEvent.RunnerCold cold, long now) {
		this.dispatcher.rateLimits().coldRunners().stated(cold.runner(), cold.remaining(), now);
	}

	/**
	 * Handles a runner's statement that it wants no requests for a time.
	 */
	void restStated(DirectEvent.RunnerResting resting, long now) {
		RunnerInfo runner = resting.runner();
		this.dispatcher.departures().restStated(runner, resting.rest(), now);
		this.log.decision("runner-resting", "runner", runner.id(), "address", runner.address(), "millis",
				resting.rest().toMillis());
	}

	/**
	 * Handles the status of an engine, as reported by its agent.
	 */
	void engineStatus(EngineState status, long now) {
		if (!this.paceLog.statusReceived(status, now)) {
			this.log.decision("agent-says", "address", status.getAddress(), "version", status.getVersion(), "switching",
					status.getSwitching(), "closesInMs", status.getClosesInMillis());
		}
		this.dispatcher.updateEngineStatus(status.getAddress(), EngineStatusCodec.decode(status, now), now);
	}

}
