package org.wisteriapost.kernel.settings;

import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class SettingsCheckTests {

	private static final String VALID = """
			[process]
			vm = a
			place = b
			[outside]
			platform = http://127.0.0.1:1
			vm-list = http://127.0.0.1:2
			origin = http://127.0.0.1:3
			""";

	static Stream<Arguments> files() {
		return Stream.of(Arguments.of("valid file", VALID, List.of()),
				Arguments.of("commented line", "; x = 1\n" + VALID, List.of()),
				Arguments.of("missing key", VALID.replace("vm = a\n", ""),
						List.of("f:1 [process] vm: setting-missing: no value; write text")),
				Arguments.of("two invalid values", VALID.replace("127.0.0.1:1", "host:1") + "[admin]\nport = x\n",
						List.of("f:9 [admin] port: setting-invalid: \"x\" is not accepted; "
								+ "write a whole number from 0 to 65535",
								"f:5 [outside] platform: setting-invalid: \"http://host:1\" is not accepted; "
										+ "write http://IP:PORT")),
				Arguments.of("unknown section", VALID + "[proces]\nvm = a\n",
						List.of("f:8 [proces]: setting-unknown: no such section; remove or rename it")),
				Arguments.of("unknown key", VALID + "[admin]\nprot = 1\n",
						List.of("f:9 [admin] prot: setting-unknown: no such key; use one of [host, port]")));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("files")
	void everyFindingIsReportedWithItsLocation(String name, String text, List<String> expected) {
		List<String> found = SettingsCheck.run(Settings.parse("f", text))
			.list()
			.stream()
			.map(Object::toString)
			.toList();
		assertThat(found, is(expected));
	}

	@Test
	void keysWithDotsAndNamedSectionsAreRead() {
		Settings settings = Settings.parse("f", "[operator aminata]\npublic-key = a.b=\n[x]\na.b = 1\n");
		assertThat(settings.sectionsOfKind("operator"), is(List.of("aminata")));
		assertThat(settings.text("operator aminata", "public-key").orElseThrow(), is("a.b="));
		assertThat(settings.text("x", "a.b").orElseThrow(), is("1"));
		assertThat(settings.keys("x"), is(java.util.Set.of("a.b")));
	}

}
