package org.wisteriapost.policy.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.policy.fleet.LinkedEntry.Distance;
import org.wisteriapost.policy.fleet.UpstreamChoice.Step;

import static org.hamcrest.MatcherAssert.assertThat;

class UpstreamChoiceTests {

	private static final long MILLI = 1_000_000;

	private static final LinkedEntry A = new LinkedEntry("a", Distance.ELSEWHERE);

	private static final LinkedEntry B = new LinkedEntry("b", Distance.OWN_REGION);

	private static final LinkedEntry C = new LinkedEntry("c", Distance.OWN_PLACE);

	private static final List<LinkedEntry> LINKED = List.of(B, A, C);

	private final UpstreamChoice choice = UpstreamChoice.of("self");

	private List<String> askedWithin(List<LinkedEntry> linked, long fromMillis, long toMillis, boolean refused) {
		List<String> asked = new ArrayList<>();
		for (long millis = fromMillis; millis < toMillis; millis += 10) {
			for (Step step : this.choice.ask(linked, millis * MILLI)) {
				if (step instanceof Step.Ask ask) {
					asked.add(ask.entry() + "@" + millis);
					if (refused) {
						this.choice.heard(false, millis * MILLI);
					}
				}
			}
		}
		return asked;
	}

	@Test
	void nobodyIsAskedWhileTheStoreAnswers() {
		this.choice.store(true);
		assertThat(this.choice.ask(LINKED, 0), Matchers.empty());
	}

	// The store turns this entry away. Of the others one is asked, and while it passes on
	// what it reads no second one is.
	@Test
	void oneIsAskedAndKept() {
		this.choice.store(false);
		assertThat(this.choice.ask(LINKED, 0), Matchers.contains(new Step.Ask("c")));
		this.choice.heard(true, 0);
		for (long millis = 100; millis <= 60_000; millis += 100) {
			assertThat(this.choice.ask(LINKED, millis * MILLI), Matchers.empty());
			if (millis % 500 == 0) {
				this.choice.sign(millis * MILLI);
			}
		}
	}

	// The one that passed on has started anew, or its word that it is not current was
	// lost: it does not know of this entry any more, and says nothing over an open link.
	// Callers would be sent by what it said last for as long as the store turns this
	// entry away.
	@Test
	void whoFallsSilentIsNotWaitedForWithoutEnd() {
		this.choice.store(false);
		this.choice.ask(LINKED, 0);
		this.choice.heard(true, 100 * MILLI);
		this.choice.sign(600 * MILLI);
		assertThat(this.choice.ask(LINKED, 4500 * MILLI), Matchers.empty());
		assertThat(this.choice.ask(LINKED, 4700 * MILLI), Matchers.contains(new Step.Dismiss("c"), new Step.Ask("b")));
	}

	// A sign that it lives is no answer to the question: the objects were lost.
	@Test
	void aSignIsNoAnswer() {
		this.choice.store(false);
		this.choice.ask(LINKED, 0);
		this.choice.sign(500 * MILLI);
		assertThat(this.choice.ask(LINKED, 700 * MILLI), Matchers.contains(new Step.Dismiss("c"), new Step.Ask("b")));
	}

	// The first one asked is cut off as well and says nothing, the second says that the
	// store does not answer it, the third one's link ends after a while. Each is told
	// that nothing more is wanted of it, or it would send every change from then on.
	@Test
	void theNextOneIsAskedWhenOneDoesNotHelp() {
		this.choice.store(false);
		this.choice.ask(LINKED, 0);
		assertThat(this.choice.ask(LINKED, 500 * MILLI), Matchers.empty());
		assertThat(this.choice.ask(LINKED, 700 * MILLI), Matchers.contains(new Step.Dismiss("c"), new Step.Ask("b")));
		this.choice.heard(false, 705 * MILLI);
		assertThat(this.choice.ask(LINKED, 710 * MILLI), Matchers.contains(new Step.Dismiss("b"), new Step.Ask("a")));
		this.choice.heard(true, 4900 * MILLI);
		assertThat(this.choice.ask(List.of(B, C), 5000 * MILLI),
				Matchers.contains(new Step.Dismiss("a"), new Step.Ask("c")));
	}

	// A late message of the one that was asked comes when the store has answered again.
	// The store's own answer is newer.
	@Test
	void nothingPassedOnIsBelievedOnceTheStoreAnswers() {
		this.choice.store(false);
		this.choice.ask(LINKED, 0);
		assertThat(this.choice.believes("c"), Matchers.equalTo(true));
		assertThat(this.choice.believes("b"), Matchers.equalTo(false));
		assertThat(this.choice.store(true), Matchers.equalTo(Optional.of("c")));
		assertThat(this.choice.believes("c"), Matchers.equalTo(false));
	}

	// A place loses the store. Whatever the names, the entries near by are asked first,
	// over links that nothing fills; of several equally near not all entries ask the same
	// one.
	@ParameterizedTest
	@CsvSource({ "OWN_PLACE,OWN_REGION", "OWN_REGION,ELSEWHERE", "OWN_PLACE,ELSEWHERE" })
	void theNearestIsAskedFirst(Distance near, Distance far) {
		List<LinkedEntry> linked = IntStream.range(0, 20)
			.mapToObj((i) -> new LinkedEntry("entry-" + i, (i < 10) ? far : near))
			.toList();
		Set<String> first = new HashSet<>();
		for (int i = 0; i < 20; i++) {
			UpstreamChoice one = UpstreamChoice.of("self-" + i);
			one.store(false);
			first.add(((Step.Ask) one.ask(linked, 0).getLast()).entry());
		}
		Stream<String> farther = linked.stream().filter((entry) -> entry.distance() == far).map(LinkedEntry::name);
		assertThat(first.stream().filter(farther.toList()::contains).toList(), Matchers.empty());
		assertThat(first.size(), Matchers.greaterThan(3));
	}

	// The links are so full that no answer comes in time. An answer that is cut off and
	// asked of the next fills them further; with more time each, one gets through.
	@Test
	void moreTimeIsGivenWhileNobodyAnswers() {
		this.choice.store(false);
		assertThat(askedWithin(LINKED, 0, 15_000, false),
				Matchers.contains("c@0", "b@600", "a@1800", "c@4200", "b@8200", "a@12200"));
		this.choice.heard(true, 15_000 * MILLI);
		assertThat(askedWithin(List.of(B, C), 15_000, 16_000, false), Matchers.contains("c@15000", "b@15600"));
	}

	// Nine of ten entries rest and say so within milliseconds. All are asked at once one
	// after the other, since one of them may read, and then not again at once.
	@Test
	void whoIsNotCurrentIsPassedOverAtOnceAndAskedAgainLater() {
		this.choice.store(false);
		assertThat(askedWithin(LINKED, 0, 2100, true),
				Matchers.contains("c@0", "b@10", "a@20", "c@1000", "b@1010", "a@1020", "c@2000", "b@2010", "a@2020"));
	}

	// The only other entry is slow. It is asked again, and not told meanwhile that
	// nothing is wanted: its answer may be on its way.
	@Test
	void theOnlyOneIsAskedAgain() {
		this.choice.store(false);
		this.choice.ask(List.of(C), 0);
		assertThat(this.choice.ask(List.of(C), 700 * MILLI), Matchers.empty());
		assertThat(this.choice.believes("c"), Matchers.equalTo(true));
		assertThat(this.choice.ask(List.of(C), 1000 * MILLI), Matchers.contains(new Step.Ask("c")));
	}

}
