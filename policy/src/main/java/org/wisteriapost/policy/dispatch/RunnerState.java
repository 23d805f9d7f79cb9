package org.wisteriapost.policy.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.wisteriapost.policy.coldstart.RunnerColdness;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.policy.fleet.RunnerRest;
import org.wisteriapost.policy.pace.PaceStatement;
import org.wisteriapost.policy.ratelimit.RunnerRateLimit;

/**
 * Local view of one incarnation of a runner: its registration, the requests in flight
 * there from all entries, and its recent outcomes.
 */
final class RunnerState {

	// A failed peer is usually detected by its closed connection. The timeout covers a
	// peer whose messages are lost: peers report their full load every second.
	private static final long PEER_TTL_NANOS = Duration.ofMillis(2500).toNanos();

	// A runner that has rejected a request for lack of capacity gets no requests for
	// about the time in which a running request may end.
	private static final long BACKOFF_NANOS = Duration.ofMillis(40).toNanos();

	// Limits the backoff to 1.3 s. A registration or an engine status arrives within
	// this time.
	private static final int MAX_DOUBLINGS = 5;

	// Requests with the rank of late requests are overtaken by others.
	private static final double LATE_PREDICTION_FACTOR = 2;

	private static final double LATENCY_SMOOTHING = 0.15;

	private static final double MIN_LATENCY_FACTOR = 0.5;

	private static final double MAX_LATENCY_FACTOR = 6;

	// Load of individual peers, by peer name, and of all entries of another failure
	// domain together, by failure domain.
	private final Map<String, ReportedLoad> peerLoads = new HashMap<>();

	private final Map<String, ReportedLoad> failureDomainLoads = new HashMap<>();

	private InFlightLoad cachedPeerLoad = InFlightLoad.NONE;

	// Time after which the cached sum expires. Reset whenever a report arrives.
	private long cacheValidUntilNanos = Long.MIN_VALUE;

	final RunnerHealth health = new RunnerHealth();

	final RunnerPath path = new RunnerPath();

	final CapacityShare capacityShare = new CapacityShare();

	final RunnerRateLimit rateLimit = new RunnerRateLimit();

	final RunnerColdness coldness = new RunnerColdness();

	final RunnerRest rest = new RunnerRest();

	final FirstEventWaits firstEventWaits = new FirstEventWaits();

	RunnerInfo info;

	InFlightLoad ownLoad = InFlightLoad.NONE;

	double latencyFactor = 1;

	boolean removed;

	private boolean leaving;

	private boolean registered;

	private long backoffUntilNanos = Long.MIN_VALUE;

	private int consecutiveMisdirected;

	private Optional<EngineStatus> engineStatus = Optional.empty();

	private RunnerState(RunnerInfo info, boolean registered) {
		this.info = info;
		this.registered = registered;
	}

	/**
	 * Creates the state of an incarnation that has registered.
	 */
	static RunnerState registeredAs(RunnerInfo info) {
		return new RunnerState(info, true);
	}

	/**
	 * Creates the state of an incarnation that is known from its agent only.
	 * @param assumed what is taken over from the former incarnation; if that was
	 * draining, the runner is not used before it registers
	 */
	static RunnerState unregistered(RunnerInfo assumed) {
		return new RunnerState(assumed, false);
	}

	/**
	 * Returns the weights version of a model that the runner holds, according to the
	 * status reported by its agent or, without one, its registration. The status takes
	 * precedence even if it reports no weights, since a registration can be some seconds
	 * old.
	 */
	OptionalInt weightsVersion(String model) {
		if (this.engineStatus.isPresent()) {
			return this.engineStatus.get().weightsVersion();
		}
		Integer registered = this.info.weightsVersions().get(model);
		return (registered != null) ? OptionalInt.of(registered) : OptionalInt.empty();
	}

	/**
	 * Updates the registration of the same incarnation. One that has registered as
	 * draining leaves: the store may have been restored from a copy that calls it ready.
	 */
	void registered(RunnerInfo newer) {
		this.leaving |= this.registered && this.info.draining();
		this.registered = true;
		this.info = newer;
		this.removed = false;
		resetBackoff();
	}

	/**
	 * Records that the runner stated that it is leaving, and returns whether that was
	 * unknown.
	 */
	boolean markLeaving() {
		boolean unknown = !draining();
		this.leaving = true;
		return unknown;
	}

	/**
	 * Returns whether the runner is leaving, according to its registration or its own
	 * statement.
	 */
	boolean draining() {
		return this.leaving || this.info.draining();
	}

	/**
	 * Updates the engine status reported by the agent.
	 */
	void updateEngineStatus(EngineStatus newer) {
		boolean onlyPaceChanged = this.engineStatus
			.map((old) -> !old.equals(newer) && old.withPace(newer.pace()).equals(newer))
			.orElse(false);
		this.engineStatus = Optional.of(newer);
		if (!onlyPaceChanged) {
			resetBackoff();
		}
	}

	/**
	 * Returns the factor by which the engine states to be slower than declared.
	 */
	double pace(long nowNanos) {
		return this.engineStatus.flatMap(EngineStatus::pace)
			.map((stated) -> stated.effective(this.info.incarnation(), nowNanos))
			.orElse(PaceStatement.NORMAL);
	}

	boolean switching() {
		return this.engineStatus.map(EngineStatus::switching).orElse(false);
	}

	OptionalLong switchStartNanos() {
		return this.engineStatus.map(EngineStatus::switchStartNanos).orElse(OptionalLong.empty());
	}

	/**
	 * Records that a request is sent.
	 * @param requiresNewConnection whether the request is only sent over a newly
	 * established connection
	 */
	void sent(Dispatch dispatch, boolean requiresNewConnection, long nowNanos) {
		this.capacityShare.recordSend();
		this.rateLimit.sent(nowNanos);
		this.coldness.sent(nowNanos);
		this.ownLoad = this.ownLoad.plus(new InFlightLoad(1, 1, dispatch.job.size().promptTokens()));
		this.health.sent(nowNanos);
		// The response times of plain services vary too much to judge the network path
		// by them.
		if (dispatch.nominalMillis > 0) {
			this.path.sent(dispatch.predictedMillis * (dispatch.sentAsLate ? LATE_PREDICTION_FACTOR : 1),
					requiresNewConnection, nowNanos);
		}
	}

	void firstEvent(Dispatch dispatch) {
		this.ownLoad = this.ownLoad.plus(new InFlightLoad(0, -1, -dispatch.job.size().promptTokens()));
		this.health.firstEvent(dispatch.sentNanos);
		this.path.answered(dispatch.sentNanos);
	}

	/**
	 * Records that the runner has sent nothing for a request for longer than usual.
	 */
	void silent(Dispatch dispatch, long nowNanos) {
		this.health.silent(dispatch.sentNanos, nowNanos);
		this.path.endProbe(dispatch.sentNanos);
	}

	/**
	 * Records that a request was cancelled for a reason other than a failure of the
	 * runner.
	 */
	void cancelled(Dispatch dispatch, long nowNanos) {
		subtractLoad(dispatch);
		this.health.cancelled(dispatch.sentNanos);
		if (dispatch.silent()) {
			this.path.endProbe(dispatch.sentNanos);
		}
		else {
			this.path.abandoned(dispatch.sentNanos, nowNanos);
		}
	}

	/**
	 * Records the outcome of a request.
	 */
	void ended(Dispatch dispatch, DispatchOutcome outcome, long nowNanos) {
		subtractLoad(dispatch);
		boolean broken = outcome == DispatchOutcome.DISCONNECTED || outcome == DispatchOutcome.BROKEN;
		// The silence has counted as a broken response.
		if (!broken || !dispatch.silent()) {
			this.health.ended(outcome, dispatch.sentNanos, nowNanos);
		}
		switch (outcome) {
			case NOT_SENT, DISCONNECTED, BROKEN -> this.path.endProbe(dispatch.sentNanos);
			case DONE, ERROR -> this.path.answered(dispatch.sentNanos);
			case FULL -> {
				this.path.answered(dispatch.sentNanos);
				full(nowNanos);
			}
			case MISDIRECTED -> {
				this.path.answered(dispatch.sentNanos);
				misdirected(nowNanos);
			}
		}
	}

	private void subtractLoad(Dispatch dispatch) {
		boolean firstEventSent = dispatch.firstEventSent;
		this.ownLoad = this.ownLoad.plus(new InFlightLoad(-1, firstEventSent ? 0 : -1,
				firstEventSent ? 0 : -dispatch.job.size().promptTokens()));
	}

	void updatePeerLoad(String peer, InFlightLoad load, long nowNanos) {
		this.peerLoads.put(peer, new ReportedLoad(load, nowNanos));
		this.cacheValidUntilNanos = Long.MIN_VALUE;
	}

	void updateFailureDomainLoad(String failureDomain, InFlightLoad load, long nowNanos) {
		this.failureDomainLoads.put(failureDomain, new ReportedLoad(load, nowNanos));
		this.cacheValidUntilNanos = Long.MIN_VALUE;
	}

	void removePeer(String peer) {
		this.peerLoads.remove(peer);
		this.cacheValidUntilNanos = Long.MIN_VALUE;
	}

	/**
	 * Returns the load of all entries. It is read for every runner on each placement, so
	 * the sum of the peer loads is cached until a report arrives or expires.
	 */
	InFlightLoad total(long nowNanos) {
		if (nowNanos >= this.cacheValidUntilNanos) {
			this.cacheValidUntilNanos = Long.MAX_VALUE;
			this.cachedPeerLoad = sum(this.peerLoads, nowNanos).plus(sum(this.failureDomainLoads, nowNanos));
		}
		return this.ownLoad.plus(this.cachedPeerLoad);
	}

	/**
	 * Returns the load of this entry and of the peers that report to it individually. If
	 * callers are directed to entries in their own failure domain, these are the entries
	 * of this failure domain.
	 */
	InFlightLoad failureDomainTotal(long nowNanos) {
		return this.ownLoad.plus(sum(this.peerLoads, nowNanos));
	}

	private InFlightLoad sum(Map<String, ReportedLoad> reports, long nowNanos) {
		InFlightLoad sum = InFlightLoad.NONE;
		for (ReportedLoad report : reports.values()) {
			long until = report.receivedNanos + PEER_TTL_NANOS;
			if (nowNanos < until) {
				sum = sum.plus(report.load);
				this.cacheValidUntilNanos = Math.min(this.cacheValidUntilNanos, until);
			}
		}
		return sum;
	}

	private void full(long nowNanos) {
		this.backoffUntilNanos = nowNanos + BACKOFF_NANOS;
	}

	/**
	 * Records that the runner rejected a request as misdirected: it is another
	 * incarnation than expected or holds other weights. The backoff doubles with each
	 * such rejection until a registration or status update arrives, since the local view
	 * stays wrong for that long, which can be more than a second after a crash.
	 */
	void misdirected(long nowNanos) {
		this.backoffUntilNanos = nowNanos + (BACKOFF_NANOS << Math.min(MAX_DOUBLINGS, this.consecutiveMisdirected));
		this.consecutiveMisdirected++;
	}

	boolean backedOff(long nowNanos) {
		return nowNanos < this.backoffUntilNanos;
	}

	/**
	 * Records the ratio of the actual to the predicted time to the first event.
	 */
	void recordLatencyRatio(double ratio) {
		this.latencyFactor += LATENCY_SMOOTHING
				* (Math.clamp(ratio, MIN_LATENCY_FACTOR, MAX_LATENCY_FACTOR) - this.latencyFactor);
	}

	private void resetBackoff() {
		if (this.consecutiveMisdirected > 0) {
			this.consecutiveMisdirected = 0;
			this.backoffUntilNanos = Long.MIN_VALUE;
		}
	}

	private record ReportedLoad(InFlightLoad load, long receivedNanos) {
	}

}
