package org.wisteriapost.entry.direct;

import java.util.concurrent.TimeUnit;

import org.wisteriapost.policy.dispatch.InFlightLoad;
import org.wisteriapost.policy.dispatch.RefusedRequest;
import org.wisteriapost.policy.dispatch.RunnerLoad;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.protocol.site.EngineStatusCodec;

/**
 * Converts load reports between their wire form and the policy types.
 */
final class LoadReportCodec {

	// Sent when the incarnation of a runner is not known.
	private static final long UNKNOWN = 0;

	private LoadReportCodec() {
	}

	static org.wisteriapost.protocol.wire.RunnerLoad encode(RunnerLoad runnerLoad) {
		return org.wisteriapost.protocol.wire.RunnerLoad.newBuilder()
			.setRunner(runnerLoad.runnerId())
			.setStartedMillis(incarnationMillis(runnerLoad.incarnation()))
			.setActive(runnerLoad.load().requests())
			.setWaiting(Math.max(0, runnerLoad.load().awaitingFirstEvent()))
			.setWaitingPrompt((int) Math.max(0, runnerLoad.load().awaitingPromptTokens()))
			.build();
	}

	static RunnerLoad decode(org.wisteriapost.protocol.wire.RunnerLoad message) {
		InFlightLoad load = new InFlightLoad(message.getActive(), message.getWaiting(), message.getWaitingPrompt());
		return new RunnerLoad(message.getRunner(), EngineStatusCodec.incarnation(message.getStartedMillis()), load);
	}

	static org.wisteriapost.protocol.wire.RefusedRequest encode(RefusedRequest refusal, long nowNanos) {
		return org.wisteriapost.protocol.wire.RefusedRequest.newBuilder()
			.setRequest(refusal.requestKey())
			.setAskedMillis(millis(nowNanos - refusal.firstAttemptNanos()))
			.setLeftMillis(millis(refusal.deadlineNanos() - nowNanos))
			.build();
	}

	static RefusedRequest decode(org.wisteriapost.protocol.wire.RefusedRequest message, long nowNanos) {
		return new RefusedRequest(message.getRequest(),
				nowNanos - TimeUnit.MILLISECONDS.toNanos(message.getAskedMillis()),
				nowNanos + TimeUnit.MILLISECONDS.toNanos(message.getLeftMillis()));
	}

	private static int millis(long nanos) {
		return (int) Math.clamp(TimeUnit.NANOSECONDS.toMillis(nanos), 0, Integer.MAX_VALUE);
	}

	private static long incarnationMillis(RunnerIncarnation incarnation) {
		return incarnation.startedMillis().orElse(UNKNOWN);
	}

}
