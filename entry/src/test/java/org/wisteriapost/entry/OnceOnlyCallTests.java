package org.wisteriapost.entry;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.wisteriapost.entry.process.EntryProcess;
import org.wisteriapost.protocol.CallerHeaders;
import org.wisteriapost.protocol.http.HttpReply;
import org.wisteriapost.protocol.outside.FakePlatform.Fault;
import org.wisteriapost.protocol.wire.Call;
import org.wisteriapost.protocol.wire.Outcome;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

class OnceOnlyCallTests {

	@AutoClose
	private final EntryBench bench = EntryBench.start();

	@Test
	void repeatAtTheSameEntryGetsTheFirstAnswerWithoutRunning() {
		String key = key("a");
		HttpReply first = allocate(this.bench.entry(), key, "978").join();
		HttpReply second = answered(this.bench.entry(), key);
		assertThat(EntryBench.text(second), is(EntryBench.text(first)));
		assertThat(second.header("Content-Type"), is(first.header("Content-Type")));
		assertThat(this.bench.plain().calls().size(), is(1));
	}

	// The caller's entry dies after the run, and the caller repeats to another entry.
	// That one has only the platform to know from, and gives the first answer.
	@Test
	void repeatAtAnotherEntryGetsTheFirstAnswerWithoutRunning() {
		String key = key("b");
		HttpReply first = allocate(this.bench.entry(), key, "978").join();
		try (EntryProcess other = ready("n2")) {
			assertThat(EntryBench.text(answered(other, key)), is(EntryBench.text(first)));
			assertThat(this.bench.plain().calls().size(), is(1));
		}
	}

	@Test
	void anotherBodyUnderTheSameKeyIsRefused() {
		String key = key("c");
		allocate(this.bench.entry(), key, "978").join();
		HttpReply other = allocate(this.bench.entry(), key, "979").join();
		assertThat(EntryBench.text(other), containsString("idempotency-key-reused"));
		assertThat(this.bench.plain().calls().size(), is(1));
	}

	// The runner is cut in the middle of an allocation. The caller is told that it may
	// have run, and so is every repeat, here and elsewhere; none of them runs.
	@Test
	void cutCallIsUnknownForEver() {
		this.bench.plain()
			.answers((link, call) -> FakeAgent.send(link, FakeAgent.end(call, Outcome.UNKNOWN, "runner-cut")));
		String key = key("d");
		assertThat(EntryBench.outcome(allocate(this.bench.entry(), key, "978").join()), is("unknown"));
		assertThat(EntryBench.outcome(allocate(this.bench.entry(), key, "978").join()), is("unknown"));
		assertThat(this.bench.plain().calls().size(), is(1));
	}

	// The gate is certain that it passed nothing on. The claim is released, so that the
	// same key runs later instead of being unknown for ever.
	@Test
	void callThatCertainlyDidNotRunMayBeRepeated() {
		this.bench.plain()
			.answers((link, call) -> FakeAgent.send(link, FakeAgent.end(call, Outcome.NOT_RUN, "gate-full")));
		String key = key("e");
		HttpReply refused = allocate(this.bench.entry(), key, "978", CallerHeaders.DEADLINE, "400").join();
		assertThat(EntryBench.outcome(refused), is("not-run"));
		this.bench.plain().answers(FakeAgent::echo);
		EntryBench.await(() -> allocate(this.bench.entry(), key, "978").join().status() == 200);
	}

	// The platform is down, so nobody can say whether the key is new. Nothing is sent,
	// and the caller is told when to come back.
	@Test
	void platformDownRefusesAsNotRun() {
		this.bench.platform().down(true);
		HttpReply refused = allocate(this.bench.entry(), key("f"), "978").join();
		assertThat(EntryBench.outcome(refused), is("not-run"));
		assertThat(refused.header("Retry-After").isPresent(), is(true));
		assertThat(this.bench.plain().calls().peek(), nullValue());
	}

	// The claim's write is lost, with or without its effect. The entry reads back and the
	// call runs exactly once.
	@ParameterizedTest
	@EnumSource(value = Fault.class, names = { "LOST_BEFORE", "LOST_AFTER" })
	void lostConfirmationOfTheClaimRunsOnce(Fault fault) {
		this.bench.platform().nextPut(fault);
		assertThat(EntryBench.outcome(allocate(this.bench.entry(), key("g"), "978").join()), is("ran"));
		assertThat(this.bench.plain().calls().size(), is(1));
	}

	// The caller hangs up while its allocation runs. The call is not cancelled: its
	// answer is kept, and the caller's repeat gets it.
	@Test
	void callerThatHangsUpGetsTheAnswerByRepeating() throws InterruptedException {
		CompletableFuture<Runnable> answer = new CompletableFuture<>();
		this.bench.plain().answers((link, call) -> answer.complete(() -> FakeAgent.echo(link, call)));
		String key = key("h");
		CompletableFuture<HttpReply> first = allocate(this.bench.entry(), key, "978");
		Call call = this.bench.plain().calls().poll(20, TimeUnit.SECONDS);
		first.cancel(true);
		EntryBench.await(() -> EntryBench.outcome(allocate(this.bench.entry(), key, "978").join()).equals("unknown"));
		answer.join().run();
		assertThat(EntryBench.text(answered(this.bench.entry(), key)), is(call.getBody().toStringUtf8()));
		assertThat(this.bench.plain().calls().size(), is(0));
	}

	@Test
	void keyFromBeforeTheKeptTimeIsUnknownAndDoesNotRun() {
		String key = (System.currentTimeMillis() - 25 * 3_600_000L) + "-old";
		HttpReply reply = allocate(this.bench.entry(), key, "978").join();
		assertThat(EntryBench.outcome(reply), is("unknown"));
		assertThat(EntryBench.text(reply), containsString("idempotency-key-too-old"));
		assertThat(this.bench.plain().calls().size(), is(0));
	}

	private EntryProcess ready(String vm) {
		EntryProcess other = this.bench.another(vm);
		EntryBench.await(() -> this.bench.call(other, "GET", "/services/registry/probe", "").join().status() == 200);
		this.bench.plain().calls().removeIf((call) -> call.getMethod().equals("GET"));
		return other;
	}

	private HttpReply answered(EntryProcess to, String key) {
		EntryBench.await(() -> allocate(to, key, "978").join().status() == 200);
		return allocate(to, key, "978").join();
	}

	private CompletableFuture<HttpReply> allocate(EntryProcess to, String key, String body, String... headers) {
		String[] all = Stream.concat(Stream.of(CallerHeaders.IDEMPOTENCY_KEY, key), Stream.of(headers))
			.toArray(String[]::new);
		return this.bench.call(to, "POST", "/services/registry/allocate", body, all);
	}

	private static String key(String text) {
		return System.currentTimeMillis() + "-" + text;
	}

}
