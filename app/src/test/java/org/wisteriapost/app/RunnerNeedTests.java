package org.wisteriapost.app;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wisteriapost.platform.emulator.EmulatedRunner;
import org.wisteriapost.platform.emulator.EmulatedSite;
import org.wisteriapost.protocol.http.HttpResponse;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * End-to-end tests of three entries whose runners crash under a request, or limit their
 * rate.
 */
class RunnerNeedTests {

	private static final int ENTRIES = 3;

	private static final long TIMEOUT_SECONDS = 30;

	private static final int OK = 200;

	private InProcessSite localSite;

	private List<EmulatedRunner> runners;

	@TempDir
	private Path folder;

	@BeforeEach
	void start() throws Exception {
		this.localSite = InProcessSite.start(this.folder);
		EmulatedSite site = this.localSite.emulatedSite();
		this.runners = Stream.generate(site::addPlainRunner).limit(6).toList();
		for (int entry = 1; entry <= ENTRIES; entry++) {
			this.localSite.startEntry(this.localSite.writeEntrySettings(entry));
		}
		for (int entry = 1; entry <= ENTRIES; entry++) {
			int number = entry;
			await("entry " + entry + " serves", () -> call(number, "first").status() == OK);
		}
	}

	@AfterEach
	void stop() throws Exception {
		this.localSite.close();
	}

	private HttpResponse call(int entry, String body) {
		return this.localSite.caller()
			.call(this.localSite.request(entry, "POST", "/lookup/x", EmulatedSite.KEY)
				.body(body.getBytes(StandardCharsets.UTF_8)))
			.join();
	}

	private boolean refusedAsPoison(int entry, String body) {
		HttpResponse response = call(entry, body);
		return response.status() == 503
				&& new String(response.body(), StandardCharsets.UTF_8).contains("\"poison-request\"");
	}

	private static void await(String description, BooleanSupplier condition) throws InterruptedException {
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
		while (!condition.getAsBoolean()) {
			assertThat("timed out waiting until " + description, System.nanoTime() < deadlineNanos);
			TimeUnit.MILLISECONDS.sleep(50);
		}
	}

	private long executed(String body) {
		return this.runners.stream()
			.flatMap((runner) -> runner.executedRequests().stream())
			.filter((request) -> new String(request.body(), StandardCharsets.UTF_8).equals(body))
			.count();
	}

	// Guards against a request that crashes a runner through each entry in turn.
	@Test
	void allEntriesRefuseARequestThatCrashesRunners() throws Exception {
		String body = EmulatedRunner.POISON + " prompt";
		for (int entry = 1; entry <= ENTRIES; entry++) {
			int number = entry;
			await("entry " + entry + " refuses the request", () -> refusedAsPoison(number, body));
		}
		TimeUnit.SECONDS.sleep(1);
		long before = executed(body);
		IntStream.range(0, 12).forEach((i) -> assertThat(refusedAsPoison(1 + i % ENTRIES, body), Matchers.is(true)));
		assertThat(executed(body), Matchers.equalTo(before));
		await("other requests are served", () -> call(1, "other").status() == OK);
	}

	// Guards against entries that each use up the limit of a runner.
	@Test
	void entriesTogetherKeepTheLimitThatARunnerNames() {
		EmulatedRunner limited = this.runners.getFirst();
		limited.nameLimit(1);
		IntStream.range(0, 120).forEach((i) -> call(1 + i % ENTRIES, "body-" + i));
		long before = limited.executedRequests().size();
		long startNanos = System.nanoTime();
		IntStream.range(0, 300).forEach((i) -> call(1 + i % ENTRIES, "body-" + i));
		double seconds = (double) (System.nanoTime() - startNanos) / TimeUnit.SECONDS.toNanos(1);
		assertThat((double) limited.executedRequests().size() - before, Matchers.lessThanOrEqualTo(1.5 * seconds + 5));
	}

	// Guards against requests to a runner that is leaving while the store calls it ready.
	// Each entry learns it from the answer to its first request there.
	@Test
	void runnerThatStatesItIsLeavingGetsNoMoreRequests() {
		EmulatedRunner leaving = this.runners.getFirst();
		int before = leaving.executedRequests().size();
		leaving.announceLeaving();
		IntStream.range(0, 240).forEach((i) -> call(1 + i % ENTRIES, "body-" + i));
		assertThat(leaving.executedRequests().size() - before,
				Matchers.allOf(Matchers.greaterThan(0), Matchers.lessThanOrEqualTo(ENTRIES)));
	}

	// Guards against requests to a runner that has turned this entry away and asked it to
	// send nothing for a time.
	@Test
	void runnerThatAsksForRestGetsNoRequestsUntilItsEnd() {
		EmulatedRunner resting = this.runners.getFirst();
		resting.turnAway(60);
		IntStream.range(0, 120).forEach((i) -> call(1 + i % ENTRIES, "body-" + i));
		assertThat(resting.turnedAway(), Matchers.allOf(Matchers.greaterThan(0), Matchers.lessThanOrEqualTo(ENTRIES)));
	}

}
