package org.wisteriapost.entry.direct;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.protocol.wire.EngineState;

import static org.hamcrest.MatcherAssert.assertThat;

class EnginePaceLogTests {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final SimpleMeterRegistry meters = new SimpleMeterRegistry();

	private static EngineState state(int pacePercent) {
		return EngineState.newBuilder()
			.setAddress("10.0.0.1:80")
			.setPacePercent(pacePercent)
			.setPaceAgeMillis(30)
			.build();
	}

	private double slowEngines() {
		return this.meters.get("wisteriapost.entry.slow.engines").gauge().value();
	}

	// Without the lines a choice of runner can't be explained from the log; a line for
	// each repetition would be two a second for each slow engine. An agent that falls
	// silent must not leave its engine in the gauge.
	@Test
	void changesAndExpiryAreLoggedOnce() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		try (DecisionLog log = DecisionLog.start("entry", new PrintStream(out, true, StandardCharsets.UTF_8))) {
			EnginePaceLog paces = new EnginePaceLog(log, DirectMetrics.create(this.meters));
			assertThat(paces.statusReceived(state(0), 0), Matchers.equalTo(false));
			paces.statusReceived(state(250), 100 * NANOS_PER_MILLI);
			assertThat(paces.statusReceived(state(250), 600 * NANOS_PER_MILLI), Matchers.equalTo(true));
			assertThat(slowEngines(), Matchers.equalTo(1.0));
			paces.tick(1560 * NANOS_PER_MILLI);
			assertThat(slowEngines(), Matchers.equalTo(1.0));
			paces.tick(1600 * NANOS_PER_MILLI);
			assertThat(slowEngines(), Matchers.equalTo(0.0));
		}
		List<String> lines = out.toString(StandardCharsets.UTF_8).lines().toList();
		assertThat(lines, Matchers.contains(Matchers.containsString("\"pace\":2.5,\"ageMs\":30,\"cause\":\"report\""),
				Matchers.containsString("\"pace\":1.0,\"ageMs\":1030,\"cause\":\"expiry\"")));
	}

}
