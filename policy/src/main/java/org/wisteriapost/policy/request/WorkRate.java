package org.wisteriapost.policy.request;

/**
 * How long one unit of cost takes at a service, from the answers that came.
 *
 * The median is kept besides the mean: a slow runner among ten moves the mean, and a
 * runner must be compared with its peers and not with itself. The high value is what 95
 * of 100 answers stay under: a promise to a caller must hold for more than half of them.
 * All are moved by a small step for each sample, so that no window has to be kept.
 */
final class WorkRate {

	private static final double MEAN_STEP = 0.05;

	private static final double QUANTILE_STEP = 0.03;

	private static final double HIGH = 0.95;

	private double mean;

	private double median;

	private double high;

	void sample(double secondsPerCost) {
		if (this.mean == 0) {
			this.mean = secondsPerCost;
			this.median = secondsPerCost;
			this.high = secondsPerCost;
			return;
		}
		this.mean += MEAN_STEP * (secondsPerCost - this.mean);
		this.median = moved(this.median, secondsPerCost, 0.5);
		this.high = moved(this.high, secondsPerCost, HIGH);
	}

	private static double moved(double quantile, double sample, double share) {
		double step = (sample > quantile) ? share : share - 1;
		return quantile * (1 + QUANTILE_STEP * step);
	}

	/**
	 * Returns the mean seconds for a unit of cost, 0 before the first answer.
	 */
	double mean() {
		return this.mean;
	}

	/**
	 * Returns the median seconds for a unit of cost, 0 before the first answer.
	 */
	double median() {
		return this.median;
	}

	/**
	 * Returns the seconds for a unit of cost that 95 of 100 answers stay under, 0 before
	 * the first answer.
	 */
	double high() {
		return this.high;
	}

}
