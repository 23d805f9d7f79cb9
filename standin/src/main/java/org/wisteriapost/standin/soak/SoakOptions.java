package org.wisteriapost.standin.soak;

/**
 * What a run has in addition to the faults of every run.
 *
 * @param poison whether callers send requests that crash the runners that run them
 * @param disturbedAnswers whether runners pause, omit framing and end streams within an
 * event
 * @param strayAnswers whether runners send ends and rejections twice, and events without
 * an end
 */
record SoakOptions(boolean poison, boolean disturbedAnswers, boolean strayAnswers) {

	static final SoakOptions NONE = new SoakOptions(false, false, false);

}
