package org.wisteriapost.operator.explain;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;

class StoryTests {

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

	// A request was cut because its runner had gone, while the entry was cut off from the
	// store. The story holds its own lines, what was learned of its runner, and the
	// store; not other requests, other runners or other processes.
	@Test
	void tellsOwnLinesAndWhatTheProcessBelieved() throws Exception {
		Path file = Files.writeString(this.folder.resolve("edge.log"), LOG);
		List<String> story = Story.of("a1", List.of(file)).tell();
		assertThat(story, Matchers.contains(Matchers.containsString("store kind=RUNNERS reachable=false"),
				Matchers.containsString("dispatched attempt=a1 runner=r1"),
				Matchers.containsString("runner-removed runner=r1"), Matchers.containsString("code=run-broken")));
	}

	@Test
	void anUnknownAttemptHasNoStory() throws Exception {
		Path file = Files.writeString(this.folder.resolve("edge.log"), LOG);
		assertThat(Story.of("none", List.of(file)).isEmpty(), Matchers.equalTo(true));
	}

}
