package org.wisteriapost.app;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

class MainTests {

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	@TempDir
	private Path folder;

	static Stream<Arguments> commandLines() {
		return Stream.of(Arguments.of(0, "bundle roll", "--help"), Arguments.of(0, "wisteriapost 0.1.0", "--version"),
				Arguments.of(2, "no such command", "bundel"),
				Arguments.of(2, "--settings is required", "bundle history"),
				Arguments.of(2, "command-line-rejected", "bundle history --from 3"),
				Arguments.of(2, "file-unreadable", "bundle lint /absent.ini"),
				Arguments.of(2, "file-unreadable", "settings check /absent.ini"));
	}

	@ParameterizedTest(name = "{2}")
	@MethodSource("commandLines")
	void exitCodeAndOutputMatchTheCommandLine(int exit, String text, String line) {
		assertThat(run(line.split(" ")), is(exit));
		assertThat(this.out.toString(StandardCharsets.UTF_8) + this.err, containsString(text));
	}

	@Test
	void unavailableOutsideSystemExitsWithCodeThree() throws IOException {
		Path settings = Files.writeString(this.folder.resolve("s.ini"), """
				[outside]
				platform = http://127.0.0.1:1
				vm-list = http://127.0.0.1:1
				origin = http://127.0.0.1:1
				""");
		assertThat(run("bundle", "history", "--settings", settings.toString()), is(3));
		assertThat(this.err.toString(StandardCharsets.UTF_8), containsString("platform-unavailable"));
	}

	private int run(String... args) {
		return Main.run(List.of(args), new PrintStream(this.out), new PrintStream(this.err));
	}

}
