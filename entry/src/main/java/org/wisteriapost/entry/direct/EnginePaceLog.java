package org.wisteriapost.entry.direct;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.pace.PaceStatement;
import org.wisteriapost.protocol.site.EngineStatusCodec;
import org.wisteriapost.protocol.wire.EngineState;

/**
 * Logs which engines state that they are slower than declared, and counts them. Confined
 * to the state thread.
 */
final class EnginePaceLog {

	private final DecisionLog log;

	private final DirectMetrics metrics;

	// By address; only engines whose statement counts.
	private final Map<String, Stated> slow = new HashMap<>();

	EnginePaceLog(DecisionLog log, DirectMetrics metrics) {
		this.log = log;
		this.metrics = metrics;
	}

	/**
	 * Handles the status of an engine and returns whether nothing but the pace is new in
	 * it.
	 */
	boolean statusReceived(EngineState status, long nowNanos) {
		Optional<PaceStatement> pace = EngineStatusCodec.pace(status, nowNanos)
			.filter((statement) -> !statement.expired(nowNanos));
		EngineState rest = status.toBuilder().clearPacePercent().clearPaceAgeMillis().build();
		Stated before = this.slow.get(status.getAddress());
		if (pace.isPresent()) {
			this.slow.put(status.getAddress(), new Stated(pace.get(), rest));
		}
		else if (before != null) {
			this.slow.remove(status.getAddress());
		}
		double last = (before != null) ? before.pace.pace() : PaceStatement.NORMAL;
		double now = pace.map(PaceStatement::pace).orElse(PaceStatement.NORMAL);
		if (last != now) {
			changed(status.getAddress(), now, pace.map((one) -> nowNanos - one.readNanos()).orElse(0L), "report");
		}
		return before != null && before.rest.equals(rest);
	}

	/**
	 * Drops statements that are too old.
	 */
	void tick(long nowNanos) {
		if (this.slow.isEmpty()) {
			return;
		}
		Map.copyOf(this.slow).forEach((address, stated) -> {
			if (stated.pace.expired(nowNanos)) {
				this.slow.remove(address);
				changed(address, PaceStatement.NORMAL, nowNanos - stated.pace.readNanos(), "expiry");
			}
		});
	}

	private void changed(String address, double pace, long ageNanos, String cause) {
		this.log.decision("engine-pace", "address", address, "pace", pace, "ageMs",
				TimeUnit.NANOSECONDS.toMillis(ageNanos), "cause", cause);
		this.metrics.slowEngines(this.slow.size());
	}

	/**
	 * What was last received of a slow engine.
	 *
	 * @param pace its statement
	 * @param rest everything else of its status
	 */
	private record Stated(PaceStatement pace, EngineState rest) {
	}

}
