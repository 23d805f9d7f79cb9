package org.wisteriapost.standin.sim;

import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;
import org.wisteriapost.policy.request.Priority;

/**
 * What the callers of one run met.
 */
public final class LoadResult {

	private static final long MOST_MICROS = 600_000_000;

	private final Map<String, Group> groups = new TreeMap<>();

	private final Group all = new Group();

	private final Histogram refusals = new Histogram(MOST_MICROS, 3);

	private final Map<String, Long> codes = new TreeMap<>();

	private final Map<String, Long> violations = new TreeMap<>();

	private long dispatches;

	private long gateRefusals;

	private double idealCost;

	LoadResult() {
	}

	/**
	 * Returns the callers of one organisation and priority.
	 */
	public Group group(String organisation, Priority priority) {
		return this.groups.computeIfAbsent(organisation + "/" + priority.name().toLowerCase(), (name) -> new Group());
	}

	/**
	 * Returns the groups by name.
	 */
	public Map<String, Group> groups() {
		return this.groups;
	}

	/**
	 * Returns all callers.
	 */
	public Group all() {
		return this.all;
	}

	/**
	 * Returns the time until a refusal, in microseconds.
	 */
	public Histogram refusals() {
		return this.refusals;
	}

	/**
	 * Returns how often each code was answered.
	 */
	public Map<String, Long> codes() {
		return this.codes;
	}

	/**
	 * Returns the broken promises, of the program's own invariants and as the runners saw
	 * them.
	 */
	public Map<String, Long> violations() {
		return this.violations;
	}

	/**
	 * Returns calls that reached a runner beyond the first of each request.
	 */
	public long retries() {
		return this.dispatches - this.gateRefusals - this.all.dispatched;
	}

	/**
	 * Returns calls that a full gate sent back.
	 */
	public long gateRefusals() {
		return this.gateRefusals;
	}

	/**
	 * Returns the work answered in time while requests came, as a share of what an ideal
	 * would have: all that was asked for, or all that the runners can do if that is less.
	 */
	public double goodput() {
		return this.all.goodCost / this.idealCost;
	}

	void ideal(double cost) {
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

	void violation(String name) {
		this.violations.merge(name, 1L, Long::sum);
	}

	/**
	 * Callers that are alike.
	 */
	public static final class Group {

		private final Histogram answers = new Histogram(MOST_MICROS, 3);

		private long asked;

		private long dispatched;

		private long inTime;

		private long refused;

		private long failed;

		private double askedCost;

		private double goodCost;

		private Group() {
		}

		void ask(int cost) {
			this.asked++;
			this.askedCost += cost;
		}

		void firstDispatch() {
			this.dispatched++;
		}

		void answer(int cost, long micros, boolean good) {
			this.answers.recordValue(Math.min(MOST_MICROS, micros));
			if (good) {
				this.inTime++;
				this.goodCost += cost;
			}
		}

		void refuse() {
			this.refused++;
		}

		void fail() {
			this.failed++;
		}

		/**
		 * Returns how many asked.
		 */
		public long asked() {
			return this.asked;
		}

		/**
		 * Returns how much work was asked for, in units of cost.
		 */
		public double askedCost() {
			return this.askedCost;
		}

		/**
		 * Returns the share that was answered whole before the deadline.
		 */
		public double shareInTime() {
			return (this.asked > 0) ? (double) this.inTime / this.asked : 1;
		}

		/**
		 * Returns how many were refused as not run.
		 */
		public long refused() {
			return this.refused;
		}

		/**
		 * Returns how many ended as unknown.
		 */
		public long failed() {
			return this.failed;
		}

		/**
		 * Returns a percentile of the time to a whole answer, in milliseconds.
		 */
		public double millis(double percentile) {
			return this.answers.getValueAtPercentile(percentile) / 1000.0;
		}

	}

}
