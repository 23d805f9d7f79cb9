package org.wisteriapost.standin.bench.weights;

import java.io.PrintStream;
import java.time.Duration;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.wisteriapost.kernel.command.ExitCodes;
import org.wisteriapost.standin.bench.BenchCommand;

/**
 * {@code scripts/bench weights}: rollouts with real transfers over loopback.
 */
public final class WeightsBench implements BenchCommand {

	private static final int CHUNK_BYTES = 64 << 10;

	@Override
	public String name() {
		return "weights";
	}

	@Override
	public String summary() {
		return "distributes weights to N VMs with real transfers over loopback";
	}

	@Override
	public int run(List<String> args, PrintStream out) {
		Options options = new Options().addOption(option("vms", "N[,N] VMs, default 12"))
			.addOption(option("seed", "seed of the content, default 1"))
			.addOption(option("faults", "none|kill|stall|corrupt|change[,…], default none"))
			.addOption(option("policy", "design[+variant…][,…], default swarm"))
			.addOption(option("chunks", "number of chunks of 64 KB, default 512"))
			.addOption(option("bound", "time for one copy over the link of a VM in seconds, default 4"))
			.addOption(option("most", "time limit of a rollout in seconds, default 60"));
		try {
			compare(new DefaultParser().parse(options, args.toArray(new String[0])), out);
			return ExitCodes.OK;
		}
		catch (ParseException | IllegalArgumentException ex) {
			out.println(ex.getMessage());
			return ExitCodes.BAD_INPUT;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return ExitCodes.FAILED;
		}
	}

	private static void compare(CommandLine line, PrintStream out) throws InterruptedException {
		int chunks = Integer.parseInt(line.getOptionValue("chunks", "512"));
		double bound = Double.parseDouble(line.getOptionValue("bound", "4"));
		Duration timeout = Duration.ofSeconds(Long.parseLong(line.getOptionValue("most", "60")));
		long seed = Long.parseLong(line.getOptionValue("seed", "1"));
		for (String faults : line.getOptionValue("faults", "none").split(",")) {
			for (String vms : line.getOptionValue("vms", "12").split(",")) {
				for (String policy : line.getOptionValue("policy", "swarm").split(",")) {
					LoopbackRollout.Plan plan = new LoopbackRollout.Plan(policy, TransferVariants.parse(policy),
							Integer.parseInt(vms), chunks, CHUNK_BYTES, CHUNK_BYTES * (double) chunks / bound,
							FaultScenario.named(faults), seed, Duration.ofSeconds(2), timeout);
					out.println(LoopbackRollout.run(plan, System.err));
				}
			}
		}
	}

	private static Option option(String name, String text) {
		return Option.builder().longOpt(name).hasArg().desc(text).get();
	}

}
