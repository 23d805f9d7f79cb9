package org.wisteriapost.policy.coldstart;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

import org.wisteriapost.policy.fleet.RunnerInfo;

/**
 * Until when one incarnation of a runner counts as cold at this entry, and the requests
 * that the entry has sent to it lately.
 */
public final class RunnerColdness {

	// A longer time is taken for an error.
	private static final Duration MAX_STATED = Duration.ofMinutes(10);

	private final SendWindow sends = new SendWindow();

	// Sends are recorded only for services whose runners can be cold.
	private boolean recording;

	private OptionalLong startedNanos = OptionalLong.empty();

	private OptionalLong statedUntilNanos = OptionalLong.empty();

	private OptionalLong presumedUntilNanos = OptionalLong.empty();

	private long presumedAtRevision;

	private Optional<RunnerInfo> latestRegistration = Optional.empty();

	/**
	 * Records that this entry sees the incarnation for the first time. Clocks differ
	 * between machines, so the time of the start that it states is not used.
	 */
	public void started(long nowNanos) {
		this.startedNanos = OptionalLong.of(nowNanos);
	}

	/**
	 * Takes over the requests that were sent to the former incarnation. The latest of
	 * them may have reached this one.
	 */
	public void continueFrom(RunnerColdness former) {
		this.recording = former.recording;
		this.sends.addAll(former.sends);
	}

	/**
	 * Applies a registration. One that was read before states nothing new.
	 */
	public void registered(RunnerInfo info, long nowNanos) {
		boolean known = this.latestRegistration.filter((before) -> before.revision() == info.revision())
			.filter((before) -> before.coldMillis() == info.coldMillis())
			.isPresent();
		this.latestRegistration = Optional.of(info);
		if (known) {
			return;
		}
		if (info.coldMillis() > 0) {
			stated(Duration.ofMillis(info.coldMillis()), nowNanos);
		}
		else if (info.revision() > this.presumedAtRevision) {
			this.presumedUntilNanos = OptionalLong.empty();
		}
	}

	/**
	 * Records that the runner states for how much longer it is cold. A statement does not
	 * shorten what is known otherwise.
	 */
	public void stated(Duration remaining, long nowNanos) {
		Duration counted = (remaining.compareTo(MAX_STATED) < 0) ? remaining : MAX_STATED;
		this.statedUntilNanos = later(this.statedUntilNanos, nowNanos + counted.toNanos());
	}

	/**
	 * Makes the runner count as cold until a time, whatever it states.
	 */
	public void presumeColdUntil(long untilNanos) {
		presumeColdUntil(untilNanos, Long.MAX_VALUE);
	}

	/**
	 * Makes the runner count as cold until a time, or until a registration of a higher
	 * revision states that it is not cold.
	 */
	public void presumeColdUntil(long untilNanos, long revision) {
		this.presumedUntilNanos = later(this.presumedUntilNanos, untilNanos);
		this.presumedAtRevision = revision;
	}

	/**
	 * Returns the time for which the runner counts as cold; empty if it is warm.
	 */
	public Optional<ColdPeriod> period(ColdStart coldStart, long nowNanos) {
		Optional<ColdPeriod> latest = Optional.empty();
		if (this.startedNanos.isPresent()) {
			latest = latest(latest, ColdPeriod.Reason.STARTED,
					OptionalLong.of(this.startedNanos.getAsLong() + coldStart.duration().toNanos()), nowNanos);
		}
		latest = latest(latest, ColdPeriod.Reason.STATED, this.statedUntilNanos, nowNanos);
		return latest(latest, ColdPeriod.Reason.PRESUMED, this.presumedUntilNanos, nowNanos);
	}

	/**
	 * Begins to record sends: a runner that becomes cold has received the latest of them.
	 */
	public void recordSends() {
		this.recording = true;
	}

	/**
	 * Records that a request is sent.
	 */
	public void sent(long nowNanos) {
		if (this.recording) {
			this.sends.record(nowNanos);
		}
	}

	/**
	 * Returns the requests sent within the current window.
	 */
	public int recentSends(long nowNanos) {
		return this.sends.count(nowNanos);
	}

	/**
	 * Returns when this entry may send the next request while the runner is cold; empty
	 * if it may send none.
	 * @param permits the permits of this entry for each window
	 */
	public OptionalLong nextSendNanos(int permits, long nowNanos) {
		return (permits > 0) ? OptionalLong.of(this.sends.nextNanos(permits, nowNanos)) : OptionalLong.empty();
	}

	private static Optional<ColdPeriod> latest(Optional<ColdPeriod> known, ColdPeriod.Reason reason, OptionalLong until,
			long nowNanos) {
		if (until.isEmpty() || until.getAsLong() - nowNanos <= 0) {
			return known;
		}
		boolean later = known.isEmpty() || until.getAsLong() - known.get().untilNanos() > 0;
		return later ? Optional.of(new ColdPeriod(reason, until.getAsLong())) : known;
	}

	private static OptionalLong later(OptionalLong known, long untilNanos) {
		boolean later = known.isEmpty() || untilNanos - known.getAsLong() > 0;
		return later ? OptionalLong.of(untilNanos) : known;
	}

}
