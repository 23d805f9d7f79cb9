package org.wisteriapost.entry;

import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.wisteriapost.entry.process.EntryProcess;
import org.wisteriapost.protocol.http.HttpResponse;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.outside.Platform;
import org.wisteriapost.protocol.wire.Call;
import org.wisteriapost.protocol.wire.Outcome;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

class LeavingTests {

	private EntryFixture fixture;

	private EntryProcess other;

	@BeforeEach
	void start() {
		this.fixture = EntryFixture.start();
		this.other = this.fixture.startEntry("n2");
		this.fixture.vms().add(this.fixture.vmListEntry("n2", this.other, false));
		EntryFixture.await(() -> entries(this.fixture.entry()).contains(address(this.other)));
		EntryFixture.await(() -> entries(this.other).contains(address(this.fixture.entry())));
	}

	@AfterEach
	void stop() {
		this.other.close();
		this.fixture.close();
	}

	@Test
	void entriesListTheirOwnAddressFirst() {
		String own = entries(this.other);
		assertThat(own.indexOf(address(this.other)) < own.indexOf(address(this.fixture.entry())), is(true));
		assertThat(own, containsString("\"keepSeconds\":1"));
	}

	// Both entries stop advertising the leaving one at once. It still serves callers that
	// have its address cached, then refuses them with the other entry's address, and
	// ends.
	@ParameterizedTest
	@EnumSource(DrainTrigger.class)
	void leavingEntryIsNoLongerAdvertisedThenRefusesThenEnds(DrainTrigger trigger) {
		trigger.start.accept(this.fixture, this.other);
		EntryFixture.await(() -> !entries(this.fixture.entry()).contains(address(this.other)));
		EntryFixture.await(() -> !entries(this.other).contains(address(this.other)));
		EntryFixture.await(() -> lookup().status() == 503);
		HttpResponse refused = lookup();
		assertThat(EntryFixture.text(refused), containsString(address(this.fixture.entry())));
		assertThat(EntryFixture.text(refused), not(containsString(address(this.other))));
		assertThat(EntryFixture.outcome(refused), is("not-run"));
		assertThat(refused.header("Retry-After").isPresent(), is(true));
		this.other.ended().join();
		assertThat(this.fixture.entry().ended().isDone(), is(false));
	}

	// A drain must not interrupt a stream in progress.
	@Test
	void runningStreamIsCompletedBeforeTheProcessEnds() {
		CompletableFuture<Runnable> rest = new CompletableFuture<>();
		this.fixture.model().answerWith(answerInTwoParts(rest));
		CompletableFuture<HttpResponse> reply = this.fixture.chat("x", true);
		Runnable end = rest.join();
		CompletableFuture<Void> ended = this.fixture.entry().drain();
		EntryFixture.await(() -> this.fixture.call("GET", "/services/registry/x", "").join().status() == 503);
		assertThat(ended.isDone(), is(false));
		end.run();
		assertThat(EntryFixture.text(reply.join()), is("first last"));
		ended.join();
	}

	@Test
	void leavingRunnerGetsNoNewCalls() {
		this.fixture.vms().replaceAll((vm) -> vm.vm().equals("e1") ? this.fixture.model().vmListEntry(true) : vm);
		EntryFixture
			.await(() -> this.fixture.chat("x", false, "Wisteriapost-Deadline-Ms", "300").join().status() != 200);
	}

	private static BiConsumer<Link, Call> answerInTwoParts(CompletableFuture<Runnable> rest) {
		return (link, call) -> {
			FakeAgent.send(link, FakeAgent.started(call, call.getWeightsDigest()));
			FakeAgent.send(link, FakeAgent.data(call, "first "));
			rest.complete(() -> {
				FakeAgent.send(link, FakeAgent.data(call, "last"));
				FakeAgent.send(link, FakeAgent.end(call, Outcome.RAN, ""));
			});
		};
	}

	private HttpResponse lookup() {
		return this.fixture.call(this.other, "GET", "/services/registry/x", "").join();
	}

	private String entries(EntryProcess of) {
		return EntryFixture.text(this.fixture.call(of, "GET", "/v1/entries", "").join());
	}

	private String address(EntryProcess of) {
		return "\"" + this.fixture.uri(of, "").toString() + "\"";
	}

	private enum DrainTrigger {

		SIGNAL((site, entry) -> entry.drain()),

		LIST((site, entry) -> site.vms()
			.replaceAll((vm) -> vm.vm().equals("n2") ? site.vmListEntry("n2", entry, true) : vm)),

		MARK((site, entry) -> site.platform()
			.put("leaving/n2", new byte[] { 1 }, new Platform.Precondition.Anything())
			.join());

		private final BiConsumer<EntryFixture, EntryProcess> start;

		DrainTrigger(BiConsumer<EntryFixture, EntryProcess> start) {
			this.start = start;
		}

	}

}
