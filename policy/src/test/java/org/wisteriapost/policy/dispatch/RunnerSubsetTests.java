package org.wisteriapost.policy.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;

class RunnerSubsetTests {

	private static List<RunnerState> engines(int failureDomains, int each) {
		java.util.ArrayList<RunnerState> states = new java.util.ArrayList<>();
		for (int domain = 0; domain < failureDomains; domain++) {
			for (int i = 0; i < each; i++) {
				states.add(RunnerState
					.registeredAs(DispatcherHarness.engineIn("hall-" + domain, "engine-" + domain + "-" + i)));
			}
		}
		return states;
	}

	@ParameterizedTest
	@CsvSource({ "3,4,12", "1,24,24", "5,22,38", "10,200,236" })
	void selectsOwnFailureDomainAndFewOfEachOther(int failureDomains, int each, int expected) {
		List<RunnerState> chosen = new RunnerSubset("hall-0", 7).select(engines(failureDomains, each));
		assertThat(chosen, Matchers.hasSize(expected));
		long local = chosen.stream().filter((state) -> state.info.failureDomain().equals("hall-0")).count();
		assertThat(local, Matchers.equalTo((long) each));
	}

	// A burst in one failure domain must be able to use the free capacity of all others:
	// ten entries together cover nearly every remote engine, and none is selected much
	// more often than the others.
	@Test
	void entriesOfFailureDomainTogetherCoverMostEngines() {
		List<RunnerState> engines = engines(5, 22);
		Map<String, Integer> selected = new HashMap<>();
		for (int salt = 1; salt <= 10; salt++) {
			new RunnerSubset("hall-0", salt * 7919L).select(engines)
				.stream()
				.filter((state) -> !state.info.failureDomain().equals("hall-0"))
				.forEach((state) -> selected.merge(state.info.id(), 1, Integer::sum));
		}
		assertThat(selected.size(), Matchers.greaterThan(60));
		assertThat(selected.values().stream().mapToInt(Integer::intValue).max().orElseThrow(), Matchers.lessThan(8));
	}

	@Test
	void removedEngineBarelyChangesSelection() {
		List<RunnerState> engines = engines(5, 22);
		RunnerSubset subset = new RunnerSubset("hall-0", 7);
		Set<RunnerState> before = new HashSet<>(subset.select(engines));
		Set<RunnerState> after = new HashSet<>(subset.select(engines.subList(0, engines.size() - 1)));
		before.removeAll(after);
		assertThat(before.size(), Matchers.lessThanOrEqualTo(1));
	}

	// Failure: requests are refused because all selected engines have crashed, although
	// another engine is available.
	@Test
	void otherEnginesAreUsedWhenAllSelectedAreUnavailable() {
		DispatcherHarness harness = new DispatcherHarness();
		for (int domain = 0; domain < 3; domain++) {
			for (int i = 0; i < 12; i++) {
				harness.register(
						DispatcherHarness.engineIn("hall-" + (char) ('a' + domain), "engine-" + domain + "-" + i));
			}
		}
		harness.arrive(DispatcherHarness.STREAM);
		String first = harness.effectNames().getFirst();
		assertThat(first, Matchers.startsWith("Send:engine-0"));
		Set<String> selected = new HashSet<>();
		for (int i = 0; i < 400; i++) {
			harness.arrive(DispatcherHarness.STREAM);
		}
		harness.effectNames()
			.stream()
			.filter((one) -> one.startsWith("Send"))
			.forEach((one) -> selected.add(one.substring(5)));
		selected.forEach((id) -> harness.dispatcher.departures().registrationUnusable(id));
		harness.arrive(DispatcherHarness.STREAM);
		assertThat(harness.effectNames().getFirst(), Matchers.startsWith("Send:"));
	}

}
