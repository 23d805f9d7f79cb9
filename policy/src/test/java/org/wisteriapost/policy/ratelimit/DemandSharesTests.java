package org.wisteriapost.policy.ratelimit;

import java.time.Duration;
import java.util.Map;
import java.util.stream.IntStream;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;

class DemandSharesTests {

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

	private final DemandShares shares = new DemandShares();

	private void arrivals(int count) {
		IntStream.range(0, count).forEach((i) -> this.shares.recordArrival("api", 0));
	}

	// Guards against a limit that entries without traffic withhold from the one that has
	// it, and against shares that add up to more than the limit while reports are
	// missing.
	@ParameterizedTest
	@CsvSource({ "4, 20, 0, 0, 3, 1.0", "4, 20, 10, 0, 3, 0.5", "4, 20, 10, 0, 1, 0.25", "4, 20, 0, 0, 0, 0.25",
			"4, 0, 0, 0, 0, 0.25", "4, 0, 10, 0, 3, 0.0" })
	void shareFollowsReportedDemand(int entries, int arrivals, double first, double others, int reports,
			double expected) {
		this.shares.updateGroup(EntryGroup.unscoped(entries));
		arrivals(arrivals);
		IntStream.range(0, reports)
			.forEach((i) -> this.shares.update("peer-" + i, "api", (i == 0) ? first : others, 0));
		assertThat(this.shares.share("api", "hall-a", 0), Matchers.closeTo(expected, 1e-9));
	}

	// Guards against entries of other failure domains that are not heard of, and against
	// a
	// limit that is exceeded, or wasted, where failure domains have few entries or none.
	@ParameterizedTest
	@CsvSource({ "16, 16, 16", "14, 2, 2", "2, 14, 2", "1, 30, 18", "0, 18, 6", "20, 0, 0" })
	void sharesOfAllFailureDomainsAddUpToOne(int home, int second, int third) {
		Map<String, Integer> sizes = Map.of("hall-a", home, "hall-b", second, "hall-c", third);
		double sum = sizes.entrySet().stream().mapToDouble((domain) -> {
			this.shares.updateGroup(new EntryGroup(domain.getKey(), sizes, true));
			return (domain.getValue() > 0) ? domain.getValue() * this.shares.share("api", "hall-a", 0) : 0;
		}).sum();
		assertThat(sum, Matchers.closeTo(1, 1e-9));
	}

	@Test
	void silentEntryCountsWithTheMeanDemand() {
		this.shares.updateGroup(EntryGroup.unscoped(2));
		arrivals(20);
		this.shares.update("peer", "api", 30, 0);
		assertThat(this.shares.share("api", "hall-a", 0), Matchers.closeTo(0.25, 1e-9));
		assertThat(this.shares.share("api", "hall-a", 3 * SECOND), Matchers.closeTo(0.5, 1e-9));
	}

	// Guards against permits that are kept and used at once.
	@ParameterizedTest
	@CsvSource({ "0.02, 1", "1, 2", "10, 11" })
	void unusedPermitsAreLost(double perSecond, int most) {
		RatePermits permits = new RatePermits(perSecond, 0, 0);
		long now = 1000 * SECOND;
		int taken = 0;
		while (permits.available(now)) {
			permits.take(now);
			taken++;
		}
		assertThat(taken, Matchers.lessThanOrEqualTo(most));
	}

	@ParameterizedTest
	@CsvSource({ "0.5", "4", "40" })
	void permitsThatAreUsedAtOnceKeepTheRate(double perSecond) {
		RatePermits permits = new RatePermits(perSecond, 0.5, 0);
		int taken = 0;
		for (long now = 0; now < 100 * SECOND; now += SECOND / 100) {
			if (permits.available(now)) {
				permits.take(now);
				taken++;
			}
		}
		assertThat((double) taken, Matchers.closeTo(100 * perSecond, 1));
	}

}
