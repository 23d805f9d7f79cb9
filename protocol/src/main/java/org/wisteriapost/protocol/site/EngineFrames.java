package org.wisteriapost.protocol.site;

import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.wisteriapost.policy.dispatch.EngineStatus;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.protocol.wire.EngineState;

/**
 * Writes and reads what agents say of their engines.
 */
public final class EngineFrames {

	private static final long START_UNKNOWN = 0;

	private EngineFrames() {
	}

	/**
	 * Returns what is said of the engine at an address.
	 */
	public static EngineState of(String address, EngineStatus word, long nowNanos) {
		EngineState.Builder state = EngineState.newBuilder()
			.setAddress(address)
			.setHoldsWeights(word.weightsVersion().isPresent())
			.setVersion(word.weightsVersion().orElse(0))
			.setSwitching(word.switching());
		word.incarnation().startedMillis().ifPresent(state::setStartedMillis);
		word.switchStartNanos()
			.ifPresent((closes) -> state
				.setClosesInMillis((int) Math.max(1, TimeUnit.NANOSECONDS.toMillis(closes - nowNanos))));
		return state.build();
	}

	/**
	 * Returns what was said of an engine.
	 */
	public static EngineStatus read(EngineState says, long nowNanos) {
		OptionalInt version = says.getHoldsWeights() ? OptionalInt.of(says.getVersion()) : OptionalInt.empty();
		OptionalLong closes = (says.getClosesInMillis() > 0)
				? OptionalLong.of(nowNanos + TimeUnit.MILLISECONDS.toNanos(says.getClosesInMillis()))
				: OptionalLong.empty();
		return new EngineStatus(version, says.getSwitching(), closes, start(says.getStartedMillis()));
	}

	/**
	 * Returns the start of a runner as frames name it.
	 * @param startedMillis 0 for unknown
	 */
	public static RunnerIncarnation start(long startedMillis) {
		return (startedMillis == START_UNKNOWN) ? RunnerIncarnation.UNKNOWN
				: RunnerIncarnation.startedAt(startedMillis);
	}

}
