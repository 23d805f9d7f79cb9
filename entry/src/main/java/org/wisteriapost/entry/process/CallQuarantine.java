package org.wisteriapost.entry.process;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.OptionalLong;
import java.util.function.LongSupplier;

import com.dynatrace.hash4j.hashing.Hashing;
import org.wisteriapost.entry.caller.CallerCall;
import org.wisteriapost.entry.quarantine.ContentHash;
import org.wisteriapost.policy.quarantine.QuarantineChange;
import org.wisteriapost.policy.quarantine.RequestQuarantine;

/**
 * Refuses calls that crash each runner that runs them. Agents report when a runner cuts
 * off a call; one that gives no answer for a while after that has crashed.
 */
final class CallQuarantine {

	private static final Logger LOG = System.getLogger(CallQuarantine.class.getName());

	// What agents report when the connection to their runner ends within a call.
	private static final String RUNNER_CUT = "runner-cut";

	private final RequestQuarantine quarantine = new RequestQuarantine();

	private final EntryMetrics metrics;

	private final LongSupplier clock;

	CallQuarantine(EntryMetrics metrics, LongSupplier clock) {
		this.metrics = metrics;
		this.clock = clock;
	}

	RequestQuarantine quarantine() {
		return this.quarantine;
	}

	/**
	 * Returns for how long a call is refused, if it is in quarantine.
	 */
	OptionalLong remainingNanos(CallerCall call) {
		return this.quarantine.remainingNanos(contentHash(call), this.clock.getAsLong());
	}

	/**
	 * Records that the runner of a VM has answered.
	 */
	void answered(String vm) {
		this.quarantine.runnerAnswered(runnerHash(vm), this.clock.getAsLong());
	}

	void completed(CallerCall call, String vm) {
		answered(vm);
		this.quarantine.requestCompleted(contentHash(call), this.clock.getAsLong());
	}

	/**
	 * Records that a call that may have run has failed.
	 * @param code the reason
	 */
	void failed(CallerCall call, String vm, String code) {
		if (code.equals(RUNNER_CUT)) {
			this.quarantine.runnerLost(contentHash(call), runnerHash(vm), this.clock.getAsLong());
		}
	}

	void tick() {
		this.quarantine.tick(this.clock.getAsLong());
		for (QuarantineChange change : this.quarantine.drainChanges()) {
			this.metrics.quarantineChanged();
			LOG.log(Level.INFO, "quarantine: " + change);
		}
	}

	private static long contentHash(CallerCall call) {
		return ContentHash.of(call.path(), call.request().organisation(), call.body());
	}

	private static long runnerHash(String vm) {
		return Hashing.komihash5_0().hashCharsToLong(vm);
	}

}
