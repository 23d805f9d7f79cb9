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
 * Main of {@code scripts/soak}: one JSON line for each seed, exit 1 on any violation.
 */
public final class Soak {

	private static final int BAD_INPUT = 2;

	private Soak() {
	}

	/**
	 * Runs seeds one after the other until the time is over, at least one.
	 */
	public static void main(String[] args) throws JsonProcessingException {
		CommandLine line = parse(args);
		long seed = Long.parseLong(line.getOptionValue("seed", "1"));
		long seconds = Long.parseLong(line.getOptionValue("seconds", "30"));
		long virtual = Long.parseLong(line.getOptionValue("virtual", "300"));
		long end = System.nanoTime() + seconds * VirtualTime.SECOND;
		boolean clean = true;
		do {
			Map<String, Object> result = run(seed++, virtual);
			System.out.println(JsonMapper.builder().build().writeValueAsString(result));
			clean &= ((Map<?, ?>) result.get("violations")).isEmpty();
		}
		while (System.nanoTime() < end);
		System.exit(clean ? 0 : 1);
	}

	/**
	 * Returns what one run counted.
	 * @param seconds of virtual time under faults
	 */
	public static Map<String, Object> run(long seed, long seconds) {
		SoakWorld world = new SoakWorld(seed);
		world.run(seconds * VirtualTime.SECOND);
		Map<String, Object> result = new LinkedHashMap<>();
		result.put("seed", seed);
		result.put("virtualSeconds", seconds);
		result.put("events", world.time().events());
		result.put("counts", world.ledger().counts());
		result.put("faults", world.faults().counts());
		result.put("platformReads", world.platform().reads());
		result.put("platformWrites", world.platform().writes());
		result.put("violations", world.invariants().violations());
		return result;
	}

	private static CommandLine parse(String[] args) {
		Options options = new Options().addOption(option("seed", "S of the first run, default 1"))
			.addOption(option("seconds", "T to go on with further seeds for, default 30"))
			.addOption(option("virtual", "seconds under faults in each run, default 300"));
		try {
			return new DefaultParser().parse(options, args);
		}
		catch (ParseException ex) {
			System.err.println(ex.getMessage());
			options.getOptions()
				.forEach((option) -> System.err.println("  --" + option.getLongOpt() + " " + option.getDescription()));
			System.exit(BAD_INPUT);
			throw new IllegalStateException(ex);
		}
	}

	private static Option option(String name, String text) {
		return Option.builder().longOpt(name).hasArg().desc(text).get();
	}

}
