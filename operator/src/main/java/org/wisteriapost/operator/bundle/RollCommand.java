package org.wisteriapost.operator.bundle;

import java.io.PrintStream;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.command.Command;
import org.wisteriapost.kernel.command.ExitCodes;
import org.wisteriapost.operator.Arguments;
import org.wisteriapost.operator.ExternalSystems;
import org.wisteriapost.policy.bundle.Approvals;
import org.wisteriapost.policy.bundle.Head;
import org.wisteriapost.policy.bundle.HeadMove;

/**
 * {@code bundle roll}: activates an approved bundle as the successor of a given
 * generation. Of concurrent rolls one wins; the others fail and report the winner.
 */
public final class RollCommand implements Command {

	private static final Code NOT_APPROVED = Code.error("bundle-not-approved",
			"A bundle does not have the approvals that the settings require.");

	private static final Code ROLL_LOST = Code.error("roll-lost",
			"Another roll took the generation that this one was based on.");

	@Override
	public String name() {
		return "bundle roll";
	}

	@Override
	public String summary() {
		return "activate an approved bundle on top of a generation";
	}

	@Override
	public int run(List<String> args, PrintStream out, PrintStream err) {
		return OperatorOptions.runWithSystems(name() + " DIGEST",
				List.of(OperatorOptions.SETTINGS, OperatorOptions.AS,
						Arguments.valueOption("onto", "GENERATION",
								"the active generation that you have reviewed; 0 for the first roll")),
				args, out, (arguments, systems) -> roll(arguments, systems, out, err));
	}

	private static int roll(Arguments arguments, ExternalSystems systems, PrintStream out, PrintStream err) {
		String digest = arguments.singleArgument("digest");
		long onto = arguments.requiredNumber("onto");
		BundleStore store = new BundleStore(systems.platform());
		store.bundle(digest);
		Set<String> counted = Approvals.countedOperators(digest, store.approvals(digest), systems.operatorKeys());
		if (counted.size() < systems.requiredApprovals()) {
			err.printf("%s: approved by %s, %d operators are needed%n", NOT_APPROVED.name(), counted,
					systems.requiredApprovals());
			return ExitCodes.FAILED;
		}
		String nonce = UUID.randomUUID().toString();
		Head current = store.head();
		Optional<Head> next = HeadMove.next(current, onto, digest, arguments.required("as"), System.currentTimeMillis(),
				nonce);
		Head winner = next.map(store::roll).orElse(current);
		if (winner.nonce().equals(nonce)) {
			out.println("generation " + winner.generation());
			return ExitCodes.OK;
		}
		err.printf("%s: generation %d was rolled by %s at %s: %s%n", ROLL_LOST.name(), winner.generation(),
				winner.author(), Instant.ofEpochMilli(winner.atMillis()), winner.digest());
		return ExitCodes.FAILED;
	}

}
