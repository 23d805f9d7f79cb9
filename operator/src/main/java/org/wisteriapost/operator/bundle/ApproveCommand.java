package org.wisteriapost.operator.bundle;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.kernel.command.Command;
import org.wisteriapost.kernel.command.ExitCodes;
import org.wisteriapost.operator.Arguments;
import org.wisteriapost.operator.ExternalSystems;
import org.wisteriapost.policy.bundle.Approvals;

/**
 * {@code bundle approve}: signs a proposed bundle and stores the signature.
 */
public final class ApproveCommand implements Command {

	private static final Code KEY_MISMATCH = Code.error("approval-key-mismatch",
			"A private key is not the one whose public half the settings name for the operator.");

	private static final Code KEY_FILE = Code.error("key-file-unreadable", "A key file cannot be read.");

	@Override
	public String name() {
		return "bundle approve";
	}

	@Override
	public String summary() {
		return "sign a proposed bundle";
	}

	@Override
	public int run(List<String> args, PrintStream out, PrintStream err) {
		return OperatorOptions.runWithSystems(name() + " DIGEST",
				List.of(OperatorOptions.SETTINGS, OperatorOptions.AS,
						Arguments.valueOption("key", "FILE", "your private key, made by keys generate")),
				args, out, (arguments, systems) -> approve(arguments, systems, out));
	}

	private static int approve(Arguments arguments, ExternalSystems systems, PrintStream out) {
		String digest = arguments.singleArgument("digest");
		String operator = arguments.required("as");
		BundleStore store = new BundleStore(systems.platform());
		store.bundle(digest);
		byte[] signature = Approvals.sign(digest, privateKey(arguments.requiredFile("key")));
		String publicKey = systems.operatorKeys().getOrDefault(operator, "");
		if (!Approvals.valid(digest, signature, publicKey)) {
			throw CodedException.of(KEY_MISMATCH, operator);
		}
		store.approve(digest, operator, signature);
		int counted = Approvals.countedOperators(digest, store.approvals(digest), systems.operatorKeys()).size();
		out.printf("approved by %d of %d%n", counted, systems.requiredApprovals());
		return ExitCodes.OK;
	}

	private static String privateKey(Path file) {
		try {
			return Files.readString(file);
		}
		catch (IOException ex) {
			throw CodedException.of(KEY_FILE, file.toString(), ex);
		}
	}

}
