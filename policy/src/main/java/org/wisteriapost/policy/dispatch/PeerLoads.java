package org.wisteriapost.policy.dispatch;

/**
 * The load at runners that other entries report.
 */
public final class PeerLoads {

	private final RunnerRegistry registry;

	PeerLoads(RunnerRegistry registry) {
		this.registry = registry;
	}

	/**
	 * Updates the requests that a peer has in flight at a runner.
	 */
	public void update(String peer, RunnerLoad report, long nowNanos) {
		this.registry.find(report.runnerId())
			.filter((state) -> state.info.incarnation().equals(report.incarnation()))
			.ifPresent((state) -> state.updatePeerLoad(peer, report.load(), nowNanos));
	}

	/**
	 * Updates the requests that all entries of another failure domain have in flight at a
	 * runner.
	 */
	public void updateFailureDomain(String failureDomain, RunnerLoad report, long nowNanos) {
		this.registry.find(report.runnerId())
			.filter((state) -> state.info.incarnation().equals(report.incarnation()))
			.ifPresent((state) -> state.updateFailureDomainLoad(failureDomain, report.load(), nowNanos));
	}

	/**
	 * Removes the load of a peer that is no longer reachable: it has failed or is
	 * partitioned from this entry.
	 */
	public void remove(String peer) {
		this.registry.states().forEach((state) -> state.removePeer(peer));
	}

}
