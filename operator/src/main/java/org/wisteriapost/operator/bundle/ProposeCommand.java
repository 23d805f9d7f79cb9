package org.wisteriapost.operator.bundle;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.wisteriapost.kernel.Findings;
import org.wisteriapost.kernel.command.Command;
import org.wisteriapost.kernel.command.ExitCodes;
import org.wisteriapost.operator.Arguments;
import org.wisteriapost.operator.ExternalSystems;
import org.wisteriapost.policy.bundle.Bundle;
import org.wisteriapost.policy.bundle.WeightFile;
import org.wisteriapost.protocol.outside.Origin;

/**
 * {@code bundle propose}: pins a bundle file to the chunk hashes of the origin and stores
 * it in the platform.
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
		return OperatorOptions.runWithSystems(name() + " FILE", List.of(OperatorOptions.SETTINGS), args, out,
				(arguments, systems) -> propose(arguments, systems, out, err));
	}

	private int propose(Arguments arguments, ExternalSystems systems, PrintStream out, PrintStream err) {
		Findings findings = new Findings();
		BundleDraft draft = BundleLint.run(Path.of(arguments.singleArgument("bundle file")), findings);
		if (!findings.isEmpty()) {
			findings.list().forEach(err::println);
			return ExitCodes.BAD_INPUT;
		}
		Bundle bundle = new Bundle(draft.name(), draft.version(), draft.services(),
				pin(draft.weights(), systems.origin()));
		out.println(new BundleStore(systems.platform()).propose(bundle));
		return ExitCodes.OK;
	}

	private static List<WeightFile> pin(List<BundleDraft.DraftWeight> weights, Origin origin) {
		List<WeightFile> files = new ArrayList<>();
		for (BundleDraft.DraftWeight weight : weights) {
			Origin.Manifest manifest = ExternalSystems.await(origin.manifest(weight.path()));
			files.add(new WeightFile(weight.name(), weight.version(), weight.path(), manifest.etag(), manifest.size(),
					manifest.chunkBytes(), manifest.chunks()));
		}
		return files;
	}

}
