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

class PlaceProgressTests {

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

	// A VM was drained or replaced; what it last said of itself stays in the platform.
	@Test
	void vmThatIsGoneIsNotWaitedFor() {
		PlaceProgress progress = progress(Set.of("vm-1"), status("vm-1", 2, BUNDLE.weightsDigest(SPEC)),
				status("gone", 1, "older"));
		assertThat(progress.vms(), is(1));
		assertThat(progress.done(), is(true));
	}

	private static PlaceProgress progress(Set<String> staying, VmStatus... statuses) {
		return PlaceProgress.of(HEAD, BUNDLE, List.of(statuses), staying).getFirst();
	}

	private static VmStatus status(String vm, long generation, String serving) {
		return new VmStatus(vm, "hall", "lm", generation, "digest", serving, true, 1, 1, "");
	}

}
