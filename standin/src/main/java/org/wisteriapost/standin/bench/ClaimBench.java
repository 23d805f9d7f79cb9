package org.wisteriapost.standin.bench;

import java.io.PrintStream;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.outside.Platform;
import org.wisteriapost.protocol.outside.http.HttpPlatform;
import org.wisteriapost.standin.PlatformServer;

/**
 * Measures what calls that may run at most once cost the platform at several rates:
 * claims by several entries, each followed by storing the response, over HTTP against a
 * platform stand-in with rate limits.
 */
public final class ClaimBench implements BenchCommand {

	private static final long NANOS_PER_MILLI = 1_000_000;

	// Claims that are still queued when the load ends are waited for and counted.
	private static final long DRAIN_MILLIS = 3000;

	@Override
	public String name() {
		return "claims";
	}

	@Override
	public String summary() {
		return "--rates 20,100,500 [--entries 6] [--seconds 8] [--writes 35] [--limit 300] [--seed 1]";
	}

	@Override
	public int run(List<String> args, PrintStream out) throws ParseException {
		Options options = new Options();
		for (String name : List.of("rates", "entries", "seconds", "writes", "limit", "seed")) {
			options.addOption(Option.builder().longOpt(name).hasArg().get());
		}
		CommandLine line = new DefaultParser().parse(options, args.toArray(String[]::new));
		LoadOptions load = new LoadOptions(number(line, "entries", 6), number(line, "seconds", 8),
				number(line, "writes", 35), number(line, "limit", 300), number(line, "seed", 1));
		for (String rate : line.getOptionValue("rates", "20,100,500").split(",")) {
			out.println(run(load, Integer.parseInt(rate)));
		}
		return 0;
	}

	private static int number(CommandLine line, String name, int fallback) {
		return Integer.parseInt(line.getOptionValue(name, String.valueOf(fallback)));
	}

	private static String run(LoadOptions load, int rate) {
		LongAdder refused = new LongAdder();
		ConcurrentHistogram latency = new ConcurrentHistogram(3);
		try (PlatformServer server = PlatformServer.start("127.0.0.1", 0, 2000, load.limit);
				PooledHttpClient caller = PooledHttpClient.create(2)) {
			Platform platform = HttpPlatform.at(caller, URI.create("http://127.0.0.1:" + server.port()));
			List<ClaimLoadGenerator> entries = new ArrayList<>();
			for (int i = 0; i < load.entries; i++) {
				entries.add(ClaimLoadGenerator.start(platform, load.writes, load.seed + i, latency, refused));
			}
			long submitted = offer(entries, rate, load.seconds);
			pause(DRAIN_MILLIS * NANOS_PER_MILLI);
			entries.forEach(ClaimLoadGenerator::close);
			return json(load, rate, submitted, latency, refused.sum(), server.counts());
		}
	}

	private static long offer(List<ClaimLoadGenerator> entries, int rate, int seconds) {
		long start = System.nanoTime();
		long total = (long) rate * seconds;
		for (long i = 0; i < total; i++) {
			long due = start + i * 1_000_000_000L / rate;
			pause(due - System.nanoTime());
			entries.get((int) (i % entries.size())).offer(i);
		}
		return total;
	}

	private static void pause(long nanos) {
		if (nanos > 0) {
			LockSupport.parkNanos(nanos);
		}
	}

	private static String json(LoadOptions load, int rate, long submitted, Histogram latency, long refused,
			Map<String, Long> counts) {
		double claimed = Math.max(1, latency.getTotalCount());
		long puts = counts.getOrDefault("put", 0L);
		return String.format(Locale.ROOT,
				"{\"bench\":\"claims\",\"entries\":%d,\"rate\":%d,\"asked\":%d,\"claimed\":%d,\"refused\":%d,"
						+ "\"writesPerCall\":%.3f,\"readsPerCall\":%.3f,\"conflictShare\":%.3f,"
						+ "\"writesPerSecond\":%.1f,\"platformRefused\":%d,\"p50Millis\":%.1f,\"p99Millis\":%.1f}",
				load.entries, rate, submitted, latency.getTotalCount(), refused, puts / claimed,
				counts.getOrDefault("get", 0L) / claimed, counts.getOrDefault("conflict", 0L) / Math.max(1.0, puts),
				puts / (load.seconds + DRAIN_MILLIS / 1000.0), counts.getOrDefault("refused", 0L),
				latency.getValueAtPercentile(50) / (double) NANOS_PER_MILLI,
				latency.getValueAtPercentile(99) / (double) NANOS_PER_MILLI);
	}

	private record LoadOptions(int entries, int seconds, int writes, int limit, int seed) {
	}

}
