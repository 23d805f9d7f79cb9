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
import org.wisteriapost.protocol.http.HttpResponse;
import org.wisteriapost.protocol.outside.FakePlatform.Fault;
import org.wisteriapost.protocol.wire.Call;
import org.wisteriapost.protocol.wire.Outcome;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

class AtMostOnceCallTests {

	@AutoClose
	private final EntryFixture fixture = EntryFixture.start();

	@Test
	void repeatAtTheSameEntryGetsTheFirstAnswerWithoutRunning() {
		String key = key("a");
		HttpResponse first = allocate(this.fixture.entry(), key, "978").join();
		HttpResponse second = awaitAnswer(this.fixture.entry(), key);
		assertThat(EntryFixture.text(second), is(EntryFixture.text(first)));
		assertThat(second.header("Content-Type"), is(first.header("Content-Type")));
		assertThat(this.fixture.plain().calls().size(), is(1));
	}

	// The other entry gets the stored answer from the platform.
	@Test
	void repeatAtAnotherEntryGetsTheFirstAnswerWithoutRunning() {
		String key = key("b");
		HttpResponse first = allocate(this.fixture.entry(), key, "978").join();
		try (EntryProcess other = startReadyEntry("n2")) {
			assertThat(EntryFixture.text(awaitAnswer(other, key)), is(EntryFixture.text(first)));
			assertThat(this.fixture.plain().calls().size(), is(1));
		}
	}

	@Test
	void anotherBodyUnderTheSameKeyIsRefused() {
		String key = key("c");
		allocate(this.fixture.entry(), key, "978").join();
		HttpResponse other = allocate(this.fixture.entry(), key, "979").join();
		assertThat(EntryFixture.text(other), containsString("idempotency-key-reused"));
		assertThat(this.fixture.plain().calls().size(), is(1));
	}

	// The runner fails during the call, which may have run; so no repeat may run.
	@Test
	void interruptedCallStaysUnknown() {
		this.fixture.plain()
			.answerWith((link, call) -> FakeAgent.send(link, FakeAgent.end(call, Outcome.UNKNOWN, "runner-cut")));
		String key = key("d");
		assertThat(EntryFixture.outcome(allocate(this.fixture.entry(), key, "978").join()), is("unknown"));
		assertThat(EntryFixture.outcome(allocate(this.fixture.entry(), key, "978").join()), is("unknown"));
		assertThat(this.fixture.plain().calls().size(), is(1));
	}

	// A refusal by the gate releases the claim, so that the same key can run later.
	@Test
	void callThatCertainlyDidNotRunMayBeRepeated() {
		this.fixture.plain()
			.answerWith((link, call) -> FakeAgent.send(link, FakeAgent.end(call, Outcome.NOT_RUN, "gate-full")));
		String key = key("e");
		HttpResponse refused = allocate(this.fixture.entry(), key, "978", CallerHeaders.DEADLINE, "400").join();
		assertThat(EntryFixture.outcome(refused), is("not-run"));
		this.fixture.plain().answerWith(FakeAgent::echo);
		EntryFixture.await(() -> allocate(this.fixture.entry(), key, "978").join().status() == 200);
	}

	// Without the platform it is unknown whether the key is new, so nothing may be sent.
	@Test
	void callIsRefusedAsNotRunWhileThePlatformIsDown() {
		this.fixture.platform().down(true);
		HttpResponse refused = allocate(this.fixture.entry(), key("f"), "978").join();
		assertThat(EntryFixture.outcome(refused), is("not-run"));
		assertThat(refused.header("Retry-After").isPresent(), is(true));
		assertThat(this.fixture.plain().calls().peek(), nullValue());
	}

	// The reply to the claim's write is lost, whether or not the write took effect. The
	// entry reads the claim back, and the call runs exactly once.
	@ParameterizedTest
	@EnumSource(value = Fault.class, names = { "LOST_BEFORE", "LOST_AFTER" })
	void callRunsOnceWhenTheReplyToItsClaimIsLost(Fault fault) {
		this.fixture.platform().nextPut(fault);
		assertThat(EntryFixture.outcome(allocate(this.fixture.entry(), key("g"), "978").join()), is("ran"));
		assertThat(this.fixture.plain().calls().size(), is(1));
	}

	// A call with an idempotency key is not cancelled when its caller disconnects.
	@Test
	void disconnectedCallerGetsTheAnswerByRepeating() throws InterruptedException {
		CompletableFuture<Runnable> answer = new CompletableFuture<>();
		this.fixture.plain().answerWith((link, call) -> answer.complete(() -> FakeAgent.echo(link, call)));
		String key = key("h");
		CompletableFuture<HttpResponse> first = allocate(this.fixture.entry(), key, "978");
		Call call = this.fixture.plain().calls().poll(20, TimeUnit.SECONDS);
		first.cancel(true);
		EntryFixture
			.await(() -> EntryFixture.outcome(allocate(this.fixture.entry(), key, "978").join()).equals("unknown"));
		answer.join().run();
		assertThat(EntryFixture.text(awaitAnswer(this.fixture.entry(), key)), is(call.getBody().toStringUtf8()));
		assertThat(this.fixture.plain().calls().size(), is(0));
	}

	@Test
	void expiredKeyHasUnknownOutcomeAndDoesNotRun() {
		String key = (System.currentTimeMillis() - 25 * 3_600_000L) + "-old";
		HttpResponse reply = allocate(this.fixture.entry(), key, "978").join();
		assertThat(EntryFixture.outcome(reply), is("unknown"));
		assertThat(EntryFixture.text(reply), containsString("idempotency-key-too-old"));
		assertThat(this.fixture.plain().calls().size(), is(0));
	}

	private EntryProcess startReadyEntry(String vm) {
		EntryProcess other = this.fixture.startEntry(vm);
		EntryFixture
			.await(() -> this.fixture.call(other, "GET", "/services/registry/probe", "").join().status() == 200);
		this.fixture.plain().calls().removeIf((call) -> call.getMethod().equals("GET"));
		return other;
	}

	private HttpResponse awaitAnswer(EntryProcess to, String key) {
		EntryFixture.await(() -> allocate(to, key, "978").join().status() == 200);
		return allocate(to, key, "978").join();
	}

	private CompletableFuture<HttpResponse> allocate(EntryProcess to, String key, String body, String... headers) {
		String[] all = Stream.concat(Stream.of(CallerHeaders.IDEMPOTENCY_KEY, key), Stream.of(headers))
			.toArray(String[]::new);
		return this.fixture.call(to, "POST", "/services/registry/allocate", body, all);
	}

	private static String key(String text) {
		return System.currentTimeMillis() + "-" + text;
	}

}
