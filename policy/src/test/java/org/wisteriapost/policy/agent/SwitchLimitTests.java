package org.wisteriapost.policy.agent;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class SwitchLimitTests {

	@ParameterizedTest(name = "{0} VMs, {1} unresponsive, minReady {2}: {3}")
	@CsvSource({ "12, 0, 0, 3", "12, 0, 10, 2", "12, 1, 10, 1", "12, 2, 10, 0", "12, 5, 10, 0", "3, 0, 2, 1",
			"3, 0, 3, 1", "1, 0, 1, 1", "0, 0, 0, 1", "810, 0, 1, 202" })
	void limitIsTheSmallerOfShareAndRunnersAboveMinReady(int vms, int unresponsive, int minReady, int limit) {
		assertThat(SwitchLimit.of(vms, unresponsive, minReady, 0.25), is(limit));
	}

}
