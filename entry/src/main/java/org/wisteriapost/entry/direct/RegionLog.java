package org.wisteriapost.entry.direct;

import java.util.stream.Stream;

import org.wisteriapost.policy.dispatch.Job;

/**
 * Adds to log lines which regions a request may be handled in, if it is restricted.
 */
final class RegionLog {

	private RegionLog() {
	}

	/**
	 * Returns the fields of a line, with the request's allowed regions.
	 * @param pairs alternating names and values
	 */
	static Object[] withRegions(Job job, Object... pairs) {
		return job.allowedRegions().restricted() ? append(pairs, "regions", job.allowedRegions().describe()) : pairs;
	}

	/**
	 * Returns the fields of a line, with the request's service and allowed regions and
	 * the age of the active route table.
	 * @param pairs alternating names and values
	 */
	static Object[] withRefusalInputs(Job job, SiteView localView, long nowNanos, Object... pairs) {
		if (!job.allowedRegions().restricted()) {
			return pairs;
		}
		return append(pairs, "service", job.service(), "regions", job.allowedRegions().describe(), "table",
				localView.routeTableVersion(), "tableAgeMs", localView.routeTableStalenessMillis(nowNanos).orElse(-1));
	}

	private static Object[] append(Object[] pairs, Object... more) {
		return Stream.concat(Stream.of(pairs), Stream.of(more)).toArray();
	}

}
