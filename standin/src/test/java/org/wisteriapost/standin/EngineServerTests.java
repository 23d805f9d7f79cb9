package org.wisteriapost.standin;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.policy.bundle.WeightFile;
import org.wisteriapost.protocol.CallerHeaders;
import org.wisteriapost.protocol.http.HttpCall;
import org.wisteriapost.protocol.http.HttpResponse;
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.outside.Engine;
import org.wisteriapost.protocol.outside.WeightStore;
import org.wisteriapost.protocol.outside.http.HttpEngine;
import org.wisteriapost.protocol.outside.http.HttpWeightStore;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;

class EngineServerTests {

	private static final long LIMIT_SECONDS = 20;

	private static final Duration LIMIT = Duration.ofSeconds(LIMIT_SECONDS);

	private final PooledHttpClient caller = PooledHttpClient.create(1);

	private final List<EngineServer> servers = new ArrayList<>();

	@AfterEach
	void stop() {
		this.caller.close();
		this.servers.forEach(EngineServer::close);
	}

	@Test
	void chunksAreKeptPerFileAndDropped() throws Exception {
		WeightStore store = HttpWeightStore.at(this.caller, address(start(EngineOptions.quick())));
		done(store.put("f", 3, bytes("three")));
		assertThat(done(store.get("f", 3)).orElseThrow(), is(bytes("three")));
		assertThat(done(store.get("f", 2)), is(Optional.empty()));
		assertThat(done(store.storedChunks("f")).toString(), is("{3}"));
		done(store.delete("f"));
		assertThat(done(store.storedChunks("f")).cardinality(), is(0));
	}

	@Test
	void weightsAreLoadedOnlyWithEveryChunk() throws Exception {
		URI address = address(start(EngineOptions.quick()));
		WeightFile file = file("a", "b", "c");
		WeightStore store = HttpWeightStore.at(this.caller, address);
		Engine engine = HttpEngine.at(this.caller, address);
		Engine.Order order = new Engine.Order("w1", List.of(file.digest()), 1, 1);
		done(store.put(file.digest(), 0, bytes("a")));
		done(store.put(file.digest(), 1, bytes("b")));
		assertThat(HttpPlatformTests.code(engine.load(order)), is("engine-unavailable"));
		done(store.put(file.digest(), 2, bytes("X")));
		assertThat(HttpPlatformTests.code(engine.load(order)), is("engine-unavailable"));
		done(store.put(file.digest(), 2, bytes("c")));
		done(engine.load(order));
		assertThat(awaitServing(engine).weightsDigest(), is("w1"));
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void staleOrderIsRejectedOnlyByAnEngineThatChecksFencing(boolean fencing) throws Exception {
		Engine engine = HttpEngine.at(this.caller, address(start(EngineOptions.quick().fencing(fencing))));
		done(engine.load(new Engine.Order("w2", List.of(), 2, 5)));
		CompletableFuture<Void> lower = engine.load(new Engine.Order("w1", List.of(), 2, 4));
		if (fencing) {
			assertThat(HttpPlatformTests.code(lower), is("engine-fenced"));
		}
		else {
			done(lower);
		}
		assertThat(awaitServing(engine).weightsDigest(), is(fencing ? "w2" : "w1"));
	}

	@Test
	void callIsRejectedUntilWeightsAreLoaded() throws Exception {
		EngineServer server = start(EngineOptions.quick());
		assertThat(complete(server, "r1", "hello", false).status(), is(503));
		load(server, "w1");
		HttpResponse reply = complete(server, "r2", "hello", false);
		assertThat(reply.status(), is(200));
		assertThat(reply.header(CallerHeaders.WEIGHTS), is(Optional.of("w1")));
		assertThat(text(reply), containsString(EngineTokens.answer("w1", "hello", 5)));
		assertThat(server.executed(), is(Map.of("r2", 1L)));
	}

	@Test
	void streamedAnswerHasEveryTokenAndItsEnd() throws Exception {
		EngineServer server = start(EngineOptions.quick());
		load(server, "w1");
		for (int i = 0; i < 3; i++) {
			HttpResponse reply = complete(server, "r" + i, "prompt " + i, true);
			assertThat(ChatCompletion.ofEvents(text(reply)),
					is(new ChatCompletion(EngineTokens.answer("w1", "prompt " + i, 5), true)));
			assertThat(text(reply), endsWith("data: [DONE]\n\n"));
		}
	}

	// The client disconnects during a call. Its slot must be released, or calls of
	// disconnected clients would occupy the engine.
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void callIsCancelledWhenItsCallerDisconnects(boolean stream) throws Exception {
		EngineOptions slow = new EngineOptions(true, Duration.ZERO, Duration.ofMillis(20), Duration.ZERO, 1,
				Duration.ZERO, true);
		EngineServer server = start(slow);
		load(server, "w1");
		CompletableFuture<HttpResponse> disconnected = this.caller.call(call(server, "gone", "p", stream, 1_000_000));
		await(() -> server.executed().containsKey("gone"));
		disconnected.cancel(true);
		assertThat(complete(server, "next", "q", stream).status(), is(200));
	}

	@Test
	void urgentCallRunsBeforeQueuedCalls() throws Exception {
		EngineOptions slow = new EngineOptions(true, Duration.ZERO, Duration.ofMillis(100), Duration.ZERO, 1,
				Duration.ZERO, true);
		EngineServer server = start(slow);
		load(server, "w1");
		Engine engine = HttpEngine.at(this.caller, address(server));
		CompletableFuture<HttpResponse> first = this.caller.call(call(server, "first", "p", false, 5));
		await(() -> server.executed().containsKey("first"));
		CompletableFuture<HttpResponse> bulk = this.caller
			.call(call(server, "bulk", "p", false, 5).header(CallerHeaders.PRIORITY, "bulk"));
		await(() -> engine.state().join().queued() == 1);
		CompletableFuture<HttpResponse> urgent = this.caller
			.call(call(server, "urgent", "p", false, 1).header(CallerHeaders.PRIORITY, "urgent"));
		done(urgent);
		assertThat(bulk.isDone(), is(false));
		done(first);
		done(bulk);
	}

	private EngineServer start(EngineOptions options) {
		EngineServer server = EngineServer.start("127.0.0.1", 0, options);
		this.servers.add(server);
		return server;
	}

	private void load(EngineServer server, String weights) throws Exception {
		Engine engine = HttpEngine.at(this.caller, address(server));
		done(engine.load(new Engine.Order(weights, List.of(), 1, 1)));
		awaitServing(engine);
	}

	private static Engine.State awaitServing(Engine engine) throws Exception {
		await(() -> {
			Engine.State state = engine.state().join();
			return !state.loading() && !state.weightsDigest().isEmpty();
		});
		return done(engine.state());
	}

	private HttpResponse complete(EngineServer server, String id, String prompt, boolean stream) throws Exception {
		return done(this.caller.call(call(server, id, prompt, stream, 5)));
	}

	private static HttpCall call(EngineServer server, String id, String prompt, boolean stream, int tokens) {
		String body = "{\"model\":\"m\",\"stream\":%s,\"max_tokens\":%d,\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}"
			.formatted(stream, tokens, prompt);
		return HttpCall.of("POST", address(server).resolve("/v1/chat/completions"), LIMIT)
			.header(CallerHeaders.REQUEST_ID, id)
			.body(bytes(body));
	}

	private static WeightFile file(String... chunks) {
		List<String> hashes = List.of(chunks).stream().map((chunk) -> Digests.sha256(bytes(chunk))).toList();
		return new WeightFile("m", "1", "m", "e", chunks.length, 1, hashes);
	}

	private static URI address(EngineServer server) {
		return URI.create("http://127.0.0.1:" + server.port());
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	private static String text(HttpResponse reply) {
		return new String(reply.body(), StandardCharsets.UTF_8);
	}

	private static <T> T done(CompletableFuture<T> future) throws Exception {
		return future.get(LIMIT_SECONDS, TimeUnit.SECONDS);
	}

	private static void await(java.util.function.BooleanSupplier condition) throws Exception {
		long limit = System.nanoTime() + LIMIT.toNanos();
		while (!condition.getAsBoolean()) {
			assertThat("condition met within the time limit", System.nanoTime() < limit);
			Thread.sleep(5);
		}
	}

}
