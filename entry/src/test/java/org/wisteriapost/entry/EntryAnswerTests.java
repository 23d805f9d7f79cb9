package org.wisteriapost.entry;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.protocol.CallerHeaders;
import org.wisteriapost.protocol.http.HttpReply;
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
	private final EntryBench bench = EntryBench.start();

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void answerComesWholeWithItsOutcomeAndWeights(boolean stream) {
		HttpReply reply = this.bench.chat("hello", stream).join();
		assertThat(EntryBench.text(reply), containsString("hello"));
		assertThat(EntryBench.outcome(reply), is("ran"));
		assertThat(reply.header(CallerHeaders.WEIGHTS).orElseThrow(), is(EntryBench.DIGEST));
	}

	@Test
	void plainServiceGetsMethodPathQueryAndDeadline() throws InterruptedException {
		this.bench.call("GET", "/services/registry/isbn/978?x=1", "", CallerHeaders.DEADLINE, "900").join();
		Call call = this.bench.plain().calls().poll(20, TimeUnit.SECONDS);
		assertThat(call.getMethod() + " " + call.getPath(), is("GET /isbn/978?x=1"));
		assertThat(call.getRemainingMillis() <= 900, is(true));
	}

	// A runner dies after half a streamed answer. The caller must not be able to take the
	// half for the whole, so its connection is reset instead of ending in order.
	@Test
	void cutStreamEndsAsABrokenConnection() {
		this.bench.model().answers((link, call) -> {
			FakeAgent.send(link, FakeAgent.started(call, call.getWeightsDigest()));
			FakeAgent.send(link, FakeAgent.data(call, "half"));
			FakeAgent.send(link, FakeAgent.end(call, Outcome.UNKNOWN, "runner-lost"));
		});
		CompletableFuture<HttpReply> reply = this.bench.chat("x", true);
		assertThrows(CompletionException.class, reply::join);
	}

	// The agent's process is killed while it holds a call that has answered half. Nothing
	// of a held answer has gone out, so the caller is told that it may have run.
	@Test
	void heldAnswerThatIsCutForGoodIsUnknown() {
		this.bench.model().answers((link, call) -> {
			FakeAgent.send(link, FakeAgent.started(call, call.getWeightsDigest()));
			FakeAgent.send(link, FakeAgent.data(call, "half"));
			FakeAgent.send(link, FakeAgent.end(call, Outcome.UNKNOWN, "runner-lost"));
		});
		HttpReply reply = this.bench.chat("x", false, CallerHeaders.DEADLINE, "1500").join();
		assertThat(EntryBench.outcome(reply), is("unknown"));
	}

	// An engine that ignores fencing numbers switches under a call, and its agent fails
	// to see it. The entry compares the digests and passes on not one byte.
	@Test
	void answerFromOtherWeightsIsWithheld() {
		this.bench.model().answers((link, call) -> {
			FakeAgent.send(link, FakeAgent.started(call, "other"));
			FakeAgent.send(link, FakeAgent.data(call, "wrong"));
			FakeAgent.send(link, FakeAgent.end(call, Outcome.RAN, ""));
		});
		HttpReply reply = this.bench.chat("x", true, CallerHeaders.DEADLINE, "1500").join();
		assertThat(EntryBench.text(reply).contains("wrong"), is(false));
		assertThat(this.bench.entry().invariants().violations().get("exact-weights"), notNullValue());
	}

	// A gate that was asked to take a call says it did not, with a time to come back. The
	// caller gets exactly that, in whole seconds rounded up and in milliseconds.
	@Test
	void refusalOfTheOnlyGateIsNotRunWithATimeToComeBack() {
		this.bench.plain()
			.answers((link, call) -> FakeAgent.send(link, FakeAgent.end(call, Outcome.NOT_RUN, "gate-full")));
		HttpReply reply = this.bench.call("GET", "/services/registry/x", "", CallerHeaders.DEADLINE, "500").join();
		assertThat(EntryBench.outcome(reply), is("not-run"));
		long seconds = Long.parseLong(reply.header("Retry-After").orElseThrow());
		long millis = Long.parseLong(reply.header(CallerHeaders.RETRY_AFTER_MILLIS).orElseThrow());
		assertThat(seconds, is((millis + 999) / 1000));
	}

	// An answer comes late, after its call was given up, and another with a number that
	// was never used. No caller sees a byte of either.
	@Test
	void answersOfNoCallReachNoCaller() {
		this.bench.model().answers((link, call) -> {
			Call stray = call.toBuilder().setId(call.getId() + 1000).build();
			FakeAgent.send(link, FakeAgent.started(stray, call.getWeightsDigest()));
			FakeAgent.send(link, FakeAgent.data(stray, "stray"));
			FakeAgent.echo(link, call);
			FakeAgent.send(link, FakeAgent.data(call, "late"));
		});
		for (int i = 0; i < 20; i++) {
			String text = EntryBench.text(this.bench.chat("mine-" + i, i % 2 == 0).join());
			assertThat(text.contains("\"mine-" + i + "\"") && !text.contains("stray") && !text.contains("late"),
					is(true));
		}
	}

	// A caller hangs up while its stream runs. The runner is told at once, so that it
	// stops working for no one. The deadline is past the test's patience, so that it is
	// not the deadline that cancels.
	@Test
	void hangingUpCancelsTheCall() throws InterruptedException {
		this.bench.model().answers((link, call) -> {
			FakeAgent.send(link, FakeAgent.started(call, call.getWeightsDigest()));
			FakeAgent.send(link, FakeAgent.data(call, "first"));
		});
		CompletableFuture<HttpReply> reply = this.bench.chat("x", true, CallerHeaders.DEADLINE, "120000");
		Call call = this.bench.model().calls().poll(20, TimeUnit.SECONDS);
		reply.cancel(true);
		EntryBench.await(() -> this.bench.model()
			.others()
			.stream()
			.anyMatch((frame) -> frame.hasCallCancel() && frame.getCallCancel().getId() == call.getId()));
	}

	// A phone stops reading in the middle of a stream. What waits for it is bounded: past
	// the bound it is cut and its call cancelled, and others are answered as before.
	@Test
	void callerThatDoesNotReadIsCut() throws Exception {
		this.bench.model().answers((link, call) -> {
			FakeAgent.send(link, FakeAgent.started(call, call.getWeightsDigest()));
			for (int i = 0; i < 100; i++) {
				FakeAgent.send(link, FakeAgent.data(call, "x".repeat(200_000)));
			}
		});
		String body = "{\"model\":\"lm\",\"stream\":true,\"messages\":[]}";
		try (Socket socket = new Socket("127.0.0.1", this.bench.entry().httpPort())) {
			socket.getOutputStream()
				.write(("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + EntryBench.TOKEN
						+ "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
					.getBytes(StandardCharsets.US_ASCII));
			EntryBench.await(() -> this.bench.model().others().stream().anyMatch(Frame::hasCallCancel));
			assertThat(this.bench.call("GET", "/services/registry/x", "").join().status(), is(200));
		}
	}

	@Test
	void lostLinkAnswersItsCallsAndComesBack() {
		this.bench.plain().answers((link, call) -> link.close());
		HttpReply lost = this.bench.call("GET", "/services/registry/x", "", CallerHeaders.DEADLINE, "800").join();
		assertThat(EntryBench.outcome(lost).equals("ran"), is(false));
		this.bench.plain().answers(FakeAgent::echo);
		EntryBench.await(() -> this.bench.call("GET", "/services/registry/x", "").join().status() == 200);
	}

}
