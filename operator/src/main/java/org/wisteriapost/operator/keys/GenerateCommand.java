package org.wisteriapost.operator.keys;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import java.util.List;
import java.util.Optional;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.kernel.command.Command;
import org.wisteriapost.kernel.command.ExitCodes;
import org.wisteriapost.operator.Arguments;

/**
 * {@code keys generate}: generates the key pair of an operator. The private key is
 * written to a new file that only its owner can read; existing files are never
 * overwritten.
 */
public final class GenerateCommand implements Command {

	private static final Code KEY_NOT_WRITTEN = Code.error("key-not-written",
			"A key file exists already or cannot be written.");

	private static final String OWNER_ONLY = "rw-------";

	@Override
	public String name() {
		return "keys generate";
	}

	@Override
	public String summary() {
		return "make an operator's key pair; prints the settings section to share";
	}

	@Override
	public int run(List<String> args, PrintStream out, PrintStream err) {
		Optional<Arguments> arguments = Arguments.parse(name(),
				List.of(Arguments.valueOption("name", "OPERATOR", "the operator's name"),
						Arguments.valueOption("out", "DIR", "folder for OPERATOR.key")),
				args, out);
		if (arguments.isEmpty()) {
			return ExitCodes.OK;
		}
		String operator = arguments.get().required("name");
		KeyPair pair = generate();
		write(arguments.get().requiredFile("out").resolve(operator + ".key"), pair.getPrivate().getEncoded());
		out.println("[operator " + operator + "]");
		out.println("public-key = " + Base64.getEncoder().encodeToString(pair.getPublic().getEncoded()));
		return ExitCodes.OK;
	}

	private static KeyPair generate() {
		try {
			return KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("Ed25519 is not available in this Java runtime", ex);
		}
	}

	private static void write(Path file, byte[] key) {
		try {
			Files.createFile(file, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString(OWNER_ONLY)));
			Files.writeString(file, Base64.getEncoder().encodeToString(key) + "\n",
					StandardOpenOption.TRUNCATE_EXISTING);
		}
		catch (IOException ex) {
			throw CodedException.of(KEY_NOT_WRITTEN, file.toString(), ex);
		}
	}

}
