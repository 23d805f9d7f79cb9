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
import org.wisteriapost.operator.Surroundings;
import org.wisteriapost.policy.bundle.Approvals;

/**
 * {@code bundle approve}: signs a proposed bundle.
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
		return OperatorOptions.with(name() + " DIGEST",
				List.of(OperatorOptions.SETTINGS, OperatorOptions.AS,
						Arguments.value("key", "FILE", "your private key, made by keys generate")),
				args, out, (arguments, surroundings) -> approve(arguments, surroundings, out));
	}

	private static int approve(Arguments arguments, Surroundings surroundings, PrintStream out) {
		String digest = arguments.only("digest");
		String operator = arguments.required("as");
		BundleStore store = new BundleStore(surroundings.platform());
		store.bundle(digest);
		byte[] signature = Approvals.sign(digest, privateKey(arguments.requiredFile("key")));
		String publicKey = surroundings.operatorKeys().getOrDefault(operator, "");
		if (!Approvals.valid(digest, signature, publicKey)) {
			throw CodedException.of(KEY_MISMATCH, operator);
		}
		store.approve(digest, operator, signature);
		int counted = Approvals.countedOperators(digest, store.approvals(digest), surroundings.operatorKeys()).size();
		out.printf("approved by %d of %d%n", counted, surroundings.approvals());
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
