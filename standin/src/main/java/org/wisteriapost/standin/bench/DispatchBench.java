package org.wisteriapost.standin.bench;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.wisteriapost.kernel.command.ExitCodes;
import org.wisteriapost.standin.sim.dispatch.DispatchProfile;
import org.wisteriapost.standin.sim.dispatch.DispatchResult;
import org.wisteriapost.standin.sim.dispatch.DispatchSim;
import org.wisteriapost.standin.sim.dispatch.EngineProfile;

/**
 * {@code scripts/bench dispatch}: who waits, who is refused and who comes back, at many
 * entries in virtual time.
 */
public final class DispatchBench implements BenchCommand {

	private static final int DEFAULT_SEEDS = 5;

	@Override
	public String name() {
		return "dispatch";
	}

	@Override
	public String summary() {
		return "[--seeds 5] [--engines long-passes,short-passes] [--fleet ENTRIESxENGINES] [--profile NAME,...] [--final-refusals]";
	}

	@Override
	public int run(List<String> args, PrintStream out) throws ParseException {
		Options options = new Options();
		options.addOption(Option.builder().longOpt("seeds").hasArg().get());
		options.addOption(Option.builder().longOpt("engines").hasArg().get());
		options.addOption(Option.builder().longOpt("fleet").hasArg().get());
		options.addOption(Option.builder().longOpt("profile").hasArg().get());
		options.addOption(Option.builder().longOpt("final-refusals").get());
		CommandLine line = new DefaultParser().parse(options, args.toArray(String[]::new));
		int seeds = number("--seeds", line.getOptionValue("seeds", String.valueOf(DEFAULT_SEEDS)));
		UnaryOperator<DispatchProfile> fleet = fleet(line.getOptionValue("fleet", ""));
		UnaryOperator<DispatchProfile> variant = line.hasOption("final-refusals")
				? (profile) -> fleet.apply(profile).withFinalRefusals() : fleet;
		Optional<String> only = Optional.ofNullable(line.getOptionValue("profile"));
		for (String name : line.getOptionValue("engines", "long-passes,short-passes").split(",")) {
			EngineProfile engines = EngineProfile.named(name)
				.orElseThrow(() -> new ParseException("unknown engines: " + name));
			for (DispatchProfile profile : DispatchProfile.all(engines)) {
				if (only.isEmpty() || List.of(only.get().split(",")).contains(profile.name())) {
					print(name, variant.apply(profile), seeds, out);
				}
			}
		}
		return ExitCodes.OK;
	}

	private static UnaryOperator<DispatchProfile> fleet(String text) throws ParseException {
		if (text.isEmpty()) {
			return UnaryOperator.identity();
		}
		String[] sizes = text.split("x", 2);
		int entries = number("--fleet", sizes[0]);
		int engines = number("--fleet", (sizes.length > 1) ? sizes[1] : "");
		return (profile) -> profile.withFleet(entries, engines);
	}

	private static int number(String option, String text) throws ParseException {
		try {
			int number = Integer.parseInt(text);
			if (number > 0) {
				return number;
			}
		}
		catch (NumberFormatException ex) {
			// Reported below, as a number that is not positive is.
		}
		throw new ParseException(option + ": not a positive number: " + text);
	}

	private static void print(String engines, DispatchProfile profile, int seeds, PrintStream out) {
		List<DispatchResult> results = LongStream.rangeClosed(1, seeds)
			.parallel()
			.mapToObj((seed) -> DispatchSim.run(profile, seed))
			.toList();
		out.printf(Locale.ROOT,
				"{\"engines\":\"%s\",\"profile\":\"%s\",\"seeds\":%d,\"earned\":%.4f,\"earnedSpread\":%.4f,"
						+ "\"worstWindows\":%.4f,\"inTime\":%.4f,\"late\":%.4f,\"refused\":%.4f,\"failed\":%.4f,"
						+ "\"returnedServed\":%.4f,\"refusedAgain\":%.4f,\"held\":%.4f}%n",
				engines, profile.name(), seeds, mean(results, DispatchResult::earnedShare),
				spread(results, DispatchResult::earnedShare), mean(results, DispatchResult::worstWindows),
				mean(results, DispatchResult::inTimeShare), mean(results, DispatchResult::lateShare),
				mean(results, DispatchResult::refusedShare), mean(results, DispatchResult::failedShare),
				mean(results, DispatchResult::returnedServedShare), mean(results, DispatchResult::refusedAgainShare),
				mean(results, DispatchResult::heldShare));
		if (profile.kinds().size() > 1) {
			out.printf(Locale.ROOT,
					"{\"profile\":\"%s\",\"earnedByKind\":%s,\"servedByKind\":%s,\"largestServed\":%.4f,"
							+ "\"servedByOrganisation\":%s,\"servedDuringOrganisationBurst\":%s}%n",
					profile.name(), means(results, DispatchResult::earnedByKind),
					means(results, DispatchResult::servedByKind), mean(results, DispatchResult::largestServedShare),
					means(results, DispatchResult::servedByOrganisation),
					means(results, DispatchResult::servedDuringOrganisationBurst));
		}
	}

	private static <K extends Comparable<K>> String means(List<DispatchResult> results,
			Function<DispatchResult, Map<K, Double>> shares) {
		Map<K, Double> means = results.stream()
			.flatMap((result) -> shares.apply(result).entrySet().stream())
			.collect(Collectors.groupingBy(Map.Entry::getKey, TreeMap::new,
					Collectors.averagingDouble(Map.Entry::getValue)));
		return means.entrySet()
			.stream()
			.map((mean) -> String.format(Locale.ROOT, "\"%s\":%.3f", mean.getKey(), mean.getValue()))
			.collect(Collectors.joining(",", "{", "}"));
	}

	private static double mean(List<DispatchResult> results, ToDoubleFunction<DispatchResult> figure) {
		return results.stream().mapToDouble(figure).average().orElse(0);
	}

	private static double spread(List<DispatchResult> results, ToDoubleFunction<DispatchResult> figure) {
		return results.stream().mapToDouble(figure).max().orElse(0)
				- results.stream().mapToDouble(figure).min().orElse(0);
	}

}
