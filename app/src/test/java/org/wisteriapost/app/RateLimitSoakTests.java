package org.wisteriapost.app;

import java.nio.file.Path;
import java.time.Duration;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * A short run of the soak of limits on the rate of runners.
 */
class RateLimitSoakTests {

	private static final Duration TIME = Duration.ofSeconds(30);

	@TempDir
	private Path folder;

	// Guards against entry processes that together send a runner more than it has asked
	// for, while long streams end, limits change and entries are disturbed.
	@ParameterizedTest
	@CsvSource({ "11, false", "31, true" })
	void entryProcessesKeepTheLimitsOfRunners(long seed, boolean faults) throws Exception {
		try (RateLimitSoak soak = RateLimitSoak.start(seed, this.folder, System.getProperty("java.class.path"))) {
			assertThat(soak.run(TIME, faults), Matchers.empty());
			assertThat(soak.summary(), soak.served(), Matchers.greaterThan(soak.unserved()));
		}
	}

}
