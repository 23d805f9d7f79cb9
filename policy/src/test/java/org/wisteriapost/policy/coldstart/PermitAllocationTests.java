package org.wisteriapost.policy.coldstart;

import java.util.HashMap;
import java.util.Map;

import org.hamcrest.Matchers;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;

class PermitAllocationTests {

	private static Map<String, String> entries(int count) {
		Map<String, String> entries = new HashMap<>();
		for (int i = 0; i < count; i++) {
			entries.put("entry-" + i, "hall-" + i % 3);
		}
		return entries;
	}

	private static int permits(Map<String, String> entries, String name, int total) {
		return PermitAllocation.permits(name, entries, "runner", "hall-0", total);
	}

	// Guards against parts that add up to more than the total, or waste some of it.
	@ParameterizedTest
	@CsvSource({ "1,39", "2,39", "3,1", "13,39", "40,39", "75,39", "75,9", "75,1", "13,0" })
	void partsAddUpToTheTotal(int count, int total) {
		Map<String, String> entries = entries(count);
		int sum = entries.keySet().stream().mapToInt((name) -> permits(entries, name, total)).sum();
		int home = entries.keySet()
			.stream()
			.filter((name) -> entries.get(name).equals("hall-0"))
			.mapToInt((name) -> permits(entries, name, total))
			.sum();
		assertThat(sum, Matchers.equalTo(total));
		assertThat("part of the runner's failure domain", (double) home, Matchers.greaterThanOrEqualTo(0.75 * total));
	}

	// Guards against an entry that takes more because it knows of more entries: the proof
	// of the bound rests on it.
	@ParameterizedTest
	@CsvSource({ "1,39", "5,39", "13,39", "40,39", "75,9" })
	void moreEntriesNeverMeanMorePermits(int count, int total) {
		Map<String, String> fewer = entries(count);
		Map<String, String> more = entries(count + 1);
		fewer.keySet()
			.forEach((name) -> assertThat(name, permits(more, name, total),
					Matchers.lessThanOrEqualTo(permits(fewer, name, total))));
	}

}
