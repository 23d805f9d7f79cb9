package org.wisteriapost.kernel.log;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.InputStreamReader;
import java.io.PipedInputStream;
import java.io.PipedOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

@Timeout(30)
class DecisionLogTests {

	// A decision after an idle period is written without a further decision or
	// close().
	@Test
	void decisionAfterIdlePeriodIsWritten() throws Exception {
		PipedInputStream in = new PipedInputStream();
		try (PrintStream out = new PrintStream(new PipedOutputStream(in));
				DecisionLog log = DecisionLog.start("edge", out);
				BufferedReader lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8))) {
			for (String event : new String[] { "first", "second" }) {
				Thread.sleep(600);
				log.decision(event, "number", 1);
				String line = lines.readLine();
				assertThat(line, containsString("\"event\":\"" + event + "\",\"number\":1}"));
			}
		}
	}

	// Decisions logged right before the process exits must not be lost.
	@Test
	void closeFlushesQueuedLines() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		DecisionLog log = DecisionLog.start("edge", new PrintStream(out));
		for (int i = 0; i < DecisionLog.MAX_DECISIONS_PER_SECOND; i++) {
			log.decision("stopping", "number", i);
		}
		log.close();
		assertThat(out.toString(StandardCharsets.UTF_8).lines().count(),
				is((long) DecisionLog.MAX_DECISIONS_PER_SECOND));
	}

	@Test
	void closeWithoutDecisionsWritesNothing() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		DecisionLog.start("edge", new PrintStream(out)).close();
		assertThat(out.size(), is(0));
	}

}
