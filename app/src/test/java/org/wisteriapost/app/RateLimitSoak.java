package org.wisteriapost.app;

import java.io.OutputStream;
import java.io.PrintStream;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wisteriapost.agent.site.SiteAgent;
import org.wisteriapost.platform.emulator.EmulatedRunner;
import org.wisteriapost.platform.emulator.EmulatedSite;
import org.wisteriapost.platform.emulator.OddSpec;
import org.wisteriapost.platform.emulator.RateLimitLedger;
import org.wisteriapost.protocol.http.HttpCall;
import org.wisteriapost.protocol.http.HttpResponseListener;
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.site.SiteProvider;

/**
 * A soak of entry processes whose runners name, change and lift limits on their rate,
 * beside faults of entries and of the store. Callers move from entry to entry.
 */
public final class RateLimitSoak implements AutoCloseable {

	private static final int ENTRIES = 6;

	private static final int ENGINES = 12;

	private static final int PLAIN_RUNNERS = 4;

	private static final int LIMITED_ENGINES = 4;

	private static final int SLOTS = 16;

	private static final int STREAMS_IN_PROGRESS = 120;

	private static final int LOOKUPS_PER_SECOND = 40;

	private static final int MIN_EVENTS = 4;

	private static final long EVENT_INTERVAL_MILLIS = 75;

	private static final long SETTLE_SECONDS = 12;

	private static final long FIRST_EVENT_MILLIS = 400;

	private static final Duration STREAM_TIMEOUT = Duration.ofSeconds(9);

	private static final int[] MAX_EVENTS = { 40, 80, 100 };

	private static final double[] LIMITS = { 0.5, 1, 1.8, 4 };

	private static final int OK = 200;

	private final EmulatedSite site = EmulatedSite.start();

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);

	private final PooledHttpClient caller = PooledHttpClient.create(2);

	private final UniformRandomProvider random;

	private final EntryProcesses entries;

	private final int maxEvents;

	private final PrintStream log;

	private final List<EmulatedRunner> limited = new ArrayList<>();

	private final List<AutoCloseable> agents = new ArrayList<>();

	private final AtomicLong attempts = new AtomicLong();

	private final AtomicLong served = new AtomicLong();

	private final AtomicLong unserved = new AtomicLong();

	private volatile int preferredEntry = 1;

	private int oddObjects;

	private RateLimitSoak(long seed, Path folder, String classPath) throws Exception {
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		this.maxEvents = MAX_EVENTS[this.random.nextInt(MAX_EVENTS.length)];
		this.entries = EntryProcesses.of(this.site, folder, classPath);
		this.log = new PrintStream(folder.resolve("limits.log").toFile());
		this.site.configureStreams(STREAM_TIMEOUT, SLOTS);
		startRunners(folder);
		for (int entry = 1; entry <= ENTRIES; entry++) {
			this.entries.start(entry);
		}
		startCallers();
	}

	/**
	 * Starts the entries, runners and callers of a seed.
	 * @param classPath of the entries, of this build or another
	 */
	static RateLimitSoak start(long seed, Path folder, String classPath) throws Exception {
		return new RateLimitSoak(seed, folder, classPath);
	}

	/**
	 * Runs consecutive seeds and prints a line for each.
	 * @param args first seed, number of seeds, seconds of each, the class path of the
	 * entries, and {@code faults} for disturbed entries
	 */
	public static void main(String[] args) throws Exception {
		boolean clean = true;
		long first = Long.parseLong(args[0]);
		for (long seed = first; seed < first + Long.parseLong(args[1]); seed++) {
			Path folder = Files.createTempDirectory("rate-limit-soak");
			try (RateLimitSoak soak = start(seed, folder, args[3])) {
				clean &= soak.run(Duration.ofSeconds(Long.parseLong(args[2])), args.length > 4).isEmpty();
				System.out.println("seed " + seed + " " + soak.summary() + " logs " + folder);
			}
		}
		System.exit(clean ? 0 : 1);
	}

	private void startRunners(Path folder) throws Exception {
		SiteProvider provider = SiteProvider.load();
		PrintStream discardedOutput = new PrintStream(OutputStream.nullOutputStream());
		for (int i = 1; i <= ENGINES; i++) {
			EmulatedRunner engine = this.site.addEngine(1, EntryProcesses.failureDomain(i));
			engine.answers().varyStreams(MIN_EVENTS, this.maxEvents, EVENT_INTERVAL_MILLIS);
			engine.answers().pauseBefore(1, FIRST_EVENT_MILLIS);
			this.agents.add(SiteAgent.start(
					provider.settings(this.site.writeAgentSettings(folder, i, EntryProcesses.failureDomain(i))),
					provider, discardedOutput));
			if (i <= LIMITED_ENGINES) {
				this.limited.add(engine);
			}
		}
		IntStream.range(0, PLAIN_RUNNERS).forEach((i) -> {
			EmulatedRunner runner = this.site.addPlainRunner();
			if (i == 0) {
				this.limited.add(runner);
			}
		});
	}

	private void startCallers() {
		long meanMillis = (MIN_EVENTS + this.maxEvents / 4) * EVENT_INTERVAL_MILLIS;
		every((int) (STREAMS_IN_PROGRESS * TimeUnit.SECONDS.toMillis(1) / meanMillis), () -> send("/draft/x"));
		every(LOOKUPS_PER_SECOND, () -> send("/lookup/x"));
		this.timer.scheduleAtFixedRate(() -> this.preferredEntry = 1 + this.preferredEntry % ENTRIES, 2, 2,
				TimeUnit.SECONDS);
	}

	private void every(int perSecond, Runnable action) {
		long micros = TimeUnit.SECONDS.toMicros(1) / perSecond;
		this.timer.scheduleAtFixedRate(action, micros, micros, TimeUnit.MICROSECONDS);
	}

	private void send(String path) {
		long number = this.attempts.incrementAndGet();
		int entry = (number % 2 == 0) ? this.preferredEntry : (int) (1 + number / 2 % ENTRIES);
		HttpCall call = request(entry, number, path);
		this.caller.stream(call, new Caller(call.headers().get("X-Wisteriapost-Attempt-Id")));
	}

	private HttpCall request(int entry, long number, String path) {
		URI target = URI.create("http://127.7.1." + entry + ":" + this.site.port() + path);
		String millis = Long.toString(STREAM_TIMEOUT.toMillis());
		return HttpCall.of("POST", target, STREAM_TIMEOUT.plusSeconds(1))
			.header("Host", EmulatedSite.HOST)
			.header("X-Wisteriapost-Attempt-Id", entry + RateLimitLedger.ENTRY_END + number)
			.header("X-Wisteriapost-Deadline-Ms", millis)
			.header("X-Wisteriapost-Token-Counts", "100,60")
			.header("Authorization", "Bearer " + EmulatedSite.KEY)
			.body(new byte[400]);
	}

	/**
	 * Plays limits, and faults if wanted, and returns the counts that exceed a limit.
	 */
	List<RateLimitLedger.Count> run(Duration time, boolean faults) throws Exception {
		TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
		long until = System.nanoTime() + time.toNanos();
		while (System.nanoTime() < until) {
			changeLimits();
			TimeUnit.MILLISECONDS.sleep(this.random.nextInt(6000, 15000));
			if (faults) {
				writeOddObject();
				disturb();
			}
		}
		return highestCounts().stream().filter(RateLimitLedger.Count::exceeded).toList();
	}

	// A limit that is named stays for several seconds, so that it is kept to.
	private void changeLimits() {
		for (EmulatedRunner runner : this.limited) {
			if (this.random.nextInt(3) > 0) {
				boolean named = this.random.nextInt(4) > 0;
				OptionalDouble limit = named ? OptionalDouble.of(LIMITS[this.random.nextInt(LIMITS.length)])
						: OptionalDouble.empty();
				runner.rateLimit().name(limit);
				this.log.println(Instant.now() + " " + runner.id() + " names " + limit);
			}
		}
	}

	// Another process overwrites the same object again and again.
	private void writeOddObject() {
		OddSpec odd = OddSpec.values()[this.oddObjects++ % OddSpec.values().length];
		this.site.store().putText("servers", "odd", odd.runner("registry"));
	}

	private void disturb() throws Exception {
		int entry = 1 + this.random.nextInt(ENTRIES);
		switch (this.random.nextInt(4)) {
			case 0 -> {
				this.entries.kill(entry);
				TimeUnit.MILLISECONDS.sleep(this.random.nextInt(3000));
				this.entries.start(entry);
			}
			case 1 -> {
				this.entries.terminate(entry);
				this.entries.start(entry);
			}
			case 2 -> {
				this.entries.pause(entry, true);
				TimeUnit.MILLISECONDS.sleep(this.random.nextInt(3000));
				this.entries.pause(entry, false);
			}
			default -> {
				this.site.store().setUnavailable(true);
				TimeUnit.MILLISECONDS.sleep(this.random.nextInt(5000));
				this.site.store().setUnavailable(false);
			}
		}
	}

	private List<RateLimitLedger.Count> highestCounts() {
		return this.limited.stream().flatMap((runner) -> highestCounts(runner).stream()).toList();
	}

	private List<RateLimitLedger.Count> highestCounts(EmulatedRunner runner) {
		return runner.rateLimit()
			.highestCounts((entry, nanos) -> this.entries.disturbed(Integer.parseInt(entry), nanos));
	}

	long served() {
		return this.served.get();
	}

	long unserved() {
		return this.unserved.get();
	}

	String summary() {
		Map<Double, Integer> highest = new TreeMap<>();
		highestCounts().forEach((count) -> highest.merge(count.perSecond(), count.requests(), Math::max));
		List<String> exceeded = this.limited.stream()
			.flatMap((runner) -> highestCounts(runner).stream()
				.filter(RateLimitLedger.Count::exceeded)
				.map((count) -> runner.id() + " " + count.perSecond() + "/s " + count.requests() + " from "
						+ wallTime(count.fromNanos())))
			.toList();
		return "exceeded " + exceeded + " highest in 4 s by limit " + highest + " served " + this.served + " unserved "
				+ this.unserved;
	}

	private static Instant wallTime(long nanos) {
		return Instant.now().minusNanos(System.nanoTime() - nanos);
	}

	@Override
	public void close() throws Exception {
		this.timer.shutdownNow();
		this.entries.close();
		for (AutoCloseable agent : this.agents) {
			agent.close();
		}
		this.caller.close();
		this.site.close();
		this.log.close();
	}

	/** A caller of one request. */
	private final class Caller implements HttpResponseListener {

		private final String attempt;

		private int status;

		private Caller(String attempt) {
			this.attempt = attempt;
		}

		@Override
		public void onHead(int code, Map<String, String> headers) {
			this.status = code;
			Optional.ofNullable(headers.get(EmulatedRunner.LIMIT_HEADER.toLowerCase(Locale.ROOT)))
				.map(Double::valueOf)
				.ifPresent((named) -> runner(headers).rateLimit().passedOn(this.attempt, named));
		}

		private EmulatedRunner runner(Map<String, String> headers) {
			String signature = headers.get(EmulatedRunner.SIGNATURE_HEADER.toLowerCase(Locale.ROOT));
			return RateLimitSoak.this.limited.stream()
				.filter((one) -> signature.equals(EmulatedRunner.SIGNATURE_START + one.id()))
				.findFirst()
				.orElseThrow();
		}

		@Override
		public void onData(byte[] data) {
			// What is answered is not looked at here.
		}

		@Override
		public void onEnd() {
			((this.status == OK) ? RateLimitSoak.this.served : RateLimitSoak.this.unserved).incrementAndGet();
		}

		@Override
		public void onFailure(boolean sent, Throwable cause) {
			RateLimitSoak.this.unserved.incrementAndGet();
		}

	}

}
