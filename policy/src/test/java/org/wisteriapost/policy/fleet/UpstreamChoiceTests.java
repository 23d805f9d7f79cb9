package org.wisteriapost.policy.fleet;

import java.util.List;
import java.util.Optional;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.wisteriapost.policy.fleet.UpstreamChoice.Step;

import static org.hamcrest.MatcherAssert.assertThat;

class UpstreamChoiceTests {

	private static final long MILLI = 1_000_000;

	private static final List<String> LINKED = List.of("b", "a", "c");

	private final UpstreamChoice choice = new UpstreamChoice();

	@Test
	void nobodyIsAskedWhileTheStoreAnswers() {
		this.choice.store(true);
		assertThat(this.choice.ask(LINKED, 0), Matchers.empty());
	}

	// The store turns this entry away. Of the others one is asked, and while it passes on
	// what it reads no second one is.
	@Test
	void oneIsAskedAndKept() {
		this.choice.store(false);
		assertThat(this.choice.ask(LINKED, 0), Matchers.contains(new Step.Ask("a")));
		this.choice.heard(true);
		assertThat(this.choice.ask(LINKED, 60_000 * MILLI), Matchers.empty());
	}

	// The first one asked is cut off as well and says nothing, the second says that the
	// store does not answer it, the third one's link ends after a while. Each is told
	// that
	// nothing more is wanted of it, or it would send every change from then on.
	@Test
	void theNextOneIsAskedWhenOneDoesNotHelp() {
		this.choice.store(false);
		this.choice.ask(LINKED, 0);
		assertThat(this.choice.ask(LINKED, 500 * MILLI), Matchers.empty());
		assertThat(this.choice.ask(LINKED, 700 * MILLI), Matchers.contains(new Step.Dismiss("a"), new Step.Ask("b")));
		this.choice.heard(false);
		assertThat(this.choice.ask(LINKED, 710 * MILLI), Matchers.contains(new Step.Dismiss("b"), new Step.Ask("c")));
		this.choice.heard(true);
		assertThat(this.choice.ask(List.of("a", "b"), 5000 * MILLI),
				Matchers.contains(new Step.Dismiss("c"), new Step.Ask("a")));
	}

	// A late message of the one that was asked comes when the store has answered again.
	// The store's own answer is newer.
	@Test
	void nothingPassedOnIsBelievedOnceTheStoreAnswers() {
		this.choice.store(false);
		this.choice.ask(LINKED, 0);
		assertThat(this.choice.believes("a"), Matchers.equalTo(true));
		assertThat(this.choice.believes("b"), Matchers.equalTo(false));
		assertThat(this.choice.store(true), Matchers.equalTo(Optional.of("a")));
		assertThat(this.choice.believes("a"), Matchers.equalTo(false));
	}

}
