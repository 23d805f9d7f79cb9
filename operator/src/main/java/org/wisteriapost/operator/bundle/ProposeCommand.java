package org.wisteriapost.operator.bundle;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.wisteriapost.kernel.Findings;
import org.wisteriapost.kernel.command.Command;
import org.wisteriapost.kernel.command.ExitCodes;
import org.wisteriapost.operator.Arguments;
import org.wisteriapost.operator.Surroundings;
import org.wisteriapost.policy.bundle.Bundle;
import org.wisteriapost.policy.bundle.WeightFile;
import org.wisteriapost.protocol.outside.Origin;

/**
 * {@code bundle propose}: pins a bundle file to the origin's chunk hashes and writes it
 * to the platform.
 */
public final class ProposeCommand implements Command {

	@Override
	public String name() {
		return "bundle propose";
	}

	@Override
	public String summary() {
		return "pin a bundle file to the origin's content and write it; prints its digest";
	}

	@Override
	public int run(List<String> args, PrintStream out, PrintStream err) {
		return OperatorOptions.with(name() + " FILE", List.of(OperatorOptions.SETTINGS), args, out,
				(arguments, surroundings) -> propose(arguments, surroundings, out, err));
	}

	private int propose(Arguments arguments, Surroundings surroundings, PrintStream out, PrintStream err) {
		Findings findings = new Findings();
		Draft draft = BundleLint.run(Path.of(arguments.only("bundle file")), findings);
		if (!findings.isEmpty()) {
			findings.list().forEach(err::println);
			return ExitCodes.BAD_INPUT;
		}
		Bundle bundle = new Bundle(draft.name(), draft.version(), draft.services(),
				pin(draft.weights(), surroundings.origin()));
		out.println(new BundleStore(surroundings.platform()).propose(bundle));
		return ExitCodes.OK;
	}

	private static List<WeightFile> pin(List<Draft.DraftWeight> weights, Origin origin) {
		List<WeightFile> files = new ArrayList<>();
		for (Draft.DraftWeight weight : weights) {
			Origin.Manifest manifest = Surroundings.await(origin.manifest(weight.path()));
			files.add(new WeightFile(weight.name(), weight.version(), weight.path(), manifest.etag(), manifest.size(),
					manifest.chunkBytes(), manifest.chunks()));
		}
		return files;
	}

}
