package org.wisteriapost.operator.bundle;

import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.wisteriapost.kernel.Findings;
import org.wisteriapost.kernel.settings.Settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class BundleLintTests {

	private static final String VALID = """
			[bundle]
			name = spring
			version = 2
			[weight notice-7b]
			version = 3
			path = notice-7b/3
			[service lm-notice]
			model = notice-7b
			places = dkr-hall-a, ths-hall-1
			vms = vm-1, vm-2
			[service registry-api]
			kind = plain
			places = dkr-hall-a
			""";

	static Stream<Arguments> bundles() {
		return Stream.of(Arguments.of("valid bundle", VALID, List.of()),
				Arguments.of("undeclared model", VALID.replace("model = notice-7b", "model = x"),
						List.of("f:8 bundle-weight-unknown", "f:4 bundle-weight-unused")),
				Arguments.of("undeclared adapter",
						VALID.replace("model = notice-7b", "model = notice-7b\nadapters = fr"),
						List.of("f:9 bundle-weight-unknown")),
				Arguments.of("VM listed twice by one service", VALID.replace("vm-2", "vm-1"),
						List.of("f:10 bundle-vm-duplicated")),
				Arguments.of("VM listed by two services", VALID + "vms = vm-1\n", List.of("f:14 bundle-vm-duplicated")),
				Arguments.of("unknown key", VALID + "place = x\n", List.of("f:14 bundle-key-unknown")),
				Arguments.of("unknown kind", VALID.replace("plain", "simple"),
						List.of("f:12 setting-invalid", "f:11 bundle-weight-unknown")),
				Arguments.of("no service", "[bundle]\nname = a\nversion = 1\n", List.of("f:1 bundle-empty")));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("bundles")
	void findingsAreReportedWithTheirLine(String name, String text, List<String> expected) {
		Findings findings = new Findings();
		BundleLint.run(Settings.parse("f", text), findings);
		List<String> found = findings.list()
			.stream()
			.map((finding) -> finding.location().file() + ":" + finding.location().line() + " " + finding.code().name())
			.toList();
		assertThat(found, is(expected));
	}

}
