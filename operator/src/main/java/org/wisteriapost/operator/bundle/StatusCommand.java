package org.wisteriapost.operator.bundle;

import java.io.PrintStream;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.wisteriapost.kernel.command.Command;
import org.wisteriapost.kernel.command.ExitCodes;
import org.wisteriapost.operator.Arguments;
import org.wisteriapost.operator.ExternalSystems;
import org.wisteriapost.policy.bundle.Bundle;
import org.wisteriapost.policy.bundle.Head;
import org.wisteriapost.protocol.outside.VmList;

/**
 * {@code bundle status}: prints the head and its rollout progress by failure domain.
 */
public final class StatusCommand implements Command {

	private static final long POLL_INTERVAL_MILLIS = 1000;

	@Override
	public String name() {
		return "bundle status";
	}

	@Override
	public String summary() {
		return "show the active bundle and its rollout progress by failure domain";
	}

	@Override
	public int run(List<String> args, PrintStream out, PrintStream err) {
		return OperatorOptions.runWithSystems(name(),
				List.of(OperatorOptions.SETTINGS,
						Arguments.flagOption("watch", "show progress until every VM serves the active bundle")),
				args, out, (arguments, systems) -> status(arguments.has("watch"), systems, out));
	}

	private static int status(boolean watch, ExternalSystems systems, PrintStream out) {
		BundleStore store = new BundleStore(systems.platform());
		while (true) {
			Head head = store.head();
			if (head.generation() == 0) {
				out.println("generation 0: no bundle is active yet");
				return ExitCodes.OK;
			}
			Bundle bundle = store.bundle(head.digest());
			List<RolloutProgress> progress = RolloutProgress.of(head, bundle, store.statuses(), activeVms(systems));
			out.printf("generation %d %s %s by %s at %s%n", head.generation(), bundle.name(), bundle.version(),
					head.author(), Instant.ofEpochMilli(head.atMillis()));
			progress.forEach((one) -> out.println("  " + one));
			boolean done = progress.stream().allMatch(RolloutProgress::done);
			if (!watch || done) {
				return ExitCodes.OK;
			}
			if (!pause()) {
				return ExitCodes.FAILED;
			}
		}
	}

	// The last status of a removed VM stays in the platform; if counted, it would
	// keep the rollout in its failure domain from ever completing.
	private static Set<String> activeVms(ExternalSystems systems) {
		return ExternalSystems.await(systems.vmList().read())
			.stream()
			.filter((vm) -> !vm.leaving())
			.map(VmList.Vm::vm)
			.collect(Collectors.toSet());
	}

	private static boolean pause() {
		try {
			Thread.sleep(POLL_INTERVAL_MILLIS);
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

}
