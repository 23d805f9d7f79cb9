package org.wisteriapost.entry.process;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.wisteriapost.policy.request.RequestEvent;
import org.wisteriapost.policy.request.RunnerStatus;
import org.wisteriapost.protocol.wire.Report;

/**
 * Passes agents' reports on to the decisions, and ends the time in which a predecessor's
 * weights are accepted: for each service once all its linked runners have switched. From
 * then on a runner that comes back with old weights is not used.
 */
final class RunnerReports {

	private final Calls calls;

	private final HeadTracker heads;

	private final Map<String, Report> last = new HashMap<>();

	RunnerReports(Calls calls, HeadTracker heads) {
		this.calls = calls;
		this.heads = heads;
	}

	void seen(Report report, long nowNanos) {
		this.last.put(report.getVm(), report);
		if (report.getAdmitting() && this.heads.alsoServed(report.getService(), report.getWeightsDigest())) {
			headChanged();
		}
		this.calls.decide(new RequestEvent.RunnerReported(view(report)));
		if (this.heads.previous().containsKey(report.getService())) {
			endSwitch(report.getService());
		}
		else if (!behind(report.getService())) {
			this.heads.allSwitched(report.getService(), nowNanos);
		}
	}

	void lost(String vm) {
		this.last.remove(vm);
	}

	/**
	 * Tells the decisions which weights are accepted now.
	 */
	void headChanged() {
		this.calls.decide(new RequestEvent.HeadRead(this.heads.generation(), this.heads.digests()));
	}

	private void endSwitch(String service) {
		Set<String> ended = new HashSet<>(this.heads.previous().get(service));
		this.last.values()
			.stream()
			.filter((report) -> report.getService().equals(service))
			.forEach((report) -> ended.remove(report.getWeightsDigest()));
		if (!behind(service) && !ended.isEmpty()) {
			ended.forEach((digest) -> this.heads.switched(service, digest));
			headChanged();
		}
	}

	private boolean behind(String service) {
		return this.last.values()
			.stream()
			.filter((report) -> report.getService().equals(service))
			.anyMatch((report) -> report.getBundleGeneration() < this.heads.generation());
	}

	private static RunnerStatus view(Report report) {
		return new RunnerStatus(report.getVm(), report.getPlace(), report.getService(),
				report.getAdmitting() && !report.getLeaving(), report.getPlain() ? "" : report.getWeightsDigest(),
				report.getBundleGeneration(), report.getRunning(), report.getQueued(), report.getCapacity(),
				new HashSet<>(report.getPrefixesList()));
	}

}
