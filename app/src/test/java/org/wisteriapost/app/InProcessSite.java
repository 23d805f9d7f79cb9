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
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.site.SiteProvider;

/**
 * An {@link EmulatedSite} with entries and agents that run in this process, and an HTTP
 * client for requests to them.
 */
final class InProcessSite implements AutoCloseable {

	private final SiteProvider provider = SiteProvider.load();

	private final PrintStream discardedOutput = new PrintStream(OutputStream.nullOutputStream());

	private final PooledHttpClient caller = PooledHttpClient.create(1);

	private final List<AutoCloseable> resources = new ArrayList<>();

	private final EmulatedSite site;

	private final Path folder;

	private int attempts;

	private InProcessSite(EmulatedSite site, Path folder) {
		this.site = site;
		this.folder = folder;
	}

	/**
	 * Starts a site without entries and agents.
	 * @param folder the folder for settings files
	 */
	static InProcessSite start(Path folder) throws Exception {
		return of(EmulatedSite.start(), folder);
	}

	/**
	 * Adds entries and agents to a running site.
	 * @param folder the folder for settings files
	 */
	static InProcessSite of(EmulatedSite site, Path folder) {
		return new InProcessSite(site, folder);
	}

	EmulatedSite emulatedSite() {
		return this.site;
	}

	SiteProvider provider() {
		return this.provider;
	}

	PooledHttpClient caller() {
		return this.caller;
	}

	Path writeEntrySettings(int number) throws Exception {
		return this.site.writeEntrySettings(this.folder, number);
	}

	Path writeAgentSettings(int number) throws Exception {
		return this.site.writeAgentSettings(this.folder, number);
	}

	DirectProcess startEntry(Path settings) {
		return closeWithSite(
				DirectProcess.start(this.provider.settings(settings), this.provider, this.discardedOutput));
	}

	void startAgent(int number) throws Exception {
		closeWithSite(SiteAgent.start(this.provider.settings(writeAgentSettings(number)), this.provider,
				this.discardedOutput));
	}

	/**
	 * Registers a resource to be closed before the site.
	 */
	<T extends AutoCloseable> T closeWithSite(T resource) {
		this.resources.add(resource);
		return resource;
	}

	/**
	 * Returns a request to an entry, with a new attempt id.
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
		for (AutoCloseable resource : this.resources.reversed()) {
			resource.close();
		}
		this.site.close();
		this.caller.close();
	}

}
