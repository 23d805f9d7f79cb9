package org.wisteriapost.operator.bundle;

import java.io.PrintStream;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.wisteriapost.kernel.command.Command;
import org.wisteriapost.kernel.command.ExitCodes;
import org.wisteriapost.operator.Arguments;
import org.wisteriapost.operator.Surroundings;
import org.wisteriapost.policy.bundle.Bundle;
import org.wisteriapost.policy.bundle.Head;
import org.wisteriapost.protocol.outside.VmList;

/**
 * {@code bundle status}: shows the head and how far each place is with it.
 */
public final class StatusCommand implements Command {

	private static final long WATCH_PAUSE_MILLIS = 1000;

	@Override
	public String name() {
		return "bundle status";
	}

	@Override
	public String summary() {
		return "show the bundle in force and how far each place is with it";
	}

	@Override
	public int run(List<String> args, PrintStream out, PrintStream err) {
		return OperatorOptions.with(name(),
				List.of(OperatorOptions.SETTINGS,
						Arguments.flag("watch", "show progress until every VM serves the bundle in force")),
				args, out, (arguments, surroundings) -> status(arguments.has("watch"), surroundings, out));
	}

	private static int status(boolean watch, Surroundings surroundings, PrintStream out) {
		BundleStore store = new BundleStore(surroundings.platform());
		while (true) {
			Head head = store.head();
			if (head.generation() == 0) {
				out.println("generation 0: nothing is in force yet");
				return ExitCodes.OK;
			}
			Bundle bundle = store.bundle(head.digest());
			List<PlaceProgress> progress = PlaceProgress.of(head, bundle, store.statuses(), staying(surroundings));
			out.printf("generation %d %s %s by %s at %s%n", head.generation(), bundle.name(), bundle.version(),
					head.author(), Instant.ofEpochMilli(head.atMillis()));
			progress.forEach((one) -> out.println("  " + one));
			boolean done = progress.stream().allMatch(PlaceProgress::done);
			if (!watch || done) {
				return ExitCodes.OK;
			}
			if (!pause()) {
				return ExitCodes.FAILED;
			}
		}
	}

	// What a VM that is gone last said of itself stays in the platform; counted, it would
	// keep a place from ever being done.
	private static Set<String> staying(Surroundings surroundings) {
		return Surroundings.await(surroundings.vmList().read())
			.stream()
			.filter((vm) -> !vm.leaving())
			.map(VmList.Vm::vm)
			.collect(Collectors.toSet());
	}

	private static boolean pause() {
		try {
			Thread.sleep(WATCH_PAUSE_MILLIS);
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

}
