package org.wisteriapost.policy.region;

import java.util.List;
import java.util.Optional;

import org.hamcrest.Matchers;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;

/** Guards against a restriction that is dropped or widened where two apply. */
class AllowedRegionsTests {

	private static AllowedRegions declared(String names) {
		return AllowedRegions.declared((names != null) ? List.of(names.split(" ")) : List.of());
	}

	@ParameterizedTest
	@CsvSource({ ",,lima,true", ",,,true", "lima,,lima,true", "lima,,oslo,false", "lima,,,false", ",lima,oslo,false",
			"lima oslo,oslo dakar,oslo,true", "lima oslo,oslo dakar,lima,false", "lima oslo,oslo dakar,dakar,false",
			"lima,oslo,lima,false", "lima,oslo,oslo,false", "lima,oslo,,false" })
	void bothRestrictionsApply(String one, String other, String region, boolean allowed) {
		assertThat(declared(one).and(declared(other)).allows(Optional.ofNullable(region)), Matchers.equalTo(allowed));
		assertThat(declared(other).and(declared(one)).allows(Optional.ofNullable(region)), Matchers.equalTo(allowed));
	}

}
