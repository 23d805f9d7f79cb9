package org.wisteriapost.protocol.site;

import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.wisteriapost.policy.dispatch.EngineWord;
import org.wisteriapost.policy.fleet.RunnerStart;
import org.wisteriapost.protocol.wire.EngineState;

/**
 * Encodes and decodes the engine status that agents report.
 */
public final class EngineFrames {

	private static final long UNKNOWN_START_MILLIS = 0;

	private EngineFrames() {
	}

	/**
	 * Encodes the status of the engine at an address.
	 */
	public static EngineState of(String address, EngineWord status, long nowNanos) {
		EngineState.Builder state = EngineState.newBuilder()
			.setAddress(address)
			.setHoldsWeights(status.version().isPresent())
			.setVersion(status.version().orElse(0))
			.setSwitching(status.switching());
		status.start().startedMillis().ifPresent(state::setStartedMillis);
		status.closesNanos()
			.ifPresent((switchNanos) -> state
				.setClosesInMillis((int) Math.max(1, TimeUnit.NANOSECONDS.toMillis(switchNanos - nowNanos))));
		return state.build();
	}

	/**
	 * Decodes the status of an engine.
	 */
	public static EngineWord read(EngineState state, long nowNanos) {
		OptionalInt version = state.getHoldsWeights() ? OptionalInt.of(state.getVersion()) : OptionalInt.empty();
		OptionalLong switchNanos = (state.getClosesInMillis() > 0)
				? OptionalLong.of(nowNanos + TimeUnit.MILLISECONDS.toNanos(state.getClosesInMillis()))
				: OptionalLong.empty();
		return new EngineWord(version, state.getSwitching(), switchNanos, start(state.getStartedMillis()));
	}

	/**
	 * Decodes the incarnation of a runner.
	 * @param startedMillis 0 for unknown
	 */
	public static RunnerStart start(long startedMillis) {
		return (startedMillis == UNKNOWN_START_MILLIS) ? RunnerStart.UNKNOWN : RunnerStart.at(startedMillis);
	}

}
