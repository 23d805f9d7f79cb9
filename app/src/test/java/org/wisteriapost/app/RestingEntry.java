package org.wisteriapost.app;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

import org.wisteriapost.agent.site.SiteAgent;
import org.wisteriapost.entry.direct.DirectProcess;
import org.wisteriapost.platform.emulator.EmulatedSite;
import org.wisteriapost.protocol.http.HttpCall;
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.site.SiteProvider;

/**
 * Measures one entry process in a fleet of entries and agents, during startup and in
 * steady state: CPU time and voluntary context switches by thread, and read and write
 * system calls. The other entries and the agents run in this process; engines and the
 * store are emulated.
 */
public final class RestingEntry {

	private static final int MEASURED_ENTRY = 1;

	private static final long SETTLE_SECONDS = 15;

	private static final List<Long> STARTUP_SAMPLE_SECONDS = List.of(2L, 5L, 8L);

	private static final long START_INTERVAL_MILLIS = 60;

	private static final List<String> FAILURE_DOMAINS = List.of("hall-a", "hall-b", "hall-c");

	private final SiteProvider provider = SiteProvider.load();

	private final PrintStream discardedOutput = new PrintStream(OutputStream.nullOutputStream());

	private final PooledHttpClient caller = PooledHttpClient.create(2);

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);

	private final EmulatedSite site;

	private final Path folder;

	private final AtomicLong attempts = new AtomicLong();

	private final AtomicInteger completed = new AtomicInteger();

	private final AtomicInteger failed = new AtomicInteger();

	private final AtomicLong latencyNanos = new AtomicLong();

	private RestingEntry(EmulatedSite site, Path folder) {
		this.site = site;
		this.folder = folder;
	}

	/**
	 * Runs one measurement per set of flags and prints one line per counter.
	 * @param args duration in seconds, entries, agents, requests per second at each
	 * entry, events per stream, sets of additional JVM flags separated by semicolons, and
	 * the entry's command line without its main class
	 */
	public static void main(String[] args) throws IOException {
		Path folder = Files.createTempDirectory("resting-entry");
		try (EmulatedSite site = EmulatedSite.start()) {
			RestingEntry measurement = new RestingEntry(site, folder);
			measurement.startFleet(Integer.parseInt(args[1]), Integer.parseInt(args[2]), Integer.parseInt(args[4]));
			measurement.startLoad(Integer.parseInt(args[1]), Integer.parseInt(args[3]));
			for (String flags : args[5].split(";", -1)) {
				System.out.println("== additional flags: " + flags);
				measurement.measure(command(args, flags), Long.parseLong(args[0]));
			}
		}
		catch (Exception ex) {
			ex.printStackTrace();
			System.exit(1);
		}
		System.exit(0);
	}

	private static List<String> command(String[] args, String flags) {
		List<String> command = new ArrayList<>(Arrays.asList(args).subList(6, args.length));
		Stream.of(flags.split(" ")).filter((flag) -> !flag.isEmpty()).forEach(command::add);
		command.addAll(List.of(Main.class.getName(), "site", "entry"));
		return command;
	}

	private void startFleet(int entries, int agents, int eventsPerStream) throws Exception {
		this.site.addPlainRunner();
		for (int i = 1; i <= agents; i++) {
			this.site.addEngine(1, failureDomain(i)).eventsPerStream(eventsPerStream);
			SiteAgent.start(this.provider.settings(this.site.writeAgentSettings(this.folder, i, failureDomain(i))),
					this.provider, this.discardedOutput);
		}
		for (int i = MEASURED_ENTRY + 1; i <= entries; i++) {
			DirectProcess.start(this.provider.settings(this.site.writeEntrySettings(this.folder, i, failureDomain(i))),
					this.provider, this.discardedOutput);
			TimeUnit.MILLISECONDS.sleep(START_INTERVAL_MILLIS);
		}
		TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
		System.out
			.println("registered entries besides the measured one: " + this.site.store().count("wisteriapost-entries"));
	}

	private void startLoad(int entries, int rate) {
		for (int i = 1; rate > 0 && i <= entries; i++) {
			scheduleRequests(i, rate);
		}
	}

	private void measure(List<String> command, long seconds) throws Exception {
		ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
			.redirectOutput(this.folder.resolve("entry.log").toFile());
		builder.environment()
			.put(this.provider.settingsVariable(),
					this.site.writeEntrySettings(this.folder, MEASURED_ENTRY, failureDomain(MEASURED_ENTRY))
						.toString());
		long startNanos = System.nanoTime();
		Process entry = builder.start();
		try {
			for (long sampleSeconds : STARTUP_SAMPLE_SECONDS) {
				TimeUnit.NANOSECONDS.sleep(startNanos + TimeUnit.SECONDS.toNanos(sampleSeconds) - System.nanoTime());
				System.out.println("CPU time " + sampleSeconds + " s after start: "
						+ entry.info().totalCpuDuration().orElseThrow());
				ProcessCounters.printRates(Map.of(), ProcessCounters.read(entry.pid()), 1);
			}
			TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
			System.out.println(
					"CPU time before the steady-state measurement: " + entry.info().totalCpuDuration().orElseThrow());
			int completedBefore = this.completed.get();
			int failedBefore = this.failed.get();
			long latencyBefore = this.latencyNanos.get();
			Map<String, Long> before = ProcessCounters.read(entry.pid());
			TimeUnit.SECONDS.sleep(seconds);
			ProcessCounters.printRates(before, ProcessCounters.read(entry.pid()), seconds);
			int completedRequests = this.completed.get() - completedBefore;
			System.out.printf("requests at the measured entry: %d completed, %d failed, mean latency %.1f ms%n",
					completedRequests, this.failed.get() - failedBefore,
					(this.latencyNanos.get() - latencyBefore) / 1e6 / Math.max(1, completedRequests));
			System.out.println("log of the measured entry: " + this.folder.resolve("entry.log"));
		}
		finally {
			entry.destroy();
			entry.waitFor();
		}
	}

	private static String failureDomain(int number) {
		return FAILURE_DOMAINS.get(number % FAILURE_DOMAINS.size());
	}

	// Schedules requests at a fixed rate; two of three are streams.
	private void scheduleRequests(int entry, int rate) {
		long intervalMicros = TimeUnit.SECONDS.toMicros(1) / rate;
		this.timer.scheduleAtFixedRate(() -> {
			long number = this.attempts.incrementAndGet();
			long sent = System.nanoTime();
			this.caller.call(request(entry, number)).whenComplete((reply, failure) -> {
				if (entry != MEASURED_ENTRY) {
					return;
				}
				if (failure == null && reply.status() == 200) {
					this.completed.incrementAndGet();
					this.latencyNanos.addAndGet(System.nanoTime() - sent);
				}
				else {
					this.failed.incrementAndGet();
				}
			});
		}, intervalMicros * entry % 97, intervalMicros, TimeUnit.MICROSECONDS);
	}

	private HttpCall request(int entry, long number) {
		boolean lookup = number % 3 == 0;
		URI target = URI
			.create("http://127.7.1." + entry + ":" + this.site.port() + (lookup ? "/lookup/x" : "/draft/x"));
		return HttpCall.of(lookup ? "GET" : "POST", target, Duration.ofSeconds(3))
			.header("Host", EmulatedSite.HOST)
			.header("X-Wisteriapost-Attempt-Id", "attempt-" + number)
			.header("X-Wisteriapost-Deadline-Ms", "3000")
			.header("X-Wisteriapost-Token-Counts", "100,60")
			.header("Authorization", "Bearer " + EmulatedSite.KEY)
			.body(lookup ? new byte[0] : new byte[400]);
	}

}
