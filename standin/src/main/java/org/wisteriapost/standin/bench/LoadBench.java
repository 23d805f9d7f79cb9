package org.wisteriapost.standin.bench;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.wisteriapost.standin.sim.EntryPolicy;
import org.wisteriapost.standin.sim.LoadProfile;
import org.wisteriapost.standin.sim.LoadResult;
import org.wisteriapost.standin.sim.LoadSim;
import org.wisteriapost.standin.sim.RoundRobinPolicy;
import org.wisteriapost.standin.sim.StateMachinePolicy;

/**
 * Compares policies under the same load in virtual time.
 */
public final class LoadBench implements BenchCommand {

	private static final Map<String, EntryPolicy.Factory> POLICIES = Map.of("naive", RoundRobinPolicy::create,
			"machine", StateMachinePolicy::create);

	private static final int EXIT_USAGE = 2;

	private static final int EXIT_VIOLATED = 1;

	@Override
	public String name() {
		return "load";
	}

	@Override
	public String summary() {
		return "--profile burst|skew|skew-one-entry|slow-endpoint|mixed|saturation --seed S --policy naive,machine [--entries 6] [--gate-queue 0]";
	}

	@Override
	public int run(List<String> args, PrintStream out) {
		Options options = new Options();
		options.addOption(Option.builder().longOpt("profile").hasArg().required().get());
		options.addOption(Option.builder().longOpt("seed").hasArg().get());
		options.addOption(Option.builder().longOpt("policy").hasArg().get());
		options.addOption(Option.builder().longOpt("entries").hasArg().get());
		options.addOption(Option.builder().longOpt("gate-queue").hasArg().get());
		try {
			CommandLine line = new DefaultParser().parse(options, args.toArray(String[]::new));
			long seed = Long.parseLong(line.getOptionValue("seed", "1"));
			List<String> policies = List.of(line.getOptionValue("policy", "naive,machine").split(","));
			Optional<LoadProfile> profile = LoadProfile.named(line.getOptionValue("profile"));
			if (profile.isEmpty() || !POLICIES.keySet().containsAll(policies)) {
				System.err.println(summary());
				return EXIT_USAGE;
			}
			int entries = Integer.parseInt(line.getOptionValue("entries", "6"));
			int queue = Integer.parseInt(line.getOptionValue("gate-queue", "0"));
			return compare(profile.get().withEntries(entries).gateQueue(queue), policies, seed, out);
		}
		catch (ParseException | NumberFormatException ex) {
			System.err.println(ex.getMessage() + "; " + summary());
			return EXIT_USAGE;
		}
	}

	private static int compare(LoadProfile profile, List<String> policies, long seed, PrintStream out) {
		int exit = 0;
		for (String policy : policies) {
			LoadResult result = LoadSim.run(profile, POLICIES.get(policy), seed);
			out.println(json(profile, policy, seed, result));
			exit = result.violations().isEmpty() ? exit : EXIT_VIOLATED;
		}
		return exit;
	}

	private static String json(LoadProfile profile, String policy, long seed, LoadResult result) {
		Map<String, Object> line = new LinkedHashMap<>();
		line.put("profile", profile.name());
		line.put("policy", policy);
		line.put("seed", seed);
		line.put("goodput", round(result.goodput()));
		line.putAll(group(result.all()));
		line.put("refusalP99Millis", round(result.refusalLatencies().getValueAtPercentile(99) / 1000.0));
		line.put("refusedAtOnce", round(result.refusalLatencies().getPercentileAtOrBelowValue(5000) / 100));
		line.put("retries", result.retries());
		line.put("gateRefusals", result.gateRefusals());
		line.put("codes", result.codes());
		line.put("violations", result.violations());
		Map<String, Object> groups = new LinkedHashMap<>();
		result.groups().forEach((name, group) -> groups.put(name, group(group)));
		line.put("groups", groups);
		try {
			return new ObjectMapper().writeValueAsString(line);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static Map<String, Object> group(LoadResult.Group group) {
		Map<String, Object> figures = new LinkedHashMap<>();
		figures.put("requests", group.requests());
		figures.put("inTime", round(group.inTimeShare()));
		figures.put("refused", group.refused());
		figures.put("failed", group.failed());
		figures.put("p50Millis", round(group.latencyMillis(50)));
		figures.put("p95Millis", round(group.latencyMillis(95)));
		figures.put("p99Millis", round(group.latencyMillis(99)));
		return figures;
	}

	private static double round(double value) {
		return Math.round(value * 10_000) / 10_000.0;
	}

}
