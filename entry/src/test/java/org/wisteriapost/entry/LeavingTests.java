package org.wisteriapost.entry;

import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.wisteriapost.entry.process.EntryProcess;
import org.wisteriapost.protocol.http.HttpReply;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.outside.Platform;
import org.wisteriapost.protocol.wire.Call;
import org.wisteriapost.protocol.wire.Outcome;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

class LeavingTests {

	private EntryBench bench;

	private EntryProcess other;

	@BeforeEach
	void start() {
		this.bench = EntryBench.start();
		this.other = this.bench.another("n2");
		this.bench.vms().add(this.bench.listed("n2", this.other, false));
		EntryBench.await(() -> entries(this.bench.entry()).contains(address(this.other)));
		EntryBench.await(() -> entries(this.other).contains(address(this.bench.entry())));
	}

	@AfterEach
	void stop() {
		this.other.close();
		this.bench.close();
	}

	@Test
	void entriesNameThemselvesFirst() {
		String own = entries(this.other);
		assertThat(own.indexOf(address(this.other)) < own.indexOf(address(this.bench.entry())), is(true));
		assertThat(own, containsString("\"keepSeconds\":1"));
	}

	// A VM is told to go in one of three ways. Both entries stop naming it at once; it
	// still serves callers with an older address answer, then refuses them with the other
	// address; and its process ends by itself.
	@ParameterizedTest
	@EnumSource(Way.class)
	void leavingEntryIsUnnamedThenRefusesThenEnds(Way way) {
		way.start.accept(this.bench, this.other);
		EntryBench.await(() -> !entries(this.bench.entry()).contains(address(this.other)));
		EntryBench.await(() -> !entries(this.other).contains(address(this.other)));
		EntryBench.await(() -> lookup().status() == 503);
		HttpReply refused = lookup();
		assertThat(EntryBench.text(refused), containsString(address(this.bench.entry())));
		assertThat(EntryBench.text(refused), not(containsString(address(this.other))));
		assertThat(EntryBench.outcome(refused), is("not-run"));
		assertThat(refused.header("Retry-After").isPresent(), is(true));
		this.other.ended().join();
		assertThat(this.bench.entry().ended().isDone(), is(false));
	}

	// A stream runs when its entry is told to go. It must go on to its end, and only then
	// may the process end.
	@Test
	void runningStreamEndsWholeBeforeTheProcess() {
		CompletableFuture<Runnable> rest = new CompletableFuture<>();
		this.bench.model().answers(begin(rest));
		CompletableFuture<HttpReply> reply = this.bench.chat("x", true);
		Runnable end = rest.join();
		CompletableFuture<Void> ended = this.bench.entry().drain();
		EntryBench.await(() -> this.bench.call("GET", "/services/registry/x", "").join().status() == 503);
		assertThat(ended.isDone(), is(false));
		end.run();
		assertThat(EntryBench.text(reply.join()), is("first last"));
		ended.join();
	}

	@Test
	void leavingRunnerGetsNoNewCalls() {
		this.bench.vms().replaceAll((vm) -> vm.vm().equals("e1") ? this.bench.model().listed(true) : vm);
		EntryBench.await(() -> this.bench.chat("x", false, "Wisteriapost-Deadline-Ms", "300").join().status() != 200);
	}

	private static BiConsumer<Link, Call> begin(CompletableFuture<Runnable> rest) {
		return (link, call) -> {
			FakeAgent.send(link, FakeAgent.started(call, call.getWeightsDigest()));
			FakeAgent.send(link, FakeAgent.data(call, "first "));
			rest.complete(() -> {
				FakeAgent.send(link, FakeAgent.data(call, "last"));
				FakeAgent.send(link, FakeAgent.end(call, Outcome.RAN, ""));
			});
		};
	}

	private HttpReply lookup() {
		return this.bench.call(this.other, "GET", "/services/registry/x", "").join();
	}

	private String entries(EntryProcess of) {
		return EntryBench.text(this.bench.call(of, "GET", "/v1/entries", "").join());
	}

	private String address(EntryProcess of) {
		return "\"" + this.bench.uri(of, "").toString() + "\"";
	}

	private enum Way {

		SIGNAL((fleet, entry) -> entry.drain()),

		LIST((fleet, entry) -> fleet.vms()
			.replaceAll((vm) -> vm.vm().equals("n2") ? fleet.listed("n2", entry, true) : vm)),

		MARK((fleet, entry) -> fleet.platform()
			.put("leaving/n2", new byte[] { 1 }, new Platform.Expected.Anything())
			.join());

		private final BiConsumer<EntryBench, EntryProcess> start;

		Way(BiConsumer<EntryBench, EntryProcess> start) {
			this.start = start;
		}

	}

}
