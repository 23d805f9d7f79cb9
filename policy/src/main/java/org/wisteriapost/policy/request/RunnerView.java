package org.wisteriapost.policy.request;

import java.util.Set;

/**
 * One runner as its agent last reported it; the figures lag.
 *
 * @param runner the endpoint VM's name
 * @param place its failure domain
 * @param service what it serves
 * @param admitting false while it is starting, switching or leaving
 * @param weightsDigest what it serves, read back from it; empty for a plain service
 * @param generation of the bundle in force there
 * @param running calls in progress there, from all entries
 * @param queued calls waiting there
 * @param capacity calls at once
 * @param prefixes cached prompt prefixes, a hint with gaps
 */
public record RunnerView(String runner, String place, String service, boolean admitting, String weightsDigest,
		long generation, int running, int queued, int capacity, Set<Long> prefixes) {

	public RunnerView {
		prefixes = Set.copyOf(prefixes);
	}

}
