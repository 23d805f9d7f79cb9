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

	// Nothing is said for a while and the writer sleeps. A decision that comes then is
	// read on the other side without another one behind it and without a close.
	@Test
	void aLineAfterARestIsWritten() throws Exception {
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

	// The process ends directly after its last decisions; nothing follows that could
	// push them out. All are in the log when close returns.
	@Test
	void closeWritesWhatIsQueued() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		DecisionLog log = DecisionLog.start("edge", new PrintStream(out));
		for (int i = 0; i < DecisionLog.USUAL_RATE; i++) {
			log.decision("stopping", "number", i);
		}
		log.close();
		assertThat(out.toString(StandardCharsets.UTF_8).lines().count(), is((long) DecisionLog.USUAL_RATE));
	}

	@Test
	void aLogThatNeverHeardAnythingCloses() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		DecisionLog.start("edge", new PrintStream(out)).close();
		assertThat(out.size(), is(0));
	}

}
