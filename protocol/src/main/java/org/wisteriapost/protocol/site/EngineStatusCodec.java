package org.wisteriapost.protocol.site;

import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.wisteriapost.policy.dispatch.EngineStatus;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.protocol.wire.EngineState;

/**
 * Encodes and decodes the engine status that agents report.
 */
public final class EngineStatusCodec {

	private static final long UNKNOWN_START_MILLIS = 0;

	private EngineStatusCodec() {
	}

	/**
	 * Encodes the status of the engine at an address.
	 */
	public static EngineState encode(String address, EngineStatus status, long nowNanos) {
		EngineState.Builder state = EngineState.newBuilder()
			.setAddress(address)
			.setHoldsWeights(status.weightsVersion().isPresent())
			.setVersion(status.weightsVersion().orElse(0))
			.setSwitching(status.switching());
		status.incarnation().startedMillis().ifPresent(state::setStartedMillis);
		status.switchStartNanos()
			.ifPresent((switchNanos) -> state
				.setClosesInMillis((int) Math.max(1, TimeUnit.NANOSECONDS.toMillis(switchNanos - nowNanos))));
		return state.build();
	}

	/**
	 * Decodes the status of an engine.
	 */
	public static EngineStatus decode(EngineState state, long nowNanos) {
		OptionalInt version = state.getHoldsWeights() ? OptionalInt.of(state.getVersion()) : OptionalInt.empty();
		OptionalLong switchNanos = (state.getClosesInMillis() > 0)
				? OptionalLong.of(nowNanos + TimeUnit.MILLISECONDS.toNanos(state.getClosesInMillis()))
				: OptionalLong.empty();
		return new EngineStatus(version, state.getSwitching(), switchNanos, incarnation(state.getStartedMillis()));
	}

	/**
	 * Decodes the incarnation of a runner.
	 * @param startedMillis 0 for unknown
	 */
	public static RunnerIncarnation incarnation(long startedMillis) {
		return (startedMillis == UNKNOWN_START_MILLIS) ? RunnerIncarnation.UNKNOWN
				: RunnerIncarnation.startedAt(startedMillis);
	}

}
