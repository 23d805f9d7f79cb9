package org.wisteriapost.entry.direct;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

import org.wisteriapost.policy.admission.ContentionReport;
import org.wisteriapost.policy.dispatch.InFlightLoad;
import org.wisteriapost.policy.dispatch.LoadReportInterval;
import org.wisteriapost.policy.dispatch.RefusedRequest;
import org.wisteriapost.policy.dispatch.RunnerLoad;
import org.wisteriapost.policy.fleet.EntryInfo;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.policy.ratelimit.RateLimitReport;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.LoadReport;

/**
 * Reports this entry's in-flight load at each runner to the other entries. Confined to
 * the state thread.
 *
 * With dozens of entries, each of which reports to all others, the messages would grow
 * with the square of the entries and fill the links between failure domains, so the
 * interval grows with the number of peers ({@link LoadReportInterval}). The share of each
 * entry in a runner's load falls with their number, so a late report matters less.
 */
final class LoadReporter {

	// How often unchanged load is repeated. Receivers discard load that was not
	// repeated for two and a half seconds.
	private static final long FULL_REPORT_INTERVAL_TICKS = 50;

	// How often rate limits and demand are reported while a runner limits its rate.
	private static final long RATE_REPORT_INTERVAL_TICKS = 25;

	// Bounds one report. Only an entry that can dispatch nothing refuses more, and a
	// retry of a request that was left out is treated as a first attempt.
	private static final int MAX_REFUSED_REQUESTS = 200;

	private final String failureDomain;

	private final BiConsumer<String, Frame> sender;

	private final PeerGroup localPeers = new PeerGroup();

	private final PeerGroup remotePeers = new PeerGroup();

	/**
	 * Creates the reporter of one entry.
	 * @param sender sends a frame to an entry by name
	 */
	LoadReporter(String failureDomain, BiConsumer<String, Frame> sender) {
		this.failureDomain = failureDomain;
		this.sender = sender;
	}

	/**
	 * Sends the reports that are due.
	 * @param ticks counts the ticks of the entry; most of them send no report
	 * @param nowNanos the time that ages in the report refer to
	 * @param receivers the other entries that this one reports to
	 * @param source what to report
	 */
	void tick(long ticks, long nowNanos, Supplier<List<EntryInfo>> receivers, Source source) {
		if (!this.localPeers.due(ticks) && !this.remotePeers.due(ticks)) {
			return;
		}
		List<EntryInfo> others = receivers.get();
		List<String> local = others.stream().filter(this::isLocal).map(EntryInfo::name).toList();
		List<String> remote = others.stream().filter((info) -> !isLocal(info)).map(EntryInfo::name).toList();
		LoadReportInterval interval = LoadReportInterval.toPeers(local.size(), remote.size());
		List<RunnerLoad> loads = source.loads();
		this.localPeers.tick(ticks, interval.localTicks(), nowNanos, local, loads, source);
		this.remotePeers.tick(ticks, interval.remoteTicks(), nowNanos, remote, loads, source);
	}

	/**
	 * Adds a refused request to the next report: its caller retries at any entry, a
	 * second or more later.
	 */
	void addRefusedRequest(RefusedRequest request) {
		this.localPeers.recordRefusal(request);
		this.remotePeers.recordRefusal(request);
	}

	/**
	 * Reports rate limits with the next report, since one has changed.
	 */
	void rateLimitsChanged() {
		this.localPeers.nextRateReportTicks = 0;
		this.remotePeers.nextRateReportTicks = 0;
	}

	/**
	 * Repeats all load in the next report, since a newly linked entry has received none.
	 */
	void repeatAll() {
		this.localPeers.lastReported.clear();
		this.remotePeers.lastReported.clear();
	}

	private boolean isLocal(EntryInfo info) {
		return info.failureDomain().equals(this.failureDomain);
	}

	/**
	 * What an entry reports.
	 */
	interface Source {

		/**
		 * Returns the in-flight load of this entry at each runner.
		 */
		List<RunnerLoad> loads();

		/**
		 * Returns what to report of rate limits.
		 */
		Optional<RateLimitReport> rates();

		/**
		 * Returns the services and ranks at which a request that could be in time
		 * recently found no free slot.
		 */
		List<ContentionReport> contended();

	}

	/**
	 * The key of a reported load.
	 */
	private record RunnerKey(String runnerId, RunnerIncarnation incarnation) {
	}

	/** Peers that get reports equally often. */
	private final class PeerGroup {

		private final Map<RunnerKey, InFlightLoad> lastReported = new HashMap<>();

		private final List<RefusedRequest> refusedRequests = new ArrayList<>();

		private long nextReportTicks;

		private long nextFullReportTicks;

		private long nextRateReportTicks;

		private boolean due(long ticks) {
			return ticks >= this.nextReportTicks;
		}

		private void recordRefusal(RefusedRequest request) {
			if (this.refusedRequests.size() < MAX_REFUSED_REQUESTS) {
				this.refusedRequests.add(request);
			}
		}

		private void tick(long ticks, int intervalTicks, long nowNanos, List<String> peers, List<RunnerLoad> loads,
				Source source) {
			if (!due(ticks)) {
				return;
			}
			this.nextReportTicks = ticks + intervalTicks;
			if (peers.isEmpty()) {
				this.refusedRequests.clear();
				return;
			}
			boolean full = ticks >= this.nextFullReportTicks;
			this.nextFullReportTicks = full ? ticks + FULL_REPORT_INTERVAL_TICKS : this.nextFullReportTicks;
			LoadReport.Builder report = report(loads, full, nowNanos);
			if (ticks >= this.nextRateReportTicks) {
				this.nextRateReportTicks = ticks + RATE_REPORT_INTERVAL_TICKS;
				source.rates().ifPresent((limits) -> LoadReportCodec.encode(limits, report, nowNanos));
			}
			source.contended().forEach((one) -> report.addContended(LoadReportCodec.encode(one)));
			if (!report.build().equals(LoadReport.getDefaultInstance())) {
				Frame frame = Frame.newBuilder().setLoadReport(report).build();
				peers.forEach((name) -> LoadReporter.this.sender.accept(name, frame));
			}
		}

		private LoadReport.Builder report(List<RunnerLoad> loads, boolean full, long nowNanos) {
			LoadReport.Builder report = LoadReport.newBuilder();
			Set<RunnerKey> current = new HashSet<>();
			for (RunnerLoad one : loads) {
				RunnerKey key = new RunnerKey(one.runnerId(), one.incarnation());
				current.add(key);
				boolean changed = !one.load().equals(this.lastReported.getOrDefault(key, InFlightLoad.NONE));
				if (changed || (full && one.load().requests() > 0)) {
					this.lastReported.put(key, one.load());
					report.addLoads(LoadReportCodec.encode(one));
				}
			}
			this.lastReported.keySet().retainAll(current);
			this.refusedRequests.forEach((one) -> report.addRefused(LoadReportCodec.encode(one, nowNanos)));
			this.refusedRequests.clear();
			return report;
		}

	}

}
