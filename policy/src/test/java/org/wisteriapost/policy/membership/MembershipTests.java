package org.wisteriapost.policy.membership;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

class MembershipTests {

	private final Membership membership = Membership.of("n2", "p1");

	@Test
	void ownEntryIsFirstThenItsFailureDomainThenTheOthers() {
		fleet();
		assertThat(advertised(false), contains("n2", "n3", "n4", "n1"));
	}

	@Test
	void drainingEntryIsNotAdvertised() {
		fleet();
		assertThat(advertised(true), contains("n3", "n4", "n1"));
	}

	// The list still has an entry that died seconds ago. Its link is closed, so callers
	// are
	// not sent there.
	@Test
	void entryWithoutALinkIsNotAdvertised() {
		fleet();
		this.membership.linkChanged("n3", false);
		assertThat(advertised(false), contains("n2", "n4", "n1"));
	}

	@Test
	void anySourceMarksAVmAsLeaving() {
		this.membership
			.replaceMembers(List.of(entry("n1", "p2", true), entry("n2", "p1", false), entry("n3", "p1", false)));
		this.membership.replaceMarks(Set.of("n3"));
		this.membership.leavingAnnounced("e9");
		assertThat(this.membership.leaving(), is(Set.of("n1", "n3", "e9")));
		this.membership.replaceMarks(Set.of());
		assertThat(this.membership.leaving(), is(Set.of("n1", "e9")));
	}

	// A VM leaves the list, and another gets its name. The announcement of the first must
	// not exclude the second.
	@Test
	void replacedVmIsNotLeaving() {
		fleet();
		this.membership.leavingAnnounced("n3");
		this.membership.replaceMembers(List.of(entry("n2", "p1", false)));
		this.membership.replaceMembers(List.of(entry("n2", "p1", false), entry("n3", "p1", false)));
		assertThat(this.membership.leaving(), empty());
	}

	@Test
	void answerIsBoundedInALargeFleet() {
		List<Member> many = IntStream.range(0, 2300).mapToObj((i) -> entry("x" + i, "p" + i % 10, false)).toList();
		this.membership.replaceMembers(many);
		many.forEach((member) -> this.membership.linkChanged(member.vm(), true));
		assertThat(advertised(false), hasSize(16));
	}

	private void fleet() {
		this.membership
			.replaceMembers(List.of(entry("n1", "p2", false), entry("n2", "p1", false), entry("n3", "p1", false),
					entry("n4", "p2", false), new Member("e1", "p1", false, "lm", "127.0.0.9", 1, 0, false)));
		List.of("n1", "n3", "n4").forEach((vm) -> this.membership.linkChanged(vm, true));
	}

	private List<String> advertised(boolean draining) {
		return this.membership.advertisedEntries(draining).stream().map(Member::vm).toList();
	}

	private static Member entry(String vm, String failureDomain, boolean leaving) {
		return new Member(vm, failureDomain, true, "", "127.0.0.1", 1, 2, leaving);
	}

}
