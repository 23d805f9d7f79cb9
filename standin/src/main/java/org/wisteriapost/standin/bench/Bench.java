package org.wisteriapost.standin.bench;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.ServiceLoader;

import org.wisteriapost.kernel.command.ExitCodes;

/**
 * Finds the experiment that its first argument names; started by {@code scripts/bench}.
 */
public final class Bench {

	private Bench() {
	}

	/**
	 * Runs one experiment and exits with its code.
	 */
	public static void main(String[] args) throws Exception {
		List<Experiment> all = ServiceLoader.load(Experiment.class)
			.stream()
			.map(ServiceLoader.Provider::get)
			.sorted(Comparator.comparing(Experiment::name))
			.toList();
		Optional<Experiment> chosen = all.stream()
			.filter((one) -> args.length > 0 && one.name().equals(args[0]))
			.findFirst();
		if (chosen.isEmpty()) {
			all.forEach((one) -> System.err.printf("  %-14s %s%n", one.name(), one.summary()));
			System.exit(ExitCodes.BAD_INPUT);
		}
		System.exit(chosen.get().run(List.of(args).subList(1, args.length), System.out, System.err));
	}

}
