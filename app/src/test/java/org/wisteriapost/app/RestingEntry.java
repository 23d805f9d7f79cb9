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
import org.wisteriapost.protocol.http.HttpCaller;
import org.wisteriapost.protocol.site.SiteProvider;

/**
 * Measures one entry process among many entries and agents: run time and voluntary waits
 * by thread, and calls that read or write, at its start and when it has settled. The
 * other entries and the agents are the real ones, all in this process; engines and the
 * store are emulated.
 */
public final class RestingEntry {

	private static final int MEASURED = 1;

	private static final long SETTLE_SECONDS = 15;

	private static final List<Long> START_SECONDS = List.of(2L, 5L, 8L);

	private static final long APART_MILLIS = 60;

	private static final List<String> PLACES = List.of("hall-a", "hall-b", "hall-c");

	private final SiteProvider provider = SiteProvider.load();

	private final PrintStream quiet = new PrintStream(OutputStream.nullOutputStream());

	private final HttpCaller caller = HttpCaller.create(2);

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);

	private final EmulatedSite site;

	private final Path folder;

	private final AtomicLong attempts = new AtomicLong();

	private final AtomicInteger answered = new AtomicInteger();

	private final AtomicInteger refused = new AtomicInteger();

	private final AtomicLong waitedNanos = new AtomicLong();

	private RestingEntry(EmulatedSite site, Path folder) {
		this.site = site;
		this.folder = folder;
	}

	/**
	 * Measures once and prints a line a thread.
	 * @param args seconds, entries, agents, requests a second at each entry, events of an
	 * answer, sets of further flags parted by semicolons, program and arguments of the
	 * entry without its main class
	 */
	public static void main(String[] args) throws IOException {
		Path folder = Files.createTempDirectory("resting-entry");
		try (EmulatedSite site = EmulatedSite.start()) {
			RestingEntry measuring = new RestingEntry(site, folder);
			measuring.surroundings(Integer.parseInt(args[1]), Integer.parseInt(args[2]), Integer.parseInt(args[4]));
			measuring.load(Integer.parseInt(args[1]), Integer.parseInt(args[3]));
			for (String flags : args[5].split(";", -1)) {
				System.out.println("== further flags: " + flags);
				measuring.measure(command(args, flags), Long.parseLong(args[0]));
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

	private void surroundings(int entries, int agents, int events) throws Exception {
		this.site.addPlainRunner();
		for (int i = 1; i <= agents; i++) {
			this.site.addEngine(1, place(i)).eventsPerStream(events);
			SiteAgent.start(this.provider.settings(this.site.writeAgentSettings(this.folder, i, place(i))),
					this.provider, this.quiet);
		}
		for (int i = MEASURED + 1; i <= entries; i++) {
			DirectProcess.start(this.provider.settings(this.site.writeEntrySettings(this.folder, i, place(i))),
					this.provider, this.quiet);
			TimeUnit.MILLISECONDS.sleep(APART_MILLIS);
		}
		TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
		System.out.println("registered beside the measured one: " + this.site.store().count("wisteriapost-entries"));
	}

	private void load(int entries, int rate) {
		for (int i = 1; rate > 0 && i <= entries; i++) {
			call(i, rate);
		}
	}

	private void measure(List<String> command, long seconds) throws Exception {
		ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
			.redirectOutput(this.folder.resolve("entry.log").toFile());
		builder.environment()
			.put(this.provider.settingsVariable(),
					this.site.writeEntrySettings(this.folder, MEASURED, place(MEASURED)).toString());
		long started = System.nanoTime();
		Process entry = builder.start();
		try {
			for (long at : START_SECONDS) {
				TimeUnit.NANOSECONDS.sleep(started + TimeUnit.SECONDS.toNanos(at) - System.nanoTime());
				System.out
					.println("used " + at + " s after its start: " + entry.info().totalCpuDuration().orElseThrow());
				ProcessCounts.print(Map.of(), ProcessCounts.of(entry.pid()), 1);
			}
			TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
			System.out.println("used until it is taken for settled: " + entry.info().totalCpuDuration().orElseThrow());
			int answeredBefore = this.answered.get();
			int refusedBefore = this.refused.get();
			long waitedBefore = this.waitedNanos.get();
			Map<String, Long> before = ProcessCounts.of(entry.pid());
			TimeUnit.SECONDS.sleep(seconds);
			ProcessCounts.print(before, ProcessCounts.of(entry.pid()), seconds);
			int done = this.answered.get() - answeredBefore;
			System.out.printf("requests at the measured entry: %d whole, %d not, %.1f ms each%n", done,
					this.refused.get() - refusedBefore,
					(this.waitedNanos.get() - waitedBefore) / 1e6 / Math.max(1, done));
			System.out.println("its log: " + this.folder.resolve("entry.log"));
		}
		finally {
			entry.destroy();
			entry.waitFor();
		}
	}

	private static String place(int number) {
		return PLACES.get(number % PLACES.size());
	}

	// Two of three requests are streams.
	private void call(int entry, int rate) {
		long everyMicros = TimeUnit.SECONDS.toMicros(1) / rate;
		this.timer.scheduleAtFixedRate(() -> {
			long number = this.attempts.incrementAndGet();
			long sent = System.nanoTime();
			this.caller.call(request(entry, number)).whenComplete((reply, failure) -> {
				if (entry != MEASURED) {
					return;
				}
				if (failure == null && reply.status() == 200) {
					this.answered.incrementAndGet();
					this.waitedNanos.addAndGet(System.nanoTime() - sent);
				}
				else {
					this.refused.incrementAndGet();
				}
			});
		}, everyMicros * entry % 97, everyMicros, TimeUnit.MICROSECONDS);
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
