package org.wisteriapost.app;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import org.wisteriapost.platform.emulator.EmulatedSite;
import org.wisteriapost.protocol.site.SiteProvider;

/**
 * Entries of an {@link EmulatedSite}, each a process of its own, that can be killed,
 * terminated and paused. Their logs are beside their settings.
 */
final class EntryProcesses implements AutoCloseable {

	private static final List<String> FAILURE_DOMAINS = List.of("hall-a", "hall-b", "hall-c");

	// How long after a disturbance an entry is not held to limits.
	private static final long CONTACT_NANOS = Duration.ofSeconds(3).toNanos();

	private static final long MAX_SHUTDOWN_SECONDS = 15;

	private final EmulatedSite site;

	private final Path folder;

	private final List<String> command;

	private final String settingsVariable = SiteProvider.load().settingsVariable();

	private final Map<Integer, Process> running = new ConcurrentHashMap<>();

	private final List<Disturbance> disturbances = new CopyOnWriteArrayList<>();

	private EntryProcesses(EmulatedSite site, Path folder, List<String> command) {
		this.site = site;
		this.folder = folder;
		this.command = command;
	}

	/**
	 * Creates the entries of a site, of which none runs yet.
	 * @param classPath of the entries, of this build or another
	 */
	static EntryProcesses of(EmulatedSite site, Path folder, String classPath) {
		String java = ProcessHandle.current().info().command().orElseThrow();
		return new EntryProcesses(site, folder,
				List.of(java, "-Xms16m", "-Xmx112m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
						"--sun-misc-unsafe-memory-access=allow", "-Dwisteriapost.log.target=System.out", "-cp",
						classPath, Main.class.getName(), "site", "entry"));
	}

	static String failureDomain(int number) {
		return FAILURE_DOMAINS.get(number % FAILURE_DOMAINS.size());
	}

	/**
	 * Starts an entry.
	 */
	void start(int number) throws IOException {
		Path settings = this.site.writeEntrySettings(this.folder, number, failureDomain(number));
		ProcessBuilder builder = new ProcessBuilder(this.command).redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(log(number).toFile()));
		builder.environment().put(this.settingsVariable, settings.toString());
		disturbed(number);
		this.running.put(number, builder.start());
	}

	Path log(int number) {
		return this.folder.resolve("entry-" + number + ".log");
	}

	/**
	 * Kills an entry.
	 */
	void kill(int number) {
		disturbed(number);
		this.running.remove(number).destroyForcibly();
	}

	/**
	 * Terminates an entry and returns when it has ended, after its requests.
	 */
	void terminate(int number) throws InterruptedException {
		disturbed(number);
		Process process = this.running.remove(number);
		process.destroy();
		if (!process.waitFor(MAX_SHUTDOWN_SECONDS, TimeUnit.SECONDS)) {
			process.destroyForcibly().waitFor();
		}
	}

	/**
	 * Stops or continues the execution of an entry.
	 */
	void pause(int number, boolean paused) throws IOException {
		disturbed(number);
		signal(paused ? "-STOP" : "-CONT", this.running.get(number));
	}

	private static void signal(String signal, Process process) throws IOException {
		new ProcessBuilder("kill", signal, Long.toString(process.pid())).start();
	}

	private void disturbed(int number) {
		this.disturbances.add(new Disturbance(number, System.nanoTime()));
	}

	/**
	 * Returns whether an entry was disturbed shortly before or after a time.
	 */
	boolean disturbed(int number, long nanos) {
		return this.disturbances.stream()
			.anyMatch((one) -> one.entry == number && Math.abs(nanos - one.atNanos) < CONTACT_NANOS);
	}

	@Override
	public void close() throws Exception {
		for (Process process : new ArrayList<>(this.running.values())) {
			signal("-CONT", process);
			process.destroyForcibly().waitFor();
		}
	}

	private record Disturbance(int entry, long atNanos) {
	}

}
