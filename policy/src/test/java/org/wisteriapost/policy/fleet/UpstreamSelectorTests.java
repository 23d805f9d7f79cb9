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
import org.wisteriapost.policy.fleet.UpstreamSelector.Step;

import static org.hamcrest.MatcherAssert.assertThat;

class UpstreamSelectorTests {

	private static final long MILLI = 1_000_000;

	private static final LinkedEntry A = new LinkedEntry("a", Distance.REMOTE);

	private static final LinkedEntry B = new LinkedEntry("b", Distance.SAME_REGION);

	private static final LinkedEntry C = new LinkedEntry("c", Distance.SAME_FAILURE_DOMAIN);

	private static final List<LinkedEntry> LINKED = List.of(B, A, C);

	private final UpstreamSelector selector = UpstreamSelector.of("self");

	private List<String> askedWithin(List<LinkedEntry> linked, long fromMillis, long toMillis, boolean notCurrent) {
		List<String> asked = new ArrayList<>();
		for (long millis = fromMillis; millis < toMillis; millis += 10) {
			for (Step step : this.selector.tick(linked, millis * MILLI)) {
				if (step instanceof Step.Ask ask) {
					asked.add(ask.entry() + "@" + millis);
					if (notCurrent) {
						this.selector.answerReceived(false, millis * MILLI);
					}
				}
			}
		}
		return asked;
	}

	@Test
	void nobodyIsAskedWhileTheStoreAnswers() {
		this.selector.storeReachabilityChanged(true);
		assertThat(this.selector.tick(LINKED, 0), Matchers.empty());
	}

	// While the upstream sends updates no other entry is asked.
	@Test
	void theUpstreamIsKept() {
		this.selector.storeReachabilityChanged(false);
		assertThat(this.selector.tick(LINKED, 0), Matchers.contains(new Step.Ask("c")));
		this.selector.answerReceived(true, 0);
		for (long millis = 100; millis <= 60_000; millis += 100) {
			assertThat(this.selector.tick(LINKED, millis * MILLI), Matchers.empty());
			if (millis % 500 == 0) {
				this.selector.heartbeatReceived(millis * MILLI);
			}
		}
	}

	// The upstream has restarted, or its message that it is not current was lost: it no
	// longer knows this entry and sends nothing over an open link. Without a timeout
	// callers
	// would be routed by its last state for as long as the store refuses this entry.
	@Test
	void aSilentUpstreamTimesOut() {
		this.selector.storeReachabilityChanged(false);
		this.selector.tick(LINKED, 0);
		this.selector.answerReceived(true, 100 * MILLI);
		this.selector.heartbeatReceived(600 * MILLI);
		assertThat(this.selector.tick(LINKED, 4500 * MILLI), Matchers.empty());
		assertThat(this.selector.tick(LINKED, 4700 * MILLI),
				Matchers.contains(new Step.Dismiss("c"), new Step.Ask("b")));
	}

	// A heartbeat does not count as the answer to a request: the objects were lost.
	@Test
	void aHeartbeatIsNoAnswer() {
		this.selector.storeReachabilityChanged(false);
		this.selector.tick(LINKED, 0);
		this.selector.heartbeatReceived(500 * MILLI);
		assertThat(this.selector.tick(LINKED, 700 * MILLI),
				Matchers.contains(new Step.Dismiss("c"), new Step.Ask("b")));
	}

	// The first entry does not answer, the store does not answer the second, and the link
	// to
	// the third closes later. Each request is cancelled; otherwise the entry would go on
	// sending every change.
	@Test
	void theNextEntryIsAskedWhenOneFails() {
		this.selector.storeReachabilityChanged(false);
		this.selector.tick(LINKED, 0);
		assertThat(this.selector.tick(LINKED, 500 * MILLI), Matchers.empty());
		assertThat(this.selector.tick(LINKED, 700 * MILLI),
				Matchers.contains(new Step.Dismiss("c"), new Step.Ask("b")));
		this.selector.answerReceived(false, 705 * MILLI);
		assertThat(this.selector.tick(LINKED, 710 * MILLI),
				Matchers.contains(new Step.Dismiss("b"), new Step.Ask("a")));
		this.selector.answerReceived(true, 4900 * MILLI);
		assertThat(this.selector.tick(List.of(B, C), 5000 * MILLI),
				Matchers.contains(new Step.Dismiss("a"), new Step.Ask("c")));
	}

	// A late message of the upstream must not replace the store's own, newer answer.
	@Test
	void theUpstreamIsIgnoredOnceTheStoreAnswers() {
		this.selector.storeReachabilityChanged(false);
		this.selector.tick(LINKED, 0);
		assertThat(this.selector.acceptsUpdatesFrom("c"), Matchers.equalTo(true));
		assertThat(this.selector.acceptsUpdatesFrom("b"), Matchers.equalTo(false));
		assertThat(this.selector.storeReachabilityChanged(true), Matchers.equalTo(Optional.of("c")));
		assertThat(this.selector.acceptsUpdatesFrom("c"), Matchers.equalTo(false));
	}

	// The nearest entries are asked first, whatever their names, since their links have
	// free
	// capacity; and not all entries ask the same one of those equally near.
	@ParameterizedTest
	@CsvSource({ "SAME_FAILURE_DOMAIN,SAME_REGION", "SAME_REGION,REMOTE", "SAME_FAILURE_DOMAIN,REMOTE" })
	void theNearestIsAskedFirst(Distance near, Distance far) {
		List<LinkedEntry> linked = IntStream.range(0, 20)
			.mapToObj((i) -> new LinkedEntry("entry-" + i, (i < 10) ? far : near))
			.toList();
		Set<String> first = new HashSet<>();
		for (int i = 0; i < 20; i++) {
			UpstreamSelector other = UpstreamSelector.of("self-" + i);
			other.storeReachabilityChanged(false);
			first.add(((Step.Ask) other.tick(linked, 0).getLast()).entry());
		}
		Stream<String> farther = linked.stream().filter((entry) -> entry.distance() == far).map(LinkedEntry::name);
		assertThat(first.stream().filter(farther.toList()::contains).toList(), Matchers.empty());
		assertThat(first.size(), Matchers.greaterThan(3));
	}

	// Links are so full that no answer completes in time. Aborting it and asking the next
	// entry fills them further, so each entry gets more time than the one before.
	@Test
	void theAnswerTimeoutGrowsWhileNobodyAnswers() {
		this.selector.storeReachabilityChanged(false);
		assertThat(askedWithin(LINKED, 0, 15_000, false),
				Matchers.contains("c@0", "b@600", "a@1800", "c@4200", "b@8200", "a@12200"));
		this.selector.answerReceived(true, 15_000 * MILLI);
		assertThat(askedWithin(List.of(B, C), 15_000, 16_000, false), Matchers.contains("c@15000", "b@15600"));
	}

	// Followers answer within milliseconds that they do not read. All entries are asked
	// without a pause, since one of them may read, but a new round waits.
	@Test
	void entriesThatAreNotCurrentAreSkippedAtOnceAndAskedAgainLater() {
		this.selector.storeReachabilityChanged(false);
		assertThat(askedWithin(LINKED, 0, 2100, true),
				Matchers.contains("c@0", "b@10", "a@20", "c@1000", "b@1010", "a@1020", "c@2000", "b@2010", "a@2020"));
	}

	// The only other entry is slow. It is asked again, and its request is not cancelled
	// meanwhile: its answer may be in flight.
	@Test
	void theOnlyEntryIsAskedAgain() {
		this.selector.storeReachabilityChanged(false);
		this.selector.tick(List.of(C), 0);
		assertThat(this.selector.tick(List.of(C), 700 * MILLI), Matchers.empty());
		assertThat(this.selector.acceptsUpdatesFrom("c"), Matchers.equalTo(true));
		assertThat(this.selector.tick(List.of(C), 1000 * MILLI), Matchers.contains(new Step.Ask("c")));
	}

}
