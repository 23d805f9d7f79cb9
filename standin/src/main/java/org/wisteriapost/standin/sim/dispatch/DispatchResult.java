package org.wisteriapost.standin.sim.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

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

	private final List<Window> windows = new ArrayList<>();

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
	}

	void recordAnswer(SimulatedCaller caller, boolean withinTarget) {
		this.inTime += withinTarget ? 1 : 0;
		this.late += withinTarget ? 0 : 1;
		this.returnedServed += caller.returned() ? 1 : 0;
		window(caller).earned += caller.worth() * (withinTarget ? 1 : LATE_SHARE);
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

	private double owed() {
		return this.windows.stream().mapToDouble((window) -> window.owed).sum();
	}

	/** The requests that arrived within a window of time. */
	private static final class Window {

		private double owed;

		private double earned;

	}

}
