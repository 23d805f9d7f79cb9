package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.policy.routing.Organisation;
import org.wisteriapost.policy.routing.Route;
import org.wisteriapost.policy.routing.Route.WeightedService;
import org.wisteriapost.policy.routing.RouteKind;
import org.wisteriapost.protocol.site.CallerRequestFields;

import static org.hamcrest.MatcherAssert.assertThat;

class RequestFingerprintTests {

	private static Route route(String name) {
		return new Route(name, "desk.example", "/" + name + "/", RouteKind.STREAM, Duration.ofSeconds(6),
				Duration.ofMillis(400), 1, List.of(new WeightedService("lm", 1)), 2, true, true,
				Duration.ofMillis(300));
	}

	private static CallerRequestFields fields(String attempt, long remainingMillis, String prompt, int promptTokens) {
		return new CallerRequestFields(Optional.of(attempt), OptionalLong.of(remainingMillis), promptTokens, 360,
				OptionalInt.of(35), Optional.of(prompt), Optional.empty());
	}

	private static OptionalLong fingerprint(String route, String organisation, CallerRequestFields fields) {
		return RequestFingerprint.of(route(route), Optional.of(new Organisation(organisation, OptionalInt.empty())),
				fields);
	}

	@Test
	void attemptsOfOneRequestShareAFingerprint() {
		OptionalLong first = fingerprint("a", "bozi", fields("9c41", 5390, "9a92:40,6c81:245", 285));
		OptionalLong second = fingerprint("a", "bozi", fields("89b3", 3790, "9a92:40,6c81:245", 285));
		assertThat(first.isPresent(), Matchers.equalTo(true));
		assertThat(second, Matchers.equalTo(first));
	}

	@ParameterizedTest
	@CsvSource({ "b,bozi,x:40,285", "a,daka,x:40,285", "a,bozi,y:40,285", "a,bozi,x:40,286" })
	void differentRequestsHaveDifferentFingerprints(String route, String organisation, String prompt,
			int promptTokens) {
		OptionalLong one = fingerprint("a", "bozi", fields("9c41", 5390, "x:40", 285));
		OptionalLong other = fingerprint(route, organisation, fields("9c41", 5390, prompt, promptTokens));
		assertThat(other, Matchers.not(Matchers.equalTo(one)));
	}

	@Test
	void noFingerprintWithoutAPrompt() {
		CallerRequestFields fields = new CallerRequestFields(Optional.of("9c41"), OptionalLong.of(600), 0, 0,
				OptionalInt.empty(), Optional.empty(), Optional.empty());
		assertThat(fingerprint("a", "bozi", fields), Matchers.equalTo(OptionalLong.empty()));
	}

}
