package org.wisteriapost.app;

import java.io.OutputStream;
import java.io.PrintStream;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.wisteriapost.agent.site.SiteAgent;
import org.wisteriapost.entry.direct.DirectProcess;
import org.wisteriapost.platform.emulator.EmulatedSite;
import org.wisteriapost.protocol.http.HttpCall;
import org.wisteriapost.protocol.http.HttpCaller;
import org.wisteriapost.protocol.site.SiteProvider;

/**
 * An emulated site with entries and agents in this process, and a caller.
 */
final class RunningSite implements AutoCloseable {

	private final SiteProvider provider = SiteProvider.load();

	private final PrintStream quiet = new PrintStream(OutputStream.nullOutputStream());

	private final HttpCaller caller = HttpCaller.create(1);

	private final List<AutoCloseable> parts = new ArrayList<>();

	private final EmulatedSite site;

	private final Path folder;

	private int attempts;

	private RunningSite(EmulatedSite site, Path folder) {
		this.site = site;
		this.folder = folder;
	}

	/**
	 * Returns a site without entries and agents.
	 * @param folder where settings are written
	 */
	static RunningSite start(Path folder) throws Exception {
		return new RunningSite(EmulatedSite.start(), folder);
	}

	EmulatedSite emulated() {
		return this.site;
	}

	SiteProvider provider() {
		return this.provider;
	}

	HttpCaller caller() {
		return this.caller;
	}

	Path entrySettings(int number) throws Exception {
		return this.site.writeEntrySettings(this.folder, number);
	}

	Path agentSettings(int number) throws Exception {
		return this.site.writeAgentSettings(this.folder, number);
	}

	DirectProcess entry(Path settings) {
		return kept(DirectProcess.start(this.provider.settings(settings), this.provider, this.quiet));
	}

	void agent(int number) throws Exception {
		kept(SiteAgent.start(this.provider.settings(agentSettings(number)), this.provider, this.quiet));
	}

	/**
	 * Closes a part before the site.
	 */
	<T extends AutoCloseable> T kept(T part) {
		this.parts.add(part);
		return part;
	}

	/**
	 * Returns a request of an attempt of its own to an entry.
	 */
	HttpCall request(int entry, String method, String path, String key) {
		this.attempts++;
		URI target = URI.create("http://127.7.1." + entry + ":" + this.site.port() + path);
		return HttpCall.of(method, target, Duration.ofSeconds(5))
			.header("Host", EmulatedSite.HOST)
			.header("X-Wisteriapost-Attempt-Id", "attempt-" + this.attempts)
			.header("X-Wisteriapost-Deadline-Ms", "3000")
			.header("Authorization", "Bearer " + key);
	}

	@Override
	public void close() throws Exception {
		for (AutoCloseable part : this.parts.reversed()) {
			part.close();
		}
		this.site.close();
		this.caller.close();
	}

}
