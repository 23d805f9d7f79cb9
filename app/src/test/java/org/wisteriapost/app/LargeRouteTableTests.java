package org.wisteriapost.app;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.platform.emulator.EmulatedSite;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Tests that a route table of about 300 KB takes effect at entries that share one
 * low-bandwidth link to the store.
 *
 * Guards against valid requests being rejected with 404 or 401 because concurrent fetches
 * of the table saturate the link, each exceeds its call timeout and starts again, and no
 * entry ever receives a complete table.
 */
class LargeRouteTableTests {

	// A table of about 300 KB.
	private static final int EXTRA_ROUTES = 1400;

	private static final long TIMEOUT_SECONDS = 30;

	// The time within which the site requires a declaration to be active at all entries.
	private static final long ACTIVATION_DELAY_NANOS = TimeUnit.SECONDS.toNanos(3);

	private InProcessSite localSite;

	private EmulatedSite site;

	@TempDir
	private Path folder;

	@BeforeEach
	void start() throws Exception {
		this.localSite = InProcessSite.start(this.folder);
		this.site = this.localSite.emulatedSite();
		this.site.addPlainRunner();
	}

	@AfterEach
	void stop() throws Exception {
		this.localSite.close();
	}

	private void startEntries(int count, ThrottlingProxy proxy) throws Exception {
		for (int number = 1; number <= count; number++) {
			Path settings = this.localSite.writeEntrySettings(number);
			String text = Files.readString(settings)
				.replace("\"address\":\"" + storeAddress() + "\"", "\"address\":\"" + proxy.address() + "\"");
			Files.writeString(settings, text);
			this.localSite.startEntry(settings);
		}
	}

	private String storeAddress() {
		return this.site.storeAddress().getAddress().getHostAddress() + ":" + this.site.storeAddress().getPort();
	}

	private int status(int entry, String path) {
		return this.localSite.caller()
			.call(this.localSite.request(entry, "GET", path, EmulatedSite.KEY))
			.join()
			.status();
	}

	private void awaitRouteServed(int entries, String path) throws InterruptedException {
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
		for (int entry = 1; entry <= entries; entry++) {
			while (status(entry, path) != 200) {
				assertThat("entry " + entry + " serves " + path + " before the timeout",
						System.nanoTime() < deadlineNanos);
				TimeUnit.MILLISECONDS.sleep(50);
			}
		}
	}

	@ParameterizedTest
	@CsvSource({ "1,150000", "10,250000" })
	void aLargeRouteTableTakesEffectOverANarrowLink(int entries, long bytesPerSecond) throws Exception {
		ThrottlingProxy proxy = this.localSite
			.closeWithSite(ThrottlingProxy.start(this.site.storeAddress(), bytesPerSecond));
		startEntries(entries, proxy);
		awaitRouteServed(entries, "/lookup/x");
		this.site.configure(true, EXTRA_ROUTES);
		awaitRouteServed(entries, "/" + EmulatedSite.extraRoute(EXTRA_ROUTES - 1) + "/x");
	}

	// Guards against restarting the fetch whenever the table changes: all changes take
	// longer than one call, so a fetch that is cut off and restarted never completes,
	// although the table itself takes only three seconds.
	@Test
	void aRouteTableThatChangesWhileItIsFetchedTakesEffect() throws Exception {
		ThrottlingProxy proxy = this.localSite.closeWithSite(ThrottlingProxy.start(this.site.storeAddress(), 100_000));
		startEntries(1, proxy);
		awaitRouteServed(1, "/lookup/x");
		for (int change = 0; change <= 8; change++) {
			this.site.configure(true, EXTRA_ROUTES + change);
			TimeUnit.MILLISECONDS.sleep(300);
		}
		awaitRouteServed(1, "/" + EmulatedSite.extraRoute(EXTRA_ROUTES + 7) + "/x");
	}

	// The table takes 20 s over the link, longer than the activation delay. An entry
	// with an incomplete table must answer 503, so that the caller retries there or at
	// another entry; a 404 would reject a route that is declared.
	@ParameterizedTest
	@CsvSource({ "1,15000", "10,15000" })
	void aDeclaredRouteIsNotRejectedAfterTheActivationDelay(int entries, long bytesPerSecond) throws Exception {
		ThrottlingProxy proxy = this.localSite
			.closeWithSite(ThrottlingProxy.start(this.site.storeAddress(), bytesPerSecond));
		startEntries(entries, proxy);
		awaitRouteServed(entries, "/lookup/x");
		this.site.configure(true, EXTRA_ROUTES);
		long declaredNanos = System.nanoTime();
		TimeUnit.NANOSECONDS.sleep(ACTIVATION_DELAY_NANOS - (System.nanoTime() - declaredNanos));
		for (int round = 0; round < 3; round++) {
			for (int entry = 1; entry <= entries; entry++) {
				int status = status(entry, "/" + EmulatedSite.extraRoute(EXTRA_ROUTES - 1) + "/x");
				assertThat("entry " + entry, status, Matchers.isOneOf(200, 503));
			}
		}
	}

}
