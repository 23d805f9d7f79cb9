package org.wisteriapost.standin.sim;

import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;
import org.wisteriapost.policy.request.Priority;

/**
 * The outcomes and latencies of one simulation run, as callers see them.
 */
public final class LoadResult {

	private static final long MAX_MICROS = 600_000_000;

	private final Map<String, Group> groups = new TreeMap<>();

	private final Group all = new Group();

	private final Histogram refusalLatencies = new Histogram(MAX_MICROS, 3);

	private final Map<String, Long> codes = new TreeMap<>();

	private final Map<String, Long> violations = new TreeMap<>();

	private long dispatches;

	private long gateRefusals;

	private double idealCost;

	LoadResult() {
	}

	/**
	 * Returns the outcomes of one organisation and priority.
	 */
	public Group group(String organisation, Priority priority) {
		return this.groups.computeIfAbsent(organisation + "/" + priority.name().toLowerCase(), (name) -> new Group());
	}

	/**
	 * Returns the outcomes by {@code organisation/priority}.
	 */
	public Map<String, Group> groups() {
		return this.groups;
	}

	/**
	 * Returns the outcomes of all requests.
	 */
	public Group all() {
		return this.all;
	}

	/**
	 * Returns the latency of refusals, in microseconds.
	 */
	public Histogram refusalLatencies() {
		return this.refusalLatencies;
	}

	/**
	 * Returns the number of requests that ended with each error code.
	 */
	public Map<String, Long> codes() {
		return this.codes;
	}

	/**
	 * Returns violations by name. An invariant of the policy counts once for each entry
	 * that violated it; a guarantee checked at runners and callers counts each time.
	 */
	public Map<String, Long> violations() {
		return this.violations;
	}

	/**
	 * Returns the number of calls that a runner accepted beyond the first of each
	 * request.
	 */
	public long retries() {
		return this.dispatches - this.gateRefusals - this.all.dispatched;
	}

	/**
	 * Returns the number of calls that a full gate rejected.
	 */
	public long gateRefusals() {
		return this.gateRefusals;
	}

	/**
	 * Returns the work completed in time while requests arrived, as a share of the ideal:
	 * the requested work or the capacity of all runners, whichever is less.
	 */
	public double goodput() {
		return this.all.inTimeCost / this.idealCost;
	}

	void setIdealCost(double cost) {
		this.idealCost = cost;
	}

	void countDispatch() {
		this.dispatches++;
	}

	void countGateRefusal() {
		this.gateRefusals++;
	}

	void countCode(String code) {
		this.codes.merge(code, 1L, Long::sum);
	}

	void recordViolation(String name) {
		this.violations.merge(name, 1L, Long::sum);
	}

	/**
	 * Outcomes and latencies of a group of requests.
	 */
	public static final class Group {

		private final Histogram answerLatencies = new Histogram(MAX_MICROS, 3);

		private long requests;

		private long dispatched;

		private long inTime;

		private long refused;

		private long failed;

		private double requestedCost;

		private double inTimeCost;

		private Group() {
		}

		void recordRequest(int cost) {
			this.requests++;
			this.requestedCost += cost;
		}

		void recordFirstDispatch() {
			this.dispatched++;
		}

		void recordAnswer(int cost, long micros, boolean inTime) {
			this.answerLatencies.recordValue(Math.min(MAX_MICROS, micros));
			if (inTime) {
				this.inTime++;
				this.inTimeCost += cost;
			}
		}

		void recordRefusal() {
			this.refused++;
		}

		void recordFailure() {
			this.failed++;
		}

		/**
		 * Returns the number of requests.
		 */
		public long requests() {
			return this.requests;
		}

		/**
		 * Returns the total cost of the requests, in units of work.
		 */
		public double requestedCost() {
			return this.requestedCost;
		}

		/**
		 * Returns the share of requests that were answered completely before the
		 * deadline.
		 */
		public double inTimeShare() {
			return (this.requests > 0) ? (double) this.inTime / this.requests : 1;
		}

		/**
		 * Returns the number of requests that were refused without having run.
		 */
		public long refused() {
			return this.refused;
		}

		/**
		 * Returns the number of requests that ended with an unknown outcome.
		 */
		public long failed() {
			return this.failed;
		}

		/**
		 * Returns a percentile of the latency of complete answers, in milliseconds.
		 */
		public double latencyMillis(double percentile) {
			return this.answerLatencies.getValueAtPercentile(percentile) / 1000.0;
		}

	}

}
