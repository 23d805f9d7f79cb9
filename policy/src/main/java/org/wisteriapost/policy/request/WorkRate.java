package org.wisteriapost.policy.request;

/**
 * How long one unit of cost takes at a service, from the answers that came.
 *
 * The median is kept besides the mean: a slow runner among ten moves the mean, and a
 * runner must be compared with its peers and not with itself. Both are moved by a small
 * step for each sample, so that no window of samples has to be kept.
 */
final class WorkRate {

	private static final double MEAN_STEP = 0.05;

	private static final double MEDIAN_FACTOR = 1.03;

	private double mean;

	private double median;

	void sample(double secondsPerCost) {
		if (this.mean == 0) {
			this.mean = secondsPerCost;
			this.median = secondsPerCost;
			return;
		}
		this.mean += MEAN_STEP * (secondsPerCost - this.mean);
		this.median *= (secondsPerCost > this.median) ? MEDIAN_FACTOR : 1 / MEDIAN_FACTOR;
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

}
