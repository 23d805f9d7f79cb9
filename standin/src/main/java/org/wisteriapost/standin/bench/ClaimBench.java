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
import org.wisteriapost.protocol.http.HttpCaller;
import org.wisteriapost.protocol.outside.Platform;
import org.wisteriapost.protocol.outside.http.HttpPlatform;
import org.wisteriapost.standin.PlatformServer;

/**
 * Counts what calls that may run at most once cost the platform, at several rates: claims
 * of several entries, each followed by the answer that is kept, against the stand-in over
 * HTTP with the limits of the real one.
 */
public final class ClaimBench implements BenchCommand {

	private static final long MILLI = 1_000_000;

	// What waits for its turn when the load ends still counts.
	private static final long TAIL_MILLIS = 3000;

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
		Load load = new Load(number(line, "entries", 6), number(line, "seconds", 8), number(line, "writes", 35),
				number(line, "limit", 300), number(line, "seed", 1));
		for (String rate : line.getOptionValue("rates", "20,100,500").split(",")) {
			out.println(run(load, Integer.parseInt(rate)));
		}
		return 0;
	}

	private static int number(CommandLine line, String name, int fallback) {
		return Integer.parseInt(line.getOptionValue(name, String.valueOf(fallback)));
	}

	private static String run(Load load, int rate) {
		LongAdder refused = new LongAdder();
		ConcurrentHistogram latency = new ConcurrentHistogram(3);
		try (PlatformServer server = PlatformServer.start("127.0.0.1", 0, 2000, load.limit);
				HttpCaller caller = HttpCaller.create(2)) {
			Platform platform = HttpPlatform.at(caller, URI.create("http://127.0.0.1:" + server.port()));
			List<ClaimLoad> entries = new ArrayList<>();
			for (int i = 0; i < load.entries; i++) {
				entries.add(ClaimLoad.start(platform, load.writes, load.seed + i, latency, refused));
			}
			long asked = offer(entries, rate, load.seconds);
			pause(TAIL_MILLIS * MILLI);
			entries.forEach(ClaimLoad::close);
			return json(load, rate, asked, latency, refused.sum(), server.counts());
		}
	}

	private static long offer(List<ClaimLoad> entries, int rate, int seconds) {
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

	private static String json(Load load, int rate, long asked, Histogram latency, long refused,
			Map<String, Long> counts) {
		double claimed = Math.max(1, latency.getTotalCount());
		long puts = counts.getOrDefault("put", 0L);
		return String.format(Locale.ROOT,
				"{\"bench\":\"claims\",\"entries\":%d,\"rate\":%d,\"asked\":%d,\"claimed\":%d,\"refused\":%d,"
						+ "\"writesPerCall\":%.3f,\"readsPerCall\":%.3f,\"conflictShare\":%.3f,"
						+ "\"writesPerSecond\":%.1f,\"platformRefused\":%d,\"p50Millis\":%.1f,\"p99Millis\":%.1f}",
				load.entries, rate, asked, latency.getTotalCount(), refused, puts / claimed,
				counts.getOrDefault("get", 0L) / claimed, counts.getOrDefault("conflict", 0L) / Math.max(1.0, puts),
				puts / (load.seconds + TAIL_MILLIS / 1000.0), counts.getOrDefault("refused", 0L),
				latency.getValueAtPercentile(50) / (double) MILLI, latency.getValueAtPercentile(99) / (double) MILLI);
	}

	private record Load(int entries, int seconds, int writes, int limit, int seed) {
	}

}
