package org.wisteriapost.entry.process;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.wisteriapost.policy.request.RequestEvent;
import org.wisteriapost.policy.request.RunnerStatus;
import org.wisteriapost.protocol.wire.Report;

/**
 * Passes agents' reports to the {@link ActiveRequests}, and stops accepting a service's
 * previous weights once all its linked runners have switched. From then on a runner that
 * returns with old weights gets no calls.
 */
final class RunnerReports {

	private final ActiveRequests requests;

	private final HeadTracker heads;

	private final Map<String, Report> lastByVm = new HashMap<>();

	RunnerReports(ActiveRequests requests, HeadTracker heads) {
		this.requests = requests;
		this.heads = heads;
	}

	void received(Report report, long nowNanos) {
		this.lastByVm.put(report.getVm(), report);
		if (report.getAdmitting() && this.heads.acceptServed(report.getService(), report.getWeightsDigest())) {
			headChanged();
		}
		this.requests.decide(new RequestEvent.RunnerReported(status(report)));
		if (this.heads.previousDigests().containsKey(report.getService())) {
			stopAcceptingUnserved(report.getService());
		}
		else if (!anyBehindHead(report.getService())) {
			this.heads.allSwitched(report.getService(), nowNanos);
		}
	}

	void disconnected(String vm) {
		this.lastByVm.remove(vm);
	}

	/**
	 * Passes the digests that are accepted now to the {@link ActiveRequests}.
	 */
	void headChanged() {
		this.requests.decide(new RequestEvent.HeadRead(this.heads.generation(), this.heads.acceptedDigests()));
	}

	private void stopAcceptingUnserved(String service) {
		Set<String> ended = new HashSet<>(this.heads.previousDigests().get(service));
		this.lastByVm.values()
			.stream()
			.filter((report) -> report.getService().equals(service))
			.forEach((report) -> ended.remove(report.getWeightsDigest()));
		if (!anyBehindHead(service) && !ended.isEmpty()) {
			ended.forEach((digest) -> this.heads.stopAccepting(service, digest));
			headChanged();
		}
	}

	private boolean anyBehindHead(String service) {
		return this.lastByVm.values()
			.stream()
			.filter((report) -> report.getService().equals(service))
			.anyMatch((report) -> report.getBundleGeneration() < this.heads.generation());
	}

	private static RunnerStatus status(Report report) {
		return new RunnerStatus(report.getVm(), report.getPlace(), report.getService(),
				report.getAdmitting() && !report.getLeaving(), report.getPlain() ? "" : report.getWeightsDigest(),
				report.getBundleGeneration(), report.getRunning(), report.getQueued(), report.getCapacity(),
				new HashSet<>(report.getPrefixesList()));
	}

}
