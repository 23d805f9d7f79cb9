package org.wisteriapost.standin.sim.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What callers got in one simulation run.
 *
 * A request is worth its size. An answer within the latency target earns all of it and a
 * later one a quarter.
 */
public final class DispatchResult {

	/** The share of its worth that an answer after the latency target earns. */
	static final double LATE_SHARE = 0.25;

	private static final int WINDOW_SECONDS = 2;

	private static final int WORST_WINDOWS = 2;

	// Twice the mean.
	private static final double LARGE_SIZE = 2;

	private static final String LARGE = "large";

	private final List<Window> windows = new ArrayList<>();

	private final ServedShares<String> kinds = new ServedShares<>();

	private final ServedShares<Integer> organisations = new ServedShares<>();

	private final ServedShares<String> sizes = new ServedShares<>();

	// Of requests from other organisations while one has a burst.
	private final ServedShares<Boolean> duringOrganisationBurst = new ServedShares<>();

	private final Map<Integer, Duration[]> organisationBursts = new HashMap<>();

	private int requests;

	private int inTime;

	private int late;

	private int refused;

	private int failed;

	private int returned;

	private int returnedServed;

	private double returnedRefusedWorth;

	private double heldWorth;

	DispatchResult() {
	}

	void recordRequest(SimulatedCaller caller) {
		this.requests++;
		window(caller).owed += caller.worth();
		this.kinds.recordRequest(caller.kind().name(), caller.worth());
		caller.organisation().ifPresent((number) -> this.organisations.recordRequest(number, caller.worth()));
		this.sizes.recordRequest(size(caller), caller.worth());
		burstRole(caller).ifPresent((own) -> this.duringOrganisationBurst.recordRequest(own, caller.worth()));
	}

	void recordAnswer(SimulatedCaller caller, boolean withinTarget) {
		this.inTime += withinTarget ? 1 : 0;
		this.late += withinTarget ? 0 : 1;
		this.returnedServed += caller.returned() ? 1 : 0;
		double earned = caller.worth() * (withinTarget ? 1 : LATE_SHARE);
		window(caller).earned += earned;
		this.kinds.recordAnswer(caller.kind().name(), earned);
		caller.organisation().ifPresent((number) -> this.organisations.recordAnswer(number, earned));
		this.sizes.recordAnswer(size(caller), earned);
		burstRole(caller).ifPresent((own) -> this.duringOrganisationBurst.recordAnswer(own, earned));
	}

	void watchOrganisation(int number, Duration from, Duration until) {
		this.organisationBursts.put(number, new Duration[] { from, until });
	}

	private static String size(SimulatedCaller caller) {
		return (caller.worth() / caller.kind().worth() >= LARGE_SIZE) ? LARGE : "other";
	}

	// Whether the request belongs to the organisation that has a burst when it arrives.
	private Optional<Boolean> burstRole(SimulatedCaller caller) {
		Duration at = Duration.ofNanos(caller.firstNanos());
		return this.organisationBursts.entrySet()
			.stream()
			.filter((burst) -> at.compareTo(burst.getValue()[0]) >= 0 && at.compareTo(burst.getValue()[1]) < 0)
			.map((burst) -> caller.organisation().equals(Optional.of(burst.getKey())))
			.findFirst();
	}

	void recordReturn() {
		this.returned++;
	}

	void recordRefusal(SimulatedCaller caller) {
		this.refused++;
		this.heldWorth += caller.heldShare() * caller.worth();
		this.returnedRefusedWorth += caller.returned() ? caller.worth() : 0;
	}

	void recordFailure() {
		this.failed++;
	}

	private Window window(SimulatedCaller caller) {
		int index = (int) (Duration.ofNanos(caller.firstNanos()).toSeconds() / WINDOW_SECONDS);
		while (this.windows.size() <= index) {
			this.windows.add(new Window());
		}
		return this.windows.get(index);
	}

	public int requests() {
		return this.requests;
	}

	/**
	 * Returns the share of the requests that were answered within the latency target.
	 */
	public double inTimeShare() {
		return (double) this.inTime / this.requests;
	}

	/**
	 * Returns the share of the requests that were answered after the latency target.
	 */
	public double lateShare() {
		return (double) this.late / this.requests;
	}

	/**
	 * Returns the share of the requests that ended with a refusal.
	 */
	public double refusedShare() {
		return (double) this.refused / this.requests;
	}

	/**
	 * Returns the share of the requests that failed at an engine.
	 */
	public double failedShare() {
		return (double) this.failed / this.requests;
	}

	/**
	 * Returns the share of the callers that came back after a refusal and were served.
	 */
	public double returnedServedShare() {
		return (this.returned == 0) ? 1 : (double) this.returnedServed / this.returned;
	}

	/**
	 * Returns the share of the worth that belongs to callers that came back after a
	 * refusal and were refused again.
	 */
	public double refusedAgainShare() {
		return this.returnedRefusedWorth / owed();
	}

	/**
	 * Returns the share of the worth that was held before it was refused, each request
	 * weighted by the share of its time that it was held.
	 */
	public double heldShare() {
		return this.heldWorth / owed();
	}

	/**
	 * Returns the earned share of the worth.
	 */
	public double earnedShare() {
		return this.windows.stream().mapToDouble((window) -> window.earned).sum() / owed();
	}

	/**
	 * Returns the mean earned share of the two worst windows of two seconds.
	 */
	public double worstWindows() {
		return this.windows.stream()
			.filter((window) -> window.owed > 0)
			.mapToDouble((window) -> window.earned / window.owed)
			.sorted()
			.limit(WORST_WINDOWS)
			.average()
			.orElse(0);
	}

	/**
	 * Returns the earned share of the worth by kind.
	 */
	public Map<String, Double> earnedByKind() {
		return this.kinds.earned();
	}

	/**
	 * Returns the answered share of the requests by kind.
	 */
	public Map<String, Double> servedByKind() {
		return this.kinds.answered();
	}

	/**
	 * Returns the answered share of the requests by organisation.
	 */
	public Map<Integer, Double> servedByOrganisation() {
		return this.organisations.answered();
	}

	/**
	 * Returns the answered share of the requests during the burst of one organisation, of
	 * this one (true) and of the others (false).
	 */
	public Map<Boolean, Double> servedDuringOrganisationBurst() {
		return this.duringOrganisationBurst.answered();
	}

	/**
	 * Returns the answered share of the largest requests.
	 */
	public double largestServedShare() {
		return this.sizes.answered().getOrDefault(LARGE, 1.0);
	}

	private double owed() {
		return this.windows.stream().mapToDouble((window) -> window.owed).sum();
	}

	/** The requests that arrived within a window of time. */
	private static final class Window {

		private double owed;

		private double earned;

	}

}
