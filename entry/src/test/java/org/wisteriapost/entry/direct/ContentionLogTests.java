package org.wisteriapost.entry.direct;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

import org.apache.commons.rng.simple.RandomSource;
import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.dispatch.Contention;
import org.wisteriapost.policy.dispatch.DispatchLimits;
import org.wisteriapost.policy.dispatch.Dispatcher;

import static org.hamcrest.MatcherAssert.assertThat;

class ContentionLogTests {

	private static final DispatchLimits LIMITS = new DispatchLimits("hall-a", 0.2, 100, Duration.ofSeconds(10),
			Duration.ofSeconds(8));

	// Without the line a refusal of a late request can't be explained from the log.
	@Test
	void beginningAndEndAreLoggedOnce() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		Contention contention = Dispatcher.create(LIMITS, RandomSource.XO_RO_SHI_RO_128_PP.create(1)).contention();
		try (DecisionLog log = DecisionLog.start("entry", new PrintStream(out, true, StandardCharsets.UTF_8))) {
			ContentionLog contentionLog = new ContentionLog(log);
			contentionLog.report(contention, 0);
			contention.reported("lm-notice", Duration.ZERO, 0);
			for (long millis = 0; millis < 3000; millis += 100) {
				contentionLog.report(contention, Duration.ofMillis(millis).toNanos());
			}
		}
		List<String> lines = out.toString(StandardCharsets.UTF_8).lines().toList();
		assertThat(lines, Matchers.contains(Matchers.containsString("\"services\":\"lm-notice\",\"own\":\"\""),
				Matchers.containsString("\"services\":\"\"")));
	}

}
