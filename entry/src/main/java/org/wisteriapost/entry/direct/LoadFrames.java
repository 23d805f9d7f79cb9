package org.wisteriapost.entry.direct;

import java.util.concurrent.TimeUnit;

import org.wisteriapost.policy.dispatch.InFlightLoad;
import org.wisteriapost.policy.dispatch.RefusedRequest;
import org.wisteriapost.policy.dispatch.RunnerLoad;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.protocol.site.EngineFrames;

/**
 * Writes and reads what entries tell each other of their load.
 */
final class LoadFrames {

	// Of a start that the runner does not tell.
	private static final long UNKNOWN = 0;

	private LoadFrames() {
	}

	static org.wisteriapost.protocol.wire.RunnerLoad of(RunnerLoad one) {
		return org.wisteriapost.protocol.wire.RunnerLoad.newBuilder()
			.setRunner(one.runnerId())
			.setStartedMillis(startedMillis(one.incarnation()))
			.setActive(one.load().requests())
			.setWaiting(Math.max(0, one.load().awaitingFirstEvent()))
			.setWaitingPrompt((int) Math.max(0, one.load().awaitingPromptTokens()))
			.build();
	}

	static RunnerLoad read(org.wisteriapost.protocol.wire.RunnerLoad said) {
		InFlightLoad load = new InFlightLoad(said.getActive(), said.getWaiting(), said.getWaitingPrompt());
		return new RunnerLoad(said.getRunner(), EngineFrames.start(said.getStartedMillis()), load);
	}

	static org.wisteriapost.protocol.wire.RefusedRequest of(RefusedRequest one, long nowNanos) {
		return org.wisteriapost.protocol.wire.RefusedRequest.newBuilder()
			.setRequest(one.requestKey())
			.setAskedMillis(millis(nowNanos - one.firstAttemptNanos()))
			.setLeftMillis(millis(one.deadlineNanos() - nowNanos))
			.build();
	}

	static RefusedRequest read(org.wisteriapost.protocol.wire.RefusedRequest said, long nowNanos) {
		return new RefusedRequest(said.getRequest(), nowNanos - TimeUnit.MILLISECONDS.toNanos(said.getAskedMillis()),
				nowNanos + TimeUnit.MILLISECONDS.toNanos(said.getLeftMillis()));
	}

	private static int millis(long nanos) {
		return (int) Math.clamp(TimeUnit.NANOSECONDS.toMillis(nanos), 0, Integer.MAX_VALUE);
	}

	private static long startedMillis(RunnerIncarnation start) {
		return start.startedMillis().orElse(UNKNOWN);
	}

}
