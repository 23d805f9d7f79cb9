package org.wisteriapost.operator.explain;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;

class AttemptTraceTests {

	private static final String LOG = """
			{"time":"2026-01-01T00:00:01.000Z","process":"edge-1","event":"store","kind":"RUNNERS","reachable":false}
			{"time":"2026-01-01T00:00:02.000Z","process":"edge-1","event":"dispatched","attempt":"a1","runner":"r1"}
			not a line of ours
			{"time":"2026-01-01T00:00:02.100Z","process":"edge-1","event":"dispatched","attempt":"a2","runner":"r2"}
			{"time":"2026-01-01T00:00:02.200Z","process":"edge-1","event":"runner-removed","runner":"r1"}
			{"time":"2026-01-01T00:00:02.250Z","process":"edge-1","event":"runner-removed","runner":"r2"}
			  12.3456 edge-1 {"time":"2026-01-01T00:00:02.300Z","process":"edge-1","event":"failed","attempt":"a1","code":"run-broken"}
			{"time":"2026-01-01T00:00:02.400Z","process":"edge-2","event":"store","kind":"RUNNERS","reachable":false}""";

	@TempDir
	private Path folder;

	// A trace contains the lines of its attempt and the state changes of its runner
	// and of the store, but no lines of other attempts, runners or processes.
	@Test
	void containsAttemptLinesAndRelatedStateChanges() throws Exception {
		Path file = Files.writeString(this.folder.resolve("edge.log"), LOG);
		List<String> trace = AttemptTrace.of("a1", List.of(file)).format();
		assertThat(trace, Matchers.contains(Matchers.containsString("store kind=RUNNERS reachable=false"),
				Matchers.containsString("dispatched attempt=a1 runner=r1"),
				Matchers.containsString("runner-removed runner=r1"), Matchers.containsString("code=run-broken")));
	}

	// Guards against a refusal that on-call can't explain: no line of the attempt names
	// the
	// runners whose statements caused it.
	@Test
	void containsWhatRunnersStated() throws Exception {
		Path file = Files.writeString(this.folder.resolve("edge.log"),
				"""
						{"time":"2026-01-01T00:00:01.000Z","process":"edge-1","event":"runner-leaving","runner":"r1"}
						{"time":"2026-01-01T00:00:02.000Z","process":"edge-1","event":"runner-resting","runner":"r2","millis":3000}
						{"time":"2026-01-01T00:00:02.100Z","process":"edge-1","event":"refused","attempt":"a1","code":"runner-resting"}""");
		assertThat(AttemptTrace.of("a1", List.of(file)).format(),
				Matchers.contains(Matchers.containsString("runner-leaving runner=r1"),
						Matchers.containsString("runner-resting runner=r2 millis=3000"),
						Matchers.containsString("code=runner-resting")));
	}

	// Guards against a refusal that on-call can't explain: the request was sent to no
	// runner, and the one that it could have used was removed.
	@ParameterizedTest
	@CsvSource({ "region-unavailable,2", "no-room,1" })
	void containsRegistrationsWhereARegionHasNoRunner(String code, int lines) throws Exception {
		Path file = Files.writeString(this.folder.resolve("edge.log"), """
				{"time":"2026-01-01T00:00:01.000Z","process":"edge-1","event":"runner-removed","runner":"r1"}
				{"time":"2026-01-01T00:00:02.100Z","process":"edge-1","event":"refused","attempt":"a1","code":"%s"}"""
			.formatted(code));
		assertThat(AttemptTrace.of("a1", List.of(file)).format(), Matchers.hasSize(lines));
	}

	// Guards against a refusal for an evacuation that on-call can't explain, also when
	// the evacuation began long before.
	@Test
	void containsEvacuations() throws Exception {
		Path file = Files.writeString(this.folder.resolve("edge.log"),
				"""
						{"time":"2026-01-01T00:00:01.000Z","process":"edge-1","event":"evacuation-in-force","failureDomain":"hall-a"}
						{"time":"2026-01-01T00:09:00.000Z","process":"edge-1","event":"evacuation-in-force","failureDomain":"hall-b"}
						{"time":"2026-01-01T00:09:01.000Z","process":"edge-1","event":"refused","attempt":"a1","code":"no-usable-runner"}
						{"time":"2026-01-01T00:09:01.000Z","process":"edge-1","event":"refused-by-evacuation","attempt":"a1","failureDomain":"hall-a","ageMs":540000}""");
		assertThat(AttemptTrace.of("a1", List.of(file)).format(),
				Matchers.contains(Matchers.containsString("evacuation-in-force failureDomain=hall-b"),
						Matchers.containsString("code=no-usable-runner"),
						Matchers.containsString("refused-by-evacuation attempt=a1 failureDomain=hall-a ageMs=540000")));
	}

	@Test
	void traceOfUnknownAttemptIsEmpty() throws Exception {
		Path file = Files.writeString(this.folder.resolve("edge.log"), LOG);
		assertThat(AttemptTrace.of("none", List.of(file)).isEmpty(), Matchers.equalTo(true));
	}

}
