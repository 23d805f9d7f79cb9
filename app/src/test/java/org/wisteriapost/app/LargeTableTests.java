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
 * Entries of one place that reach the store over one narrow link, and a table of routes
 * that has grown to some 300 KB.
 *
 * What callers saw: requests for routes that had been declared seconds before, and under
 * tokens handed out seconds before, were rejected with 404 and 401. Every entry of the
 * place that read the store itself fetched the whole table, and gave it up when it had
 * not come within the time of a call; together they took longer than that, so all of them
 * began anew, and the link stayed full of copies that nobody got whole.
 */
class LargeTableTests {

	// Some 300 KB.
	private static final int MORE_ROUTES = 1400;

	private static final long MOST_SECONDS = 30;

	// The site's usual bound for a declaration to be in force everywhere.
	private static final long IN_FORCE_NANOS = TimeUnit.SECONDS.toNanos(3);

	private RunningSite running;

	private EmulatedSite site;

	@TempDir
	private Path folder;

	@BeforeEach
	void start() throws Exception {
		this.running = RunningSite.start(this.folder);
		this.site = this.running.emulated();
		this.site.addPlainRunner();
	}

	@AfterEach
	void stop() throws Exception {
		this.running.close();
	}

	private void entries(int count, NarrowLink link) throws Exception {
		for (int number = 1; number <= count; number++) {
			Path settings = this.running.entrySettings(number);
			String text = Files.readString(settings)
				.replace("\"address\":\"" + address() + "\"", "\"address\":\"" + link.address() + "\"");
			Files.writeString(settings, text);
			this.running.entry(settings);
		}
	}

	private String address() {
		return this.site.storeAddress().getAddress().getHostAddress() + ":" + this.site.storeAddress().getPort();
	}

	private int status(int entry, String path) {
		return this.running.caller().call(this.running.request(entry, "GET", path, EmulatedSite.KEY)).join().status();
	}

	private void awaitServed(int entries, String path) throws InterruptedException {
		long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(MOST_SECONDS);
		for (int entry = 1; entry <= entries; entry++) {
			while (status(entry, path) != 200) {
				assertThat("entry " + entry + " serves " + path + " in time", System.nanoTime() < until);
				TimeUnit.MILLISECONDS.sleep(50);
			}
		}
	}

	@ParameterizedTest
	@CsvSource({ "1,150000", "10,250000" })
	void aLargeTableComesIntoForceOverANarrowLink(int entries, long bytesPerSecond) throws Exception {
		NarrowLink link = this.running.kept(NarrowLink.start(this.site.storeAddress(), bytesPerSecond));
		entries(entries, link);
		awaitServed(entries, "/lookup/x");
		this.site.configure(true, MORE_ROUTES);
		awaitServed(entries, "/" + EmulatedSite.extraRoute(MORE_ROUTES - 1) + "/x");
	}

	// The table is declared anew while an entry fetches it. All that has changed since is
	// more than comes within a call; cut off and asked for again each time it never came
	// within a minute, though the table alone takes three seconds.
	@Test
	void aTableThatIsDeclaredOftenComesIntoForce() throws Exception {
		NarrowLink link = this.running.kept(NarrowLink.start(this.site.storeAddress(), 100_000));
		entries(1, link);
		awaitServed(1, "/lookup/x");
		for (int more = 0; more <= 8; more++) {
			this.site.configure(true, MORE_ROUTES + more);
			TimeUnit.MILLISECONDS.sleep(300);
		}
		awaitServed(1, "/" + EmulatedSite.extraRoute(MORE_ROUTES + 7) + "/x");
	}

	// The link carries a table in twenty seconds, so no entry can have it in time. What
	// it does not know it can't call wrong: the caller may come back, or ask elsewhere.
	@ParameterizedTest
	@CsvSource({ "1,15000", "10,15000" })
	void aRouteThatWasDeclaredLongAgoIsNotRejected(int entries, long bytesPerSecond) throws Exception {
		NarrowLink link = this.running.kept(NarrowLink.start(this.site.storeAddress(), bytesPerSecond));
		entries(entries, link);
		awaitServed(entries, "/lookup/x");
		this.site.configure(true, MORE_ROUTES);
		long declared = System.nanoTime();
		TimeUnit.NANOSECONDS.sleep(IN_FORCE_NANOS - (System.nanoTime() - declared));
		for (int round = 0; round < 3; round++) {
			for (int entry = 1; entry <= entries; entry++) {
				int status = status(entry, "/" + EmulatedSite.extraRoute(MORE_ROUTES - 1) + "/x");
				assertThat("entry " + entry, status, Matchers.isOneOf(200, 503));
			}
		}
	}

}
