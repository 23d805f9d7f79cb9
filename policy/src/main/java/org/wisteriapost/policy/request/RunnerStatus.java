package org.wisteriapost.policy.request;

import java.util.Set;

/**
 * Status of a runner as last reported by its agent; the figures lag.
 *
 * @param runner the endpoint VM's name
 * @param failureDomain its failure domain
 * @param service the service that it provides
 * @param admitting false while it is starting, switching weights or leaving
 * @param weightsDigest the weights in use, read back from the runner; empty for a plain
 * service
 * @param generation of the bundle that is active there
 * @param running calls in progress, from all entries
 * @param queued calls waiting
 * @param capacity concurrent calls
 * @param prefixes cached prompt prefixes, an incomplete hint
 */
public record RunnerStatus(String runner, String failureDomain, String service, boolean admitting, String weightsDigest,
		long generation, int running, int queued, int capacity, Set<Long> prefixes) {

	public RunnerStatus {
		prefixes = Set.copyOf(prefixes);
	}

}
