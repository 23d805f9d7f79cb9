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
import org.wisteriapost.operator.Surroundings;
import org.wisteriapost.policy.bundle.Approvals;
import org.wisteriapost.policy.bundle.Head;
import org.wisteriapost.policy.bundle.HeadMove;

/**
 * {@code bundle roll}: puts an approved bundle in force on top of the generation that the
 * operator has looked at. Of operators who race, one wins and the others are told who.
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
		return "put an approved bundle in force on top of a generation";
	}

	@Override
	public int run(List<String> args, PrintStream out, PrintStream err) {
		return OperatorOptions.with(name() + " DIGEST",
				List.of(OperatorOptions.SETTINGS, OperatorOptions.AS,
						Arguments.value("onto", "GENERATION",
								"the generation in force that you looked at; 0 at first")),
				args, out, (arguments, surroundings) -> roll(arguments, surroundings, out, err));
	}

	private static int roll(Arguments arguments, Surroundings surroundings, PrintStream out, PrintStream err) {
		String digest = arguments.only("digest");
		long onto = arguments.requiredNumber("onto");
		BundleStore store = new BundleStore(surroundings.platform());
		store.bundle(digest);
		Set<String> counted = Approvals.countedOperators(digest, store.approvals(digest), surroundings.operatorKeys());
		if (counted.size() < surroundings.approvals()) {
			err.printf("%s: approved by %s, %d operators are needed%n", NOT_APPROVED.name(), counted,
					surroundings.approvals());
			return ExitCodes.FAILED;
		}
		String nonce = UUID.randomUUID().toString();
		Head current = store.head();
		Optional<Head> next = HeadMove.next(current, onto, digest, arguments.required("as"), System.currentTimeMillis(),
				nonce);
		Head stands = next.map(store::roll).orElse(current);
		if (stands.nonce().equals(nonce)) {
			out.println("generation " + stands.generation());
			return ExitCodes.OK;
		}
		err.printf("%s: generation %d was rolled by %s at %s: %s%n", ROLL_LOST.name(), stands.generation(),
				stands.author(), Instant.ofEpochMilli(stands.atMillis()), stands.digest());
		return ExitCodes.FAILED;
	}

}
