package org.wisteriapost.protocol.site;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.wisteriapost.policy.dispatch.EngineStatus;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.policy.pace.PaceStatement;
import org.wisteriapost.protocol.wire.EngineState;

/**
 * Encodes and decodes the engine status that agents report.
 */
public final class EngineStatusCodec {

	private static final long UNKNOWN_START_MILLIS = 0;

	private static final double PERCENT = 100;

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
		status.pace()
			.filter((stated) -> !stated.expired(nowNanos))
			.ifPresent((stated) -> state.setPacePercent((int) Math.round(stated.pace() * PERCENT))
				.setPaceAgeMillis((int) Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - stated.readNanos()))));
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
		return new EngineStatus(version, state.getSwitching(), switchNanos, incarnation(state.getStartedMillis()),
				pace(state, nowNanos));
	}

	/**
	 * Decodes the statement of an engine that it is slower than declared. Agents that do
	 * not know the field send none.
	 */
	public static Optional<PaceStatement> pace(EngineState state, long nowNanos) {
		double pace = PaceStatement.bounded(Integer.toUnsignedLong(state.getPacePercent()) / PERCENT);
		long ageMillis = Integer.toUnsignedLong(state.getPaceAgeMillis());
		return (pace > PaceStatement.NORMAL) ? Optional.of(new PaceStatement(pace,
				nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMillis), incarnation(state.getStartedMillis())))
				: Optional.empty();
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
