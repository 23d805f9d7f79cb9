package org.wisteriapost.policy.dispatch;

import java.util.List;
import java.util.Map;

import org.wisteriapost.policy.fleet.RunnerInfo;

/**
 * Local view of the runners that an entry reports to its peers.
 */
public final class FleetView {

	private final RunnerRegistry registry;

	private final String failureDomain;

	FleetView(RunnerRegistry registry, String failureDomain) {
		this.registry = registry;
		this.failureDomain = failureDomain;
	}

	/**
	 * Returns the requests that this entry has in flight at each runner.
	 */
	public List<RunnerLoad> ownLoad() {
		return this.registry.states()
			.stream()
			.map((state) -> new RunnerLoad(state.info.id(), state.info.incarnation(), state.ownLoad))
			.toList();
	}

	/**
	 * Returns the requests in flight at each runner from this entry and from the peers
	 * that report to it individually, which are those in its failure domain.
	 */
	public List<RunnerLoad> failureDomainLoad(long nowNanos) {
		return this.registry.states()
			.stream()
			.map((state) -> new RunnerLoad(state.info.id(), state.info.incarnation(),
					state.failureDomainTotal(nowNanos)))
			.toList();
	}

	/**
	 * Returns the latest status of each engine in this entry's failure domain, by runner
	 * address.
	 */
	public Map<String, EngineStatus> engineStatuses() {
		return this.registry.engineStatuses(this.failureDomain);
	}

	/**
	 * Returns the registered runners.
	 */
	public List<RunnerInfo> runners() {
		return this.registry.states().stream().map((state) -> state.info).toList();
	}

}
