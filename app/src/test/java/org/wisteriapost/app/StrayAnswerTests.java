package org.wisteriapost.app;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.platform.emulator.EmulatedRunner;
import org.wisteriapost.platform.emulator.EmulatedSite;
import org.wisteriapost.platform.emulator.StrayAnswerProxy;
import org.wisteriapost.protocol.http.HttpCall;
import org.wisteriapost.protocol.http.HttpResponse;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * A real entry before a runner that sends answers again, without an end or with a damaged
 * head, and sound ones.
 */
class StrayAnswerTests {

	private static final int ROUNDS = 60;

	private static final int MAX_ROUNDS = 1200;

	private static final long ROUND_PAUSE_MILLIS = 10;

	private static final int REQUESTS_PER_ROUND = 4;

	private static final int MIN_DAMAGED = 4;

	private static final int MAX_ROUNDS_UNTIL_READY = 400;

	private final List<EmulatedRunner> runners = new ArrayList<>();

	private InProcessSite localSite;

	private StrayAnswerProxy proxy;

	@TempDir
	private Path folder;

	@BeforeEach
	void start() throws Exception {
		this.localSite = InProcessSite.start(this.folder);
		EmulatedSite site = this.localSite.emulatedSite();
		this.proxy = site.addPlainRunnerWithStrayAnswers(7);
		this.runners.add(this.proxy.runner());
		this.runners.add(site.addPlainRunner());
		this.runners.add(site.addPlainRunner());
		this.localSite.startEntry(this.localSite.writeEntrySettings(1));
		for (int i = 0; i < MAX_ROUNDS_UNTIL_READY && send("/lookup/x").response.join().status() != 200; i++) {
			TimeUnit.MILLISECONDS.sleep(20);
		}
	}

	@AfterEach
	void stop() throws Exception {
		this.localSite.close();
	}

	private Sent send(String path) {
		HttpCall call = this.localSite.request(1, "POST", path, EmulatedSite.KEY)
			.body("body".getBytes(StandardCharsets.UTF_8));
		return new Sent(call.headers().get("X-Wisteriapost-Attempt-Id"), this.localSite.caller().call(call));
	}

	private long runs(String attempt) {
		return this.runners.stream()
			.flatMap((runner) -> runner.executedRequests().stream())
			.filter((run) -> run.attemptId().equals(attempt))
			.count();
	}

	// Guards against an answer that belongs to another request, a request that is refused
	// and has run, one that runs twice, and sound runners that are no longer reached.
	@ParameterizedTest
	@CsvSource({ "0.2, 0, 0", "0, 0.1, 0", "0.2, 0.1, 0", "0, 0, 0.3", "0.1, 0.05, 0.2" })
	void noRequestGetsAnAnswerThatIsNotItsOwn(double surplusShare, double endlessShare, double damagedShare)
			throws Exception {
		this.proxy.repeatAnswers(surplusShare);
		this.proxy.sendWithoutEnd(endlessShare);
		this.proxy.damageHeads(damagedShare);
		int served = 0;
		int sentRequests = 0;
		for (int round = 0; round < ROUNDS
				|| (!faultsPlayed(surplusShare, endlessShare, damagedShare) && round < MAX_ROUNDS); round++) {
			TimeUnit.MILLISECONDS.sleep(ROUND_PAUSE_MILLIS);
			sentRequests += REQUESTS_PER_ROUND;
			String path = (round % 2 == 0) ? "/lookup/x" : "/allocate/x";
			for (Sent sent : Stream.generate(() -> send(path)).limit(REQUESTS_PER_ROUND).toList()) {
				HttpResponse response = sent.response.get(10, TimeUnit.SECONDS);
				assertThat(response.status(), anyOf(equalTo(200), equalTo(502), equalTo(503)));
				if (response.status() == 200) {
					served++;
					assertThat(new String(response.body(), StandardCharsets.UTF_8),
							equalTo("answer to " + sent.attempt));
				}
				else if (response.status() == 503) {
					assertThat(runs(sent.attempt), equalTo(0L));
				}
				if (path.startsWith("/allocate")) {
					assertThat(runs(sent.attempt), lessThanOrEqualTo(1L));
				}
			}
		}
		assertThat(served, greaterThan(sentRequests * 3 / 4));
		assertThat(faultsPlayed(surplusShare, endlessShare, damagedShare), equalTo(true));
	}

	// An entry avoids the runner for a time after an answer that broke off.
	private boolean faultsPlayed(double surplusShare, double endlessShare, double damagedShare) {
		return (surplusShare == 0 || this.proxy.surplusAnswers() > 0)
				&& (endlessShare == 0 || this.proxy.endlessAnswers() > 0)
				&& (damagedShare == 0 || this.proxy.damagedAnswers() > MIN_DAMAGED);
	}

	/**
	 * A request that was sent.
	 *
	 * @param attempt its id
	 * @param response the response to it
	 */
	private record Sent(String attempt, CompletableFuture<HttpResponse> response) {
	}

}
