package org.wisteriapost.policy.request;

/**
 * Estimates the service time of one unit of cost from the answers of a service.
 *
 * The median is the reference for comparing a runner with its peers, because one slow
 * runner of ten shifts the mean. The 95th percentile is used for admission, because an
 * estimate given to callers must hold for more than half of them. All values are adjusted
 * by a small step per sample, so that no window of samples is stored.
 */
final class ServiceTimeEstimate {

	private static final double MEAN_STEP = 0.05;

	private static final double QUANTILE_STEP = 0.03;

	private static final double HIGH_QUANTILE = 0.95;

	private double mean;

	private double median;

	private double p95;

	void addSample(double secondsPerCost) {
		if (this.mean == 0) {
			this.mean = secondsPerCost;
			this.median = secondsPerCost;
			this.p95 = secondsPerCost;
			return;
		}
		this.mean += MEAN_STEP * (secondsPerCost - this.mean);
		this.median = nextQuantile(this.median, secondsPerCost, 0.5);
		this.p95 = nextQuantile(this.p95, secondsPerCost, HIGH_QUANTILE);
	}

	private static double nextQuantile(double quantile, double sample, double probability) {
		double weight = (sample > quantile) ? probability : probability - 1;
		return quantile * (1 + QUANTILE_STEP * weight);
	}

	/**
	 * Returns the mean seconds per unit of cost, 0 before the first sample.
	 */
	double mean() {
		return this.mean;
	}

	/**
	 * Returns the median seconds per unit of cost, 0 before the first sample.
	 */
	double median() {
		return this.median;
	}

	/**
	 * Returns the 95th percentile of seconds per unit of cost, 0 before the first sample.
	 */
	double p95() {
		return this.p95;
	}

}
