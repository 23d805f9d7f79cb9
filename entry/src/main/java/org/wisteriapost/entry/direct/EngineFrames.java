package org.wisteriapost.entry.direct;

import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.wisteriapost.policy.dispatch.EngineWord;
import org.wisteriapost.protocol.wire.EngineState;

/**
 * Writes and reads what agents say of their engines.
 */
final class EngineFrames {

	private EngineFrames() {
	}

	static EngineState of(String address, EngineWord word, long nowNanos) {
		EngineState.Builder state = EngineState.newBuilder()
			.setAddress(address)
			.setHoldsWeights(word.version().isPresent())
			.setVersion(word.version().orElse(0))
			.setSwitching(word.switching());
		word.start().startedMillis().ifPresent(state::setStartedMillis);
		word.closesNanos()
			.ifPresent((closes) -> state
				.setClosesInMillis((int) Math.max(1, TimeUnit.NANOSECONDS.toMillis(closes - nowNanos))));
		return state.build();
	}

	static EngineWord read(EngineState says, long nowNanos) {
		OptionalInt version = says.getHoldsWeights() ? OptionalInt.of(says.getVersion()) : OptionalInt.empty();
		OptionalLong closes = (says.getClosesInMillis() > 0)
				? OptionalLong.of(nowNanos + TimeUnit.MILLISECONDS.toNanos(says.getClosesInMillis()))
				: OptionalLong.empty();
		return new EngineWord(version, says.getSwitching(), closes, LoadFrames.start(says.getStartedMillis()));
	}

}
