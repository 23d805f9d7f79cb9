package org.wisteriapost.entry;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.protocol.CallerHeaders;
import org.wisteriapost.protocol.http.HttpResponse;
import org.wisteriapost.protocol.wire.Call;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.Outcome;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

class EntryAnswerTests {

	@AutoClose
	private final EntryFixture fixture = EntryFixture.start();

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void answerIsCompleteWithItsOutcomeAndWeights(boolean stream) {
		HttpResponse reply = this.fixture.chat("hello", stream).join();
		assertThat(EntryFixture.text(reply), containsString("hello"));
		assertThat(EntryFixture.outcome(reply), is("ran"));
		assertThat(reply.header(CallerHeaders.WEIGHTS).orElseThrow(), is(EntryFixture.DIGEST));
	}

	@Test
	void plainServiceReceivesMethodPathQueryAndDeadline() throws InterruptedException {
		this.fixture.call("GET", "/services/registry/isbn/978?x=1", "", CallerHeaders.DEADLINE, "900").join();
		Call call = this.fixture.plain().calls().poll(20, TimeUnit.SECONDS);
		assertThat(call.getMethod() + " " + call.getPath(), is("GET /isbn/978?x=1"));
		assertThat(call.getRemainingMillis() <= 900, is(true));
	}

	// The runner fails during a streamed answer. The caller must not take the partial
	// answer for a complete one.
	@Test
	void interruptedStreamResetsTheConnection() {
		this.fixture.model().answerWith((link, call) -> {
			FakeAgent.send(link, FakeAgent.started(call, call.getWeightsDigest()));
			FakeAgent.send(link, FakeAgent.data(call, "half"));
			FakeAgent.send(link, FakeAgent.end(call, Outcome.UNKNOWN, "runner-lost"));
		});
		CompletableFuture<HttpResponse> reply = this.fixture.chat("x", true);
		assertThrows(CompletionException.class, reply::join);
	}

	// Guards against a pause of a sound runner that ends its answer.
	@ParameterizedTest
	@CsvSource({ "true, 0, 1000", "true, 0, 2000", "true, 1, 1000", "true, 1, 2000", "false, 0, 2000",
			"false, 1, 2000" })
	void answerContinuesAfterAPause(boolean stream, int dataBefore, long millis) {
		this.fixture.model().answerWith((link, call) -> Thread.ofVirtual().start(() -> {
			if (dataBefore > 0) {
				FakeAgent.send(link, FakeAgent.started(call, call.getWeightsDigest()));
				FakeAgent.send(link, FakeAgent.data(call, "first,"));
			}
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
			if (dataBefore == 0) {
				FakeAgent.send(link, FakeAgent.started(call, call.getWeightsDigest()));
				FakeAgent.send(link, FakeAgent.data(call, "first,"));
			}
			FakeAgent.send(link, FakeAgent.data(call, "second"));
			FakeAgent.send(link, FakeAgent.end(call, Outcome.RAN, ""));
		}));
		HttpResponse reply = this.fixture.chat("x", stream).join();
		assertThat(EntryFixture.text(reply), is("first,second"));
		assertThat(EntryFixture.outcome(reply), is("ran"));
	}

	// The runner fails before any byte of a buffered answer was sent, so the caller can
	// still be told that the request may have run.
	@Test
	void interruptedBufferedAnswerHasUnknownOutcome() {
		this.fixture.model().answerWith((link, call) -> {
			FakeAgent.send(link, FakeAgent.started(call, call.getWeightsDigest()));
			FakeAgent.send(link, FakeAgent.data(call, "half"));
			FakeAgent.send(link, FakeAgent.end(call, Outcome.UNKNOWN, "runner-lost"));
		});
		HttpResponse reply = this.fixture.chat("x", false, CallerHeaders.DEADLINE, "1500").join();
		assertThat(EntryFixture.outcome(reply), is("unknown"));
	}

	// An engine that ignores fencing switches weights during a call, and its agent does
	// not notice. The entry compares the digests and passes no byte on.
	@Test
	void answerFromOtherWeightsIsWithheld() {
		this.fixture.model().answerWith((link, call) -> {
			FakeAgent.send(link, FakeAgent.started(call, "other"));
			FakeAgent.send(link, FakeAgent.data(call, "wrong"));
			FakeAgent.send(link, FakeAgent.end(call, Outcome.RAN, ""));
		});
		HttpResponse reply = this.fixture.chat("x", true, CallerHeaders.DEADLINE, "1500").join();
		assertThat(EntryFixture.text(reply).contains("wrong"), is(false));
		assertThat(this.fixture.entry().invariants().violations().get("exact-weights"), notNullValue());
	}

	// The only gate refuses the call. The caller gets the time to retry in milliseconds
	// and in whole seconds, rounded up.
	@Test
	void refusalByTheOnlyGateIsNotRunWithARetryTime() {
		this.fixture.plain()
			.answerWith((link, call) -> FakeAgent.send(link, FakeAgent.end(call, Outcome.NOT_RUN, "gate-full")));
		HttpResponse reply = this.fixture.call("GET", "/services/registry/x", "", CallerHeaders.DEADLINE, "500").join();
		assertThat(EntryFixture.outcome(reply), is("not-run"));
		long seconds = Long.parseLong(reply.header("Retry-After").orElseThrow());
		long millis = Long.parseLong(reply.header(CallerHeaders.RETRY_AFTER_MILLIS).orElseThrow());
		assertThat(seconds, is((millis + 999) / 1000));
	}

	// Frames with an id that was never used, and frames after the end of their call.
	@Test
	void framesOfUnknownOrEndedCallsReachNoCaller() {
		this.fixture.model().answerWith((link, call) -> {
			Call stray = call.toBuilder().setId(call.getId() + 1000).build();
			FakeAgent.send(link, FakeAgent.started(stray, call.getWeightsDigest()));
			FakeAgent.send(link, FakeAgent.data(stray, "stray"));
			FakeAgent.echo(link, call);
			FakeAgent.send(link, FakeAgent.data(call, "late"));
		});
		for (int i = 0; i < 20; i++) {
			String text = EntryFixture.text(this.fixture.chat("mine-" + i, i % 2 == 0).join());
			assertThat(text.contains("\"mine-" + i + "\"") && !text.contains("stray") && !text.contains("late"),
					is(true));
		}
	}

	// The runner must be freed when the caller of a stream disconnects. The deadline is
	// longer than the test's timeout, so that it does not cause the cancellation.
	@Test
	void disconnectCancelsTheCall() throws InterruptedException {
		this.fixture.model().answerWith((link, call) -> {
			FakeAgent.send(link, FakeAgent.started(call, call.getWeightsDigest()));
			FakeAgent.send(link, FakeAgent.data(call, "first"));
		});
		CompletableFuture<HttpResponse> reply = this.fixture.chat("x", true, CallerHeaders.DEADLINE, "120000");
		Call call = this.fixture.model().calls().poll(20, TimeUnit.SECONDS);
		reply.cancel(true);
		EntryFixture.await(() -> this.fixture.model()
			.otherFrames()
			.stream()
			.anyMatch((frame) -> frame.hasCallCancel() && frame.getCallCancel().getId() == call.getId()));
	}

	// A caller stops reading a stream. Past the limit of queued bytes its call is
	// cancelled, and other callers are not affected.
	@Test
	void connectionOfACallerThatDoesNotReadIsReset() throws Exception {
		this.fixture.model().answerWith((link, call) -> {
			FakeAgent.send(link, FakeAgent.started(call, call.getWeightsDigest()));
			for (int i = 0; i < 100; i++) {
				FakeAgent.send(link, FakeAgent.data(call, "x".repeat(200_000)));
			}
		});
		String body = "{\"model\":\"lm\",\"stream\":true,\"messages\":[]}";
		try (Socket socket = new Socket("127.0.0.1", this.fixture.entry().httpPort())) {
			socket.getOutputStream()
				.write(("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + EntryFixture.TOKEN
						+ "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
					.getBytes(StandardCharsets.US_ASCII));
			EntryFixture.await(() -> this.fixture.model().otherFrames().stream().anyMatch(Frame::hasCallCancel));
			assertThat(this.fixture.call("GET", "/services/registry/x", "").join().status(), is(200));
		}
	}

	@Test
	void callsOfALostLinkAreAnsweredAndTheLinkIsRestored() {
		this.fixture.plain().answerWith((link, call) -> link.close());
		HttpResponse lost = this.fixture.call("GET", "/services/registry/x", "", CallerHeaders.DEADLINE, "800").join();
		assertThat(EntryFixture.outcome(lost).equals("ran"), is(false));
		this.fixture.plain().answerWith(FakeAgent::echo);
		EntryFixture.await(() -> this.fixture.call("GET", "/services/registry/x", "").join().status() == 200);
	}

}
