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

/**
 * Hundreds of engines in several places, of which an entry looks at a part.
 */
class RunnerSubsetTests {

	private static List<RunnerState> engines(int places, int each) {
		java.util.ArrayList<RunnerState> states = new java.util.ArrayList<>();
		for (int place = 0; place < places; place++) {
			for (int i = 0; i < each; i++) {
				states.add(new RunnerState(Desk.engineIn("hall-" + place, "engine-" + place + "-" + i)));
			}
		}
		return states;
	}

	@ParameterizedTest
	@CsvSource({ "3,4,12", "1,24,24", "5,22,38", "10,200,236" })
	void anEntryLooksAtItsPlaceAndAFewOfEachOther(int places, int each, int expected) {
		List<RunnerState> chosen = new RunnerSubset("hall-0", 7).of(engines(places, each));
		assertThat(chosen, Matchers.hasSize(expected));
		long near = chosen.stream().filter((state) -> state.info.place().equals("hall-0")).count();
		assertThat(near, Matchers.equalTo((long) each));
	}

	// A burst in one place has to find the room of all the others: the ten entries there
	// together look at nearly every engine, and at none much more than at another.
	@Test
	void theEntriesOfAPlaceTogetherLookAtMostEngines() {
		List<RunnerState> engines = engines(5, 22);
		Map<String, Integer> looked = new HashMap<>();
		for (int salt = 1; salt <= 10; salt++) {
			new RunnerSubset("hall-0", salt * 7919L).of(engines)
				.stream()
				.filter((state) -> !state.info.place().equals("hall-0"))
				.forEach((state) -> looked.merge(state.info.id(), 1, Integer::sum));
		}
		assertThat(looked.size(), Matchers.greaterThan(60));
		assertThat(looked.values().stream().mapToInt(Integer::intValue).max().orElseThrow(), Matchers.lessThan(8));
	}

	@Test
	void anEngineThatGoesChangesLittle() {
		List<RunnerState> engines = engines(5, 22);
		RunnerSubset subset = new RunnerSubset("hall-0", 7);
		Set<RunnerState> before = new HashSet<>(subset.of(engines));
		Set<RunnerState> after = new HashSet<>(subset.of(engines.subList(0, engines.size() - 1)));
		before.removeAll(after);
		assertThat(before.size(), Matchers.lessThanOrEqualTo(1));
	}

	// Every engine that the entry looks at has crashed; one that it does not look at as a
	// rule is well. The request goes there.
	@Test
	void whenAllThatAreLookedAtAreGoneTheOthersAreUsed() {
		Desk desk = new Desk();
		for (int place = 0; place < 3; place++) {
			for (int i = 0; i < 12; i++) {
				desk.with(Desk.engineIn("hall-" + (char) ('a' + place), "engine-" + place + "-" + i));
			}
		}
		desk.arrive(Desk.STREAM);
		String first = desk.done().getFirst();
		assertThat(first, Matchers.startsWith("Send:engine-0"));
		Set<String> looked = new HashSet<>();
		for (int i = 0; i < 400; i++) {
			desk.arrive(Desk.STREAM);
		}
		desk.done().stream().filter((one) -> one.startsWith("Send")).forEach((one) -> looked.add(one.substring(5)));
		looked.forEach((id) -> desk.dispatcher.runnerUnusable(id));
		desk.arrive(Desk.STREAM);
		assertThat(desk.done().getFirst(), Matchers.startsWith("Send:"));
	}

}
