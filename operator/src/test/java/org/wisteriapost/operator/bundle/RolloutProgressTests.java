package org.wisteriapost.operator.bundle;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.wisteriapost.policy.bundle.Bundle;
import org.wisteriapost.policy.bundle.Head;
import org.wisteriapost.policy.bundle.ServiceSpec;
import org.wisteriapost.policy.bundle.VmStatus;
import org.wisteriapost.policy.bundle.WeightFile;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class RolloutProgressTests {

	private static final Head HEAD = new Head(2, "digest", "awa", 0, "nonce");

	private static final ServiceSpec SPEC = new ServiceSpec("lm", ServiceSpec.Kind.MODEL, "m", List.of(),
			List.of("hall"), List.of(), 1);

	private static final Bundle BUNDLE = new Bundle("b", "1", List.of(SPEC),
			List.of(new WeightFile("m", "1", "m", "e", 1, 1, List.of("hash"))));

	@Test
	void vmThatServesTheHeadIsDone() {
		assertThat(progress(Set.of("vm-1"), status("vm-1", 2, BUNDLE.weightsDigest(SPEC))).done(), is(true));
	}

	@Test
	void vmOnOlderWeightsIsNotDone() {
		assertThat(progress(Set.of("vm-1"), status("vm-1", 2, "older")).done(), is(false));
		assertThat(progress(Set.of("vm-1"), status("vm-1", 1, "older")).adopted(), is(0));
	}

	// The status of a drained or replaced VM stays in the platform and must not be
	// counted.
	@Test
	void statusOfRemovedVmIsIgnored() {
		RolloutProgress progress = progress(Set.of("vm-1"), status("vm-1", 2, BUNDLE.weightsDigest(SPEC)),
				status("removed", 1, "older"));
		assertThat(progress.vms(), is(1));
		assertThat(progress.done(), is(true));
	}

	private static RolloutProgress progress(Set<String> activeVms, VmStatus... statuses) {
		return RolloutProgress.of(HEAD, BUNDLE, List.of(statuses), activeVms).getFirst();
	}

	private static VmStatus status(String vm, long generation, String serving) {
		return new VmStatus(vm, "hall", "lm", generation, "digest", serving, true, 1, 1, "");
	}

}
