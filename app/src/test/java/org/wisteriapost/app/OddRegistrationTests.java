package org.wisteriapost.app;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.wisteriapost.platform.emulator.EmulatedRunner;
import org.wisteriapost.platform.emulator.EmulatedSite;
import org.wisteriapost.platform.emulator.OddSpec;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

/**
 * Real entries beside an object in the store that another process has written and that
 * cannot be read.
 */
class OddRegistrationTests {

	private static final long TIMEOUT_SECONDS = 30;

	private static final int REQUESTS = 20;

	private InProcessSite localSite;

	private EmulatedSite site;

	private EmulatedRunner first;

	private EmulatedRunner second;

	@TempDir
	private Path folder;

	@BeforeEach
	void start() throws Exception {
		this.localSite = InProcessSite.start(this.folder);
		this.site = this.localSite.emulatedSite();
		this.first = this.site.addPlainRunner();
		this.second = this.site.addPlainRunner();
		startEntry(1);
	}

	@AfterEach
	void stop() throws Exception {
		this.localSite.close();
	}

	// Guards against one odd registration of a runner that makes all others unreadable:
	// an
	// entry goes on sending requests to a runner that drains, and one that starts knows
	// no
	// runners.
	@ParameterizedTest
	@EnumSource(OddSpec.class)
	void entriesFollowOtherRunnersBesideAnOddRegistration(OddSpec odd) throws Exception {
		this.site.store().putText("servers", "odd", odd.runner("registry"));
		this.site.drain(this.first);
		awaitUnused(1, this.first);
		startEntry(2);
		awaitUnused(2, this.first);
		this.site.store().remove("servers", "odd");
		EmulatedRunner third = this.site.addPlainRunner();
		this.site.drain(this.second);
		awaitUnused(1, this.second);
		awaitUnused(2, this.second);
		assertThat(third.executedRequests().isEmpty(), equalTo(false));
	}

	// Guards against one odd registration, of an engine or of an entry, that keeps an
	// entry
	// from linking to agents: these are not told of new weights.
	@ParameterizedTest
	@EnumSource(OddSpec.class)
	void agentsAreToldOfWeightsBesideOddRegistrations(OddSpec odd) throws Exception {
		this.site.store().putText("servers", "odd", odd.runner("lm"));
		this.site.store().putText("wisteriapost-entries", "edge-0", odd.entry());
		await("other changes are read", () -> call(1) == 200);
		EmulatedRunner engine = this.site.addEngine(1);
		this.localSite.startAgent(1);
		this.site.setTargetVersion(2);
		await("the engine has the new weights", () -> engine.version() == 2);
	}

	private void startEntry(int number) throws Exception {
		this.localSite.startEntry(this.localSite.writeEntrySettings(number));
		await("entry " + number + " serves", () -> call(number) == 200);
	}

	private int call(int entry) {
		return this.localSite.caller()
			.call(this.localSite.request(entry, "GET", "/lookup/x", EmulatedSite.KEY))
			.join()
			.status();
	}

	private void awaitUnused(int entry, EmulatedRunner runner) throws InterruptedException {
		await(runner.id() + " gets no requests from entry " + entry, () -> {
			int before = runner.executedRequests().size();
			for (int i = 0; i < REQUESTS; i++) {
				assertThat(call(entry), equalTo(200));
			}
			return runner.executedRequests().size() == before;
		});
	}

	private static void await(String description, BooleanSupplier condition) throws InterruptedException {
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
		while (!condition.getAsBoolean()) {
			assertThat("timed out waiting until " + description, System.nanoTime() < deadlineNanos);
			TimeUnit.MILLISECONDS.sleep(20);
		}
	}

}
