package org.wisteriapost.standin.soak;

import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Main class of {@code scripts/soak}. Prints a JSON line for each seed; exits with 1 if
 * any invariant was violated.
 */
public final class Soak {

	private static final int USAGE_ERROR = 2;

	private Soak() {
	}

	/**
	 * Runs consecutive seeds until the time is over, but at least one.
	 */
	public static void main(String[] args) throws JsonProcessingException {
		CommandLine line = parse(args);
		long seed = Long.parseLong(line.getOptionValue("seed", "1"));
		long seconds = Long.parseLong(line.getOptionValue("seconds", "30"));
		long virtualSeconds = Long.parseLong(line.getOptionValue("virtual", "300"));
		long end = System.nanoTime() + seconds * VirtualTime.SECOND;
		boolean clean = true;
		do {
			Map<String, Object> result = run(seed++, virtualSeconds,
					new SoakOptions(line.hasOption("poison"), line.hasOption("answers"), line.hasOption("stray")));
			System.out.println(JsonMapper.builder().build().writeValueAsString(result));
			clean &= ((Map<?, ?>) result.get("violations")).isEmpty();
		}
		while (System.nanoTime() < end);
		System.exit(clean ? 0 : 1);
	}

	/**
	 * Runs one seed and returns its counters and violations.
	 * @param seconds the virtual time during which faults are injected
	 */
	public static Map<String, Object> run(long seed, long seconds) {
		return run(seed, seconds, SoakOptions.NONE);
	}

	/**
	 * Runs one seed and returns its counters and violations.
	 * @param seconds the virtual time during which faults are injected
	 */
	static Map<String, Object> run(long seed, long seconds, SoakOptions options) {
		SoakFleet fleet = new SoakFleet(seed, options);
		fleet.run(seconds * VirtualTime.SECOND);
		Map<String, Object> result = new LinkedHashMap<>();
		result.put("seed", seed);
		result.put("virtualSeconds", seconds);
		result.put("events", fleet.time().events());
		result.put("counts", fleet.ledger().counts());
		result.put("faults", fleet.faults().counts());
		result.put("platformReads", fleet.platform().reads());
		result.put("platformWrites", fleet.platform().writes());
		result.put("violations", fleet.invariants().violations());
		return result;
	}

	private static CommandLine parse(String[] args) {
		Options options = new Options().addOption(option("seed", "first seed, default 1"))
			.addOption(option("seconds", "time after which no further seed starts, default 30"))
			.addOption(Option.builder().longOpt("poison").desc("also send requests that crash runners").get())
			.addOption(Option.builder()
				.longOpt("answers")
				.desc("runners also pause, answer without length or chunks, and end streams within an event")
				.get())
			.addOption(Option.builder()
				.longOpt("stray")
				.desc("runners also send ends and rejections twice, and events without an end")
				.get())
			.addOption(option("virtual", "virtual seconds with faults in each run, default 300"));
		try {
			return new DefaultParser().parse(options, args);
		}
		catch (ParseException ex) {
			System.err.println(ex.getMessage());
			options.getOptions()
				.forEach((option) -> System.err.println("  --" + option.getLongOpt() + " " + option.getDescription()));
			System.exit(USAGE_ERROR);
			throw new IllegalStateException(ex);
		}
	}

	private static Option option(String name, String text) {
		return Option.builder().longOpt(name).hasArg().desc(text).get();
	}

}
