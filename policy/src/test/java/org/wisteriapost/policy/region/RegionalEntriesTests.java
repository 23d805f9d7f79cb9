package org.wisteriapost.policy.region;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.policy.fleet.AdvertisedEntries;
import org.wisteriapost.policy.fleet.EntryInfo;

import static org.hamcrest.MatcherAssert.assertThat;

/** Guards against callers that are directed to entries outside the allowed regions. */
class RegionalEntriesTests {

	private static final List<String> REGIONS = List.of("dakar", "lima", "oslo");

	private static final Map<String, String> DOMAINS = Map.of("dakar", "hall-a", "lima", "hall-b", "oslo", "hall-c");

	private static EntryInfo entry(String name, String region) {
		return new EntryInfo(name, 1, "127.0.0.1:1", "127.0.0.1:2", DOMAINS.get(region), region);
	}

	private static AllowedRegions regions(String names) {
		return AllowedRegions.declared((names != null) ? List.of(names.split(" ")) : List.of());
	}

	private static DirectoryQuery query(String region, String failureDomain) {
		return new DirectoryQuery(Optional.of("desk.example"), Optional.ofNullable(region),
				Optional.ofNullable(failureDomain));
	}

	@ParameterizedTest
	@CsvSource({ "dakar lima oslo,,dakar,,dakar lima oslo", "dakar lima oslo,lima,lima,,lima",
			"dakar lima oslo,lima,dakar,,dakar lima", "dakar lima oslo,lima oslo,,,lima oslo",
			"dakar lima oslo,lima,,hall-a,dakar lima", "dakar lima oslo,lima,nowhere,hall-x,lima",
			"dakar oslo,lima,dakar,,dakar", "dakar oslo,lima,,,dakar oslo", "dakar oslo,lima,lima,,dakar oslo" })
	void entriesAreInAllowedRegionsOrTheCallersOwn(String ready, String allowed, String region, String domain,
			String expected) {
		List<EntryInfo> all = Stream.of(ready.split(" ")).map((name) -> entry(name, name)).toList();
		List<String> named = RegionalEntries.select(all, regions(allowed), query(region, domain))
			.stream()
			.map(EntryInfo::name)
			.toList();
		assertThat(String.join(" ", named), Matchers.equalTo(expected));
	}

	// Each entry answers from its own view, in which a third of the entries is not ready,
	// and in one of fifty a whole region; one of ten callers doesn't state where it is.
	@Test
	void fewAnswersOfManyEntriesNameOneElsewhere() {
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7);
		int answers = 0;
		int elsewhere = 0;
		for (int round = 0; round < 50; round++) {
			for (int answering = 0; answering < 40; answering++) {
				List<EntryInfo> ready = readyEntries(random);
				String caller = (random.nextInt(10) > 0) ? REGIONS.get(random.nextInt(3)) : null;
				String domain = (caller != null) ? DOMAINS.get(caller) : null;
				List<String> allowed = REGIONS.subList(0, 1 + random.nextInt(2));
				List<EntryInfo> regional = RegionalEntries.select(ready, AllowedRegions.declared(allowed),
						query(caller, domain));
				answers++;
				elsewhere += AdvertisedEntries.select(regional, Optional.ofNullable(domain), random.nextBoolean())
					.stream()
					.anyMatch((info) -> !allowed.contains(info.region()) && !info.region().equals(caller)) ? 1 : 0;
			}
		}
		assertThat(elsewhere, Matchers.lessThanOrEqualTo(answers / 20));
	}

	private static List<EntryInfo> readyEntries(UniformRandomProvider random) {
		String lost = (random.nextInt(50) == 0) ? REGIONS.get(random.nextInt(3)) : "none";
		return new ArrayList<>(IntStream.range(0, 40)
			.mapToObj((i) -> entry("edge-" + i, REGIONS.get(i % 3)))
			.filter((info) -> random.nextInt(3) > 0 && !info.region().equals(lost))
			.toList());
	}

}
