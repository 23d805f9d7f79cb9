package org.wisteriapost.standin.bench.weights;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.wisteriapost.kernel.command.ExitCodes;
import org.wisteriapost.standin.bench.BenchCommand;

/**
 * {@code scripts/bench weights-sim}: compares transfer designs in virtual time.
 */
public final class WeightsSimulationBench implements BenchCommand {

	private static final int CHUNK_BYTES = 64 << 10;

	private static final String DEFAULT_CHUNKS = "512";

	private static final double BOUND_SECONDS = 8;

	@Override
	public String name() {
		return "weights-sim";
	}

	@Override
	public String summary() {
		return "compares transfer designs in virtual time, up to 810 VMs";
	}

	@Override
	public int run(List<String> args, PrintStream out) throws ParseException {
		Options options = new Options().addOption(option("vms", "N[,N] VMs, default 12,24,48"))
			.addOption(option("seed", "S[,S] random seeds, default 1"))
			.addOption(option("faults", "none|kill|stall|corrupt|change[,…], default none"))
			.addOption(option("policy", "design[+variant…][,…], default naive,chain,swarm"))
			.addOption(option("chunks", "number of chunks, default " + DEFAULT_CHUNKS))
			.addOption(option("bound", "time for one copy over the link of a VM in seconds, default 8"))
			.addOption(option("places", "number of failure domains, default 10"))
			.addOption(option("origin", "bandwidth of the origin as a multiple of a VM's, default 2"));
		try {
			compare(new DefaultParser().parse(options, args.toArray(new String[0])), out);
			return ExitCodes.OK;
		}
		catch (ParseException | IllegalArgumentException ex) {
			out.println(ex.getMessage());
			return ExitCodes.BAD_INPUT;
		}
	}

	private static void compare(CommandLine line, PrintStream out) {
		int chunks = Integer.parseInt(line.getOptionValue("chunks", DEFAULT_CHUNKS));
		int failureDomains = Integer.parseInt(line.getOptionValue("places", "10"));
		double origin = Double.parseDouble(line.getOptionValue("origin", "2"));
		double bound = Double.parseDouble(line.getOptionValue("bound", "" + BOUND_SECONDS));
		for (String faults : line.getOptionValue("faults", "none").split(",")) {
			for (String vms : line.getOptionValue("vms", "12,24,48").split(",")) {
				for (String policy : line.getOptionValue("policy", "naive,chain,swarm").split(",")) {
					for (String seed : line.getOptionValue("seed", "1").split(",")) {
						run(policy, Integer.parseInt(vms), faults, Long.parseLong(seed), chunks, bound, failureDomains,
								origin, out);
					}
				}
			}
		}
	}

	private static void run(String policy, int vms, String faults, long seed, int chunks, double bound,
			int failureDomains, double origin, PrintStream out) {
		double link = (double) CHUNK_BYTES * chunks / bound;
		Simulation.Result result = Simulation.run(new Simulation.Plan(TransferVariants.parse(policy), vms,
				failureDomains, chunks, CHUNK_BYTES, link, origin, FaultScenario.named(faults), seed));
		out.printf(Locale.ROOT, "{\"experiment\":\"weights-sim\",\"policy\":\"%s\",\"vms\":%d,\"faults\":\"%s\","
				+ "\"seed\":%d,\"chunks\":%d,\"boundSeconds\":%.1f,\"healthy\":%d,\"finished\":%d,\"failed\":%d,"
				+ "\"ratio\":%.3f,\"meanRatio\":%.3f,\"originCopies\":%.3f,\"controlBytesPerVm\":%.0f,"
				+ "\"controlBytesPerSecond\":%.0f,\"receivedTwice\":%.4f,\"crossed\":%.2f,\"violations\":\"%s\"}%n",
				policy, vms, faults, seed, chunks, bound, result.healthy(), result.finished(), result.failed(),
				result.lastRatio(), result.meanRatio(), result.originCopies(), result.controlBytes(),
				result.controlBytesPerSecond(), result.duplicateShare(), result.remoteCopies(), result.violations());
	}

	private static Option option(String name, String text) {
		return Option.builder().longOpt(name).hasArg().desc(text).get();
	}

}
