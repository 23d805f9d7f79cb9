package org.wisteriapost.policy.evacuation;

import java.util.Map;
import java.util.OptionalLong;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * The evacuated failure domains as read from the store.
 */
class EvacuationsTests {

	private static final long SECOND = 1_000_000_000;

	private final Evacuations evacuations = new Evacuations();

	// Guards against an evacuation that is not reported, or with a wrong duration.
	@Test
	void startAndEndAreReportedOnce() {
		this.evacuations.begin("hall-a", 5, 100);
		this.evacuations.begin("hall-a", 6, 200);
		assertThat(this.evacuations.sinceNanos("hall-a"), Matchers.equalTo(OptionalLong.of(100)));
		this.evacuations.end("hall-a", 7, 450);
		assertThat(this.evacuations.drainChanges(), Matchers.contains(new EvacuationChange("hall-a", true, 5, 0),
				new EvacuationChange("hall-a", false, 7, 350)));
		assertThat(this.evacuations.drainChanges(), Matchers.empty());
	}

	// An object is removed and put again within a second, and the removal arrives late.
	// Guards against requests to a domain whose newer evacuation is in force.
	@ParameterizedTest
	@CsvSource({ "4, true", "5, false", "6, false" })
	void onlyRemovalOfKnownRevisionEndsEvacuation(long removalRevision, boolean activeAfterwards) {
		this.evacuations.begin("hall-a", 5, 100);
		this.evacuations.end("hall-a", removalRevision, 200);
		assertThat(this.evacuations.active("hall-a"), Matchers.equalTo(activeAfterwards));
	}

	// Guards against an evacuation that stays in force because its removal was missed,
	// also when the store was restored at a lower revision.
	@Test
	void listingEndsMissingEvacuationsAndKeepsTheStartOfOthers() {
		this.evacuations.replaceAll(Map.of("hall-a", 50L, "hall-b", 60L), 100);
		assertThat(this.evacuations.replaceAll(Map.of("hall-b", 8L, "hall-c", 9L), 200), Matchers.equalTo(true));
		assertThat(this.evacuations.failureDomains(), Matchers.contains("hall-b", "hall-c"));
		assertThat(this.evacuations.sinceNanos("hall-b"), Matchers.equalTo(OptionalLong.of(100)));
		assertThat(this.evacuations.replaceAll(Map.of("hall-b", 8L, "hall-c", 9L), 300), Matchers.equalTo(false));
		assertThat(this.evacuations.end("hall-b", 10, 400), Matchers.equalTo(true));
	}

	// The copy lacks an evacuation that began since. Guards against requests to the
	// domain
	// before operators write it again, and against one that never ends.
	@Test
	void restoredStoreEndsMissingEvacuationsOnlyAfterATime() {
		this.evacuations.replaceAll(Map.of("hall-a", 50L, "hall-b", 60L, "hall-c", 70L), 0);
		this.evacuations.storeRestored(SECOND);
		assertThat(this.evacuations.replaceAll(Map.of("hall-b", 8L), 2 * SECOND), Matchers.equalTo(false));
		this.evacuations.begin("hall-c", 9, 3 * SECOND);
		assertThat(this.evacuations.tick(10 * SECOND), Matchers.empty());
		assertThat(this.evacuations.tick(11 * SECOND), Matchers.contains("hall-a"));
		assertThat(this.evacuations.failureDomains(), Matchers.contains("hall-b", "hall-c"));
		assertThat(this.evacuations.end("hall-c", 10, 12 * SECOND), Matchers.equalTo(true));
	}

	// Guards against runners that count as warm after an evacuation: the time of its end
	// outlasts a later evacuation.
	@Test
	void lastEndIsKept() {
		assertThat(this.evacuations.lastEndNanos("hall-a"), Matchers.equalTo(OptionalLong.empty()));
		this.evacuations.begin("hall-a", 5, 100);
		this.evacuations.end("hall-a", 6, 200);
		this.evacuations.begin("hall-a", 7, 300);
		assertThat(this.evacuations.lastEndNanos("hall-a"), Matchers.equalTo(OptionalLong.of(200)));
		assertThat(this.evacuations.lastEndNanos("hall-b"), Matchers.equalTo(OptionalLong.empty()));
	}

}
