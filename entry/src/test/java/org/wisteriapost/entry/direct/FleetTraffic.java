package org.wisteriapost.entry.direct;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Callers of a {@link FleetHarness}. Each request is retried at another entry: at once
 * after a failure, and after the named delay when it was refused.
 */
final class FleetTraffic {

	private static final int MAX_RETRIES = 3;

	// A caller waits for at most this time after a refusal.
	private static final long MAX_RETRY_DELAY_MILLIS = 2000;

	private final FleetHarness fleet;

	private final Optional<FleetEntry> onlyEntry;

	private final FleetResults innocent = new FleetResults();

	private long lastBody;

	/**
	 * Starts ordinary requests, each with a body of its own.
	 * @param perSecond their rate
	 */
	FleetTraffic(FleetHarness fleet, int perSecond) {
		this(fleet, Optional.empty(), perSecond);
	}

	/**
	 * Starts ordinary requests that all come to one entry.
	 */
	FleetTraffic(FleetHarness fleet, FleetEntry entry, int perSecond) {
		this(fleet, Optional.of(entry), perSecond);
	}

	private FleetTraffic(FleetHarness fleet, Optional<FleetEntry> onlyEntry, int perSecond) {
		this.fleet = fleet;
		this.onlyEntry = onlyEntry;
		next(FleetHarness.SECOND / perSecond);
	}

	/** Returns the answers to all attempts of ordinary requests. */
	FleetResults innocent() {
		return this.innocent;
	}

	private void next(long meanIntervalNanos) {
		this.fleet.after(this.fleet.random.nextLong(2 * meanIntervalNanos), () -> {
			attempt("body-" + ++this.lastBody, MAX_RETRIES, this.innocent);
			next(meanIntervalNanos);
		});
	}

	/** Sends ordinary requests with the same content again and again. */
	void startRepeated(String body, long meanIntervalMillis) {
		this.fleet.after(this.fleet.between(1, 2 * meanIntervalMillis), () -> {
			attempt(body, MAX_RETRIES, this.innocent);
			startRepeated(body, meanIntervalMillis);
		});
	}

	/** Sends a request that crashes runners again and again. */
	void startPoison(String body, long meanIntervalMillis) {
		this.fleet.after(this.fleet.between(1, 2 * meanIntervalMillis), () -> {
			attempt(body, 1, new FleetResults());
			startPoison(body, meanIntervalMillis);
		});
	}

	private void attempt(String body, int retries, FleetResults results) {
		this.onlyEntry.orElseGet(this.fleet::randomEntry).request(body, (answer) -> {
			results.add(answer);
			if (!answer.done() && retries > 0) {
				long delay = Math.min(MAX_RETRY_DELAY_MILLIS, Math.max(10, answer.retryAfterMillis()));
				this.fleet.after(delay * FleetHarness.MILLI, () -> attempt(body, retries - 1, results));
			}
		});
	}

	/** Injects faults other than poison requests at random intervals. */
	void startFaults(long meanIntervalMillis) {
		this.fleet.after(this.fleet.between(1, 2 * meanIntervalMillis), () -> {
			fault();
			startFaults(meanIntervalMillis);
		});
	}

	private void fault() {
		List<FleetEntry> running = new ArrayList<>(this.fleet.entries.values());
		running.removeIf((entry) -> !entry.runs());
		if (running.size() < 3) {
			return;
		}
		FleetEntry entry = running.get(this.fleet.random.nextInt(running.size()));
		switch (this.fleet.random.nextInt(5)) {
			case 0 -> this.fleet.restart(entry, this.fleet.between(500, 3000) / FleetHarness.MILLI);
			case 1 -> entry.freeze(this.fleet.between(200, 4000) / FleetHarness.MILLI);
			case 2 -> this.fleet.cut(entry, running.get(this.fleet.random.nextInt(running.size())),
					this.fleet.between(500, 8000) / FleetHarness.MILLI);
			case 3 -> this.fleet.randomRunner().crash(this.fleet.between(1000, 4000) / FleetHarness.MILLI);
			default -> this.fleet.randomRunner().resetConnections();
		}
	}

}
