package org.wisteriapost.policy.ratelimit;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The share of a runner's rate limit that this entry may use.
 *
 * Entries learn of each other's requests only later, so each keeps to a share of its own.
 * Equal shares would waste the limit when one entry has most of the traffic; so the
 * shares follow the demand for the service that entries report to each other. An entry
 * without a report counts with the mean demand of the others: while reports are missing
 * the sum of all shares stays below the limit, and without any the shares are equal.
 *
 * Where entries report within their failure domain only, those of the runner's own one
 * share most of the limit, and the rest is shared equally by all others, which send few
 * requests there.
 */
public final class DemandShares {

	private static final double HOME_SHARE = 0.75;

	// Reports are repeated every half second.
	private static final long DEMAND_TTL_NANOS = Duration.ofMillis(2500).toNanos();

	// A share is read for each runner at each placement.
	private static final long CACHE_NANOS = Duration.ofMillis(100).toNanos();

	private final Map<String, CachedShare> cachedShares = new HashMap<>();

	private final Map<String, ArrivalRate> arrivals = new HashMap<>();

	private final Map<String, Map<String, ReportedDemand>> reported = new HashMap<>();

	private EntryGroup group = EntryGroup.SINGLE;

	private int total = this.group.total();

	/**
	 * Updates the entries that share the limits.
	 */
	public void updateGroup(EntryGroup entries) {
		this.group = entries;
		this.total = entries.total();
	}

	/**
	 * Records the arrival of a request for a service at this entry.
	 */
	public void recordArrival(String service, long nowNanos) {
		this.arrivals.computeIfAbsent(service, (name) -> new ArrivalRate()).record(nowNanos);
	}

	/**
	 * Returns the requests a second that this entry receives for a service.
	 */
	public double demand(String service, long nowNanos) {
		ArrivalRate rate = this.arrivals.get(service);
		return (rate != null) ? rate.perSecond(nowNanos) : 0;
	}

	/**
	 * Updates the demand that another entry reports.
	 */
	public void update(String peer, String service, double perSecond, long nowNanos) {
		this.reported.computeIfAbsent(service, (name) -> new HashMap<>())
			.put(peer, new ReportedDemand(perSecond, nowNanos));
	}

	/**
	 * Returns the share of a limit, from 0 to 1.
	 * @param failureDomain the failure domain of the runner
	 */
	public double share(String service, String failureDomain, long nowNanos) {
		if (this.group.scoped() && !failureDomain.equals(this.group.failureDomain())) {
			return remoteShare(failureDomain);
		}
		CachedShare cached = this.cachedShares.get(service);
		if (cached == null || nowNanos - cached.computedNanos >= CACHE_NANOS) {
			cached = new CachedShare(shareAmongReporting(service, nowNanos), nowNanos);
			this.cachedShares.put(service, cached);
		}
		double share = cached.share;
		boolean shared = this.group.scoped() && this.group.in(failureDomain) < this.total;
		return shared ? HOME_SHARE * share : share;
	}

	private double remoteShare(String failureDomain) {
		int home = this.group.in(failureDomain);
		return (home > 0) ? (1 - HOME_SHARE) / (this.total - home) : 1.0 / this.total;
	}

	private double shareAmongReporting(String service, long nowNanos) {
		Map<String, ReportedDemand> peers = this.reported.getOrDefault(service, Map.of());
		peers.values().removeIf((demand) -> nowNanos - demand.receivedNanos >= DEMAND_TTL_NANOS);
		List<Double> demands = peers.values().stream().map(ReportedDemand::perSecond).toList();
		double own = demand(service, nowNanos);
		double known = own + demands.stream().mapToDouble(Double::doubleValue).sum();
		int missing = Math.max(0, this.group.reporting() - 1 - demands.size());
		double total = known * (1 + (double) missing / (demands.size() + 1));
		return (total > 0) ? own / total : 1.0 / this.group.reporting();
	}

	private record CachedShare(double share, long computedNanos) {
	}

	private record ReportedDemand(double perSecond, long receivedNanos) {
	}

}
