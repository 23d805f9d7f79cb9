package org.wisteriapost.entry.direct;

import java.util.concurrent.TimeUnit;

import org.wisteriapost.policy.dispatch.PeerLoad;
import org.wisteriapost.policy.dispatch.RefusedRequest;
import org.wisteriapost.policy.dispatch.RunnerLoad;
import org.wisteriapost.policy.fleet.RunnerStart;
import org.wisteriapost.protocol.site.EngineFrames;

/**
 * Converts load reports between their wire form and the policy types.
 */
final class LoadFrames {

	// Sent when the incarnation of a runner is not known.
	private static final long UNKNOWN = 0;

	private LoadFrames() {
	}

	static org.wisteriapost.protocol.wire.RunnerLoad of(RunnerLoad runnerLoad) {
		return org.wisteriapost.protocol.wire.RunnerLoad.newBuilder()
			.setRunner(runnerLoad.runner())
			.setStartedMillis(incarnationMillis(runnerLoad.start()))
			.setActive(runnerLoad.load().active())
			.setWaiting(Math.max(0, runnerLoad.load().waiting()))
			.setWaitingPrompt((int) Math.max(0, runnerLoad.load().waitingPrompt()))
			.build();
	}

	static RunnerLoad read(org.wisteriapost.protocol.wire.RunnerLoad message) {
		PeerLoad load = new PeerLoad(message.getActive(), message.getWaiting(), message.getWaitingPrompt());
		return new RunnerLoad(message.getRunner(), EngineFrames.start(message.getStartedMillis()), load);
	}

	static org.wisteriapost.protocol.wire.RefusedRequest of(RefusedRequest refusal, long nowNanos) {
		return org.wisteriapost.protocol.wire.RefusedRequest.newBuilder()
			.setRequest(refusal.request())
			.setAskedMillis(millis(nowNanos - refusal.askedNanos()))
			.setLeftMillis(millis(refusal.deadlineNanos() - nowNanos))
			.build();
	}

	static RefusedRequest read(org.wisteriapost.protocol.wire.RefusedRequest message, long nowNanos) {
		return new RefusedRequest(message.getRequest(),
				nowNanos - TimeUnit.MILLISECONDS.toNanos(message.getAskedMillis()),
				nowNanos + TimeUnit.MILLISECONDS.toNanos(message.getLeftMillis()));
	}

	private static int millis(long nanos) {
		return (int) Math.clamp(TimeUnit.NANOSECONDS.toMillis(nanos), 0, Integer.MAX_VALUE);
	}

	private static long incarnationMillis(RunnerStart incarnation) {
		return incarnation.startedMillis().orElse(UNKNOWN);
	}

}
