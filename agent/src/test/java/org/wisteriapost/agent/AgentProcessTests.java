package org.wisteriapost.agent;

import java.nio.charset.StandardCharsets;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.kernel.Invariants;
import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.policy.agent.AgentEffect;
import org.wisteriapost.policy.agent.AgentStateMachine;
import org.wisteriapost.policy.bundle.Approvals;
import org.wisteriapost.policy.bundle.Bundle;
import org.wisteriapost.policy.bundle.BundleCodec;
import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.policy.bundle.Head;
import org.wisteriapost.policy.bundle.ServiceSpec;
import org.wisteriapost.policy.bundle.WeightFile;
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.link.Links;
import org.wisteriapost.protocol.outside.VmList;
import org.wisteriapost.protocol.wire.CallEnd;
import org.wisteriapost.protocol.wire.Outcome;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

/**
 * Tests of a whole agent over real links and HTTP, with fake external systems.
 */
class AgentProcessTests {

	private static final int CHUNK_BYTES = 1000;

	private final FakePlatform platform = new FakePlatform();

	private final FakeOrigin origin = new FakeOrigin();

	private final FakeStore store = new FakeStore();

	private final FakeEngine engine = new FakeEngine();

	private final Links links = Links.plain(1);

	private final List<AgentProcess> agents = new ArrayList<>();

	private final KeyPair operator = keyPair();

	@AfterEach
	void stop() {
		this.agents.forEach(AgentProcess::close);
		this.links.close();
		this.engine.stop();
	}

	@Test
	void rolledOutBundleIsFetchedAndServed() {
		Bundle bundle = rollOut(1, "model-a");
		FakeEntry entry = connectEntry(start());
		awaitServing(entry, bundle);
		StringBuilder answer = new StringBuilder();
		entry.call(1, "/v1/chat/completions", "hello", digestOf(bundle));
		assertThat(entry.awaitEnd(1, answer).getOutcome(), is(Outcome.RAN));
		assertThat(answer.toString(), equalTo("echo hello"));
	}

	@Test
	void callForOtherWeightsIsRefused() {
		Bundle bundle = rollOut(1, "model-a");
		FakeEntry entry = connectEntry(start());
		awaitServing(entry, bundle);
		entry.call(1, "/x", "hello", "other");
		assertThat(entry.awaitEnd(1, new StringBuilder()).getOutcome(), is(Outcome.NOT_RUN));
		assertThat(this.engine.calls(), is(0));
	}

	// A new bundle arrives while a call runs. Switching the engine before the call has
	// completed would truncate the response or finish it from other weights.
	@Test
	void runningCallCompletesBeforeWeightsSwitch() {
		Bundle first = rollOut(1, "model-a");
		FakeEntry entry = connectEntry(start());
		awaitServing(entry, first);
		entry.call(1, "/slow", "old", digestOf(first));
		entry.awaitFrame((frame) -> frame.getCallData().getId() == 1);
		Bundle second = rollOut(2, "model-b");
		entry.sendHead(2, Digests.sha256(BundleCodec.encode(second)), true);
		entry.awaitFrame((frame) -> frame.hasReport() && !frame.getReport().getAdmitting());
		assertThat(this.engine.currentState().weightsDigest(), equalTo(digestOf(first)));
		this.engine.completeSlowCalls();
		StringBuilder rest = new StringBuilder();
		assertThat(entry.awaitEnd(1, rest).getOutcome(), is(Outcome.RAN));
		assertThat(rest.toString(), equalTo("old"));
		awaitServing(entry, second);
	}

	// An engine that ignores fencing responds from other weights. No byte may reach the
	// caller, and the code must tell the entry that the call ran and can be retried.
	@Test
	void responseFromOtherWeightsIsWithheld() {
		Bundle bundle = rollOut(1, "model-a");
		FakeEntry entry = connectEntry(start());
		awaitServing(entry, bundle);
		this.engine.setReportedWeights("foreign");
		StringBuilder answer = new StringBuilder();
		entry.call(1, "/x", "hello", digestOf(bundle));
		CallEnd end = entry.awaitEnd(1, answer);
		assertThat(end.getOutcome(), is(Outcome.UNKNOWN));
		assertThat(end.getCode(), equalTo("answer-withheld"));
		assertThat(answer.length(), is(0));
	}

	// An agent that restarts during a platform outage can neither take an epoch nor
	// confirm the head. It must still serve the weights that the engine has loaded,
	// without fetching them again.
	@Test
	void agentRestartedDuringPlatformOutageServesLoadedWeights() {
		Bundle bundle = rollOut(1, "model-a");
		AgentProcess first = start();
		awaitServing(connectEntry(first), bundle);
		first.close();
		this.agents.remove(first);
		long readBefore = this.origin.bytesRead();
		this.platform.setDown(true);
		FakeEntry entry = FakeEntry.connect(this.links, start().linkPort());
		String digest = Digests.sha256(BundleCodec.encode(bundle));
		entry.sendHead(1, digest, false);
		entry.awaitFrame((frame) -> frame.hasBundleRequest());
		entry.sendBundle(digest, BundleCodec.encode(bundle), sign(digest));
		awaitServing(entry, bundle);
		assertThat(this.origin.bytesRead(), is(readBefore));
	}

	@Test
	void leavingAgentCompletesRunningCallsAndRefusesNewOnes() {
		Bundle bundle = rollOut(1, "model-a");
		AgentProcess agent = start();
		FakeEntry entry = connectEntry(agent);
		awaitServing(entry, bundle);
		entry.call(1, "/slow", "old", digestOf(bundle));
		entry.awaitFrame((frame) -> frame.getCallData().getId() == 1);
		agent.leave();
		entry.awaitFrame((frame) -> frame.hasLeaving());
		entry.call(2, "/x", "new", digestOf(bundle));
		assertThat(entry.awaitEnd(2, new StringBuilder()).getOutcome(), is(Outcome.NOT_RUN));
		this.engine.completeSlowCalls();
		assertThat(entry.awaitEnd(1, new StringBuilder()).getOutcome(), is(Outcome.RAN));
		assertThat(agent.awaitStop(), equalTo(""));
		assertThat(this.engine.calls(), is(1));
	}

	@Test
	void callToUnreachableRunnerIsReportedAsNotRun() {
		Bundle bundle = rollOut(1, "model-a");
		FakeEntry entry = connectEntry(start());
		awaitServing(entry, bundle);
		this.engine.stop();
		entry.call(1, "/x", "hello", digestOf(bundle));
		CallEnd end = entry.awaitEnd(1, new StringBuilder());
		assertThat(end.getOutcome(), is(Outcome.NOT_RUN));
		assertThat(end.getCode(), equalTo("runner-not-reached"));
	}

	@Test
	void truncatedResponseIsReportedAsUnknownOutcome() {
		Bundle bundle = rollOut(1, "model-a");
		FakeEntry entry = connectEntry(start());
		awaitServing(entry, bundle);
		entry.call(1, "/slow", "old", digestOf(bundle));
		entry.awaitFrame((frame) -> frame.getCallData().getId() == 1);
		this.engine.closeConnections();
		CallEnd end = entry.awaitEnd(1, new StringBuilder());
		assertThat(end.getOutcome(), is(Outcome.UNKNOWN));
		assertThat(end.getCode(), equalTo("runner-cut"));
	}

	// Guards against a stream that its runner breaks off within an event and that the
	// entry passes on as complete, with and without chunks.
	@ParameterizedTest
	@ValueSource(strings = { "data: 1\n\ndata: 2\n", "data: 1\n\ndata: 2", "data: 1", "data: 1\r\n\r\nid" })
	void streamThatEndsWithinAnEventIsReportedAsUnknownOutcome(String stream) {
		Bundle bundle = rollOut(1, "model-a");
		FakeEntry entry = connectEntry(start());
		awaitServing(entry, bundle);
		for (int id = 1; id <= 2; id++) {
			entry.call(id, "/events", stream, digestOf(bundle));
			CallEnd end = entry.awaitEnd(id, new StringBuilder());
			assertThat(end.getOutcome(), is(Outcome.UNKNOWN));
			assertThat(end.getCode(), equalTo("runner-cut"));
			this.engine.omitFraming();
		}
	}

	// Guards against a complete answer with neither a length nor chunks that counts as
	// broken off, or whose connection is used again.
	@ParameterizedTest
	@CsvSource({ "/x, hello, echo hello", "/x, '', 'echo '", "/events, 'data: 1\n\n', 'data: 1\n\n'",
			"/events, 'data: 1\r\n\r\n', 'data: 1\r\n\r\n'", "/events, '', ''" })
	void answerWithoutFramingIsComplete(String path, String body, String expected) {
		Bundle bundle = rollOut(1, "model-a");
		FakeEntry entry = connectEntry(start());
		awaitServing(entry, bundle);
		this.engine.omitFraming();
		for (int id = 1; id <= 3; id++) {
			StringBuilder answer = new StringBuilder();
			entry.call(id, path, body, digestOf(bundle));
			assertThat(entry.awaitEnd(id, answer).getOutcome(), is(Outcome.RAN));
			assertThat(answer.toString(), equalTo(expected));
		}
	}

	// Guards against a pause of a sound runner that ends its answer.
	@ParameterizedTest
	@CsvSource({ "0, 1000", "0, 2000", "1, 1000", "1, 2000" })
	void answerContinuesAfterAPause(int eventsBefore, long millis) {
		Bundle bundle = rollOut(1, "model-a");
		FakeEntry entry = connectEntry(start());
		awaitServing(entry, bundle);
		this.engine.pauseAnswers(eventsBefore, millis);
		StringBuilder answer = new StringBuilder();
		entry.call(1, "/events", "data: 1\n\ndata: 2\n\n", digestOf(bundle));
		assertThat(entry.awaitEnd(1, answer).getOutcome(), is(Outcome.RAN));
		assertThat(answer.toString(), equalTo("data: 1\n\ndata: 2\n\n"));
	}

	// The link to the entry closes during a call. Unless cancelled, the call occupies the
	// runner's capacity until its deadline.
	@Test
	void closedLinkCancelsItsCallsAtRunner() {
		Bundle bundle = rollOut(1, "model-a");
		AgentProcess agent = start();
		FakeEntry closing = connectEntry(agent);
		FakeEntry other = connectEntry(agent);
		awaitServing(closing, bundle);
		closing.call(1, "/slow", "old", digestOf(bundle));
		closing.awaitFrame((frame) -> frame.getCallData().getId() == 1);
		other.awaitFrame((frame) -> frame.getReport().getRunning() == 1);
		closing.close();
		other.awaitFrame((frame) -> frame.hasReport() && frame.getReport().getRunning() == 0);
	}

	// The process was paused between deciding on an order and sending it. By then a newer
	// agent may own the engine.
	@Test
	void orderIsNotSentAfterItsLeaseExpired() {
		Settings settings = Settings.parse("agent.ini", settings());
		AgentStateMachine stateMachine = AgentStateMachine.create(AgentSettings.identity(settings, "n"),
				AgentSettings.limits(settings), AgentSettings.approvalPolicy(settings), Invariants.create(),
				RandomSource.XO_RO_SHI_RO_128_PP.create(1));
		AgentLoop loop = new AgentLoop(stateMachine, (effect) -> {
		});
		loop.start();
		AgentEffect.SendOrder expired = new AgentEffect.SendOrder("w", List.of(), 1, 1, -1);
		new EngineClient(this.engine, loop).sendOrder(expired);
		loop.close();
		assertThat(this.engine.currentState().generation(), is(0L));
	}

	private AgentProcess start() {
		Settings settings = Settings.parse("agent.ini", settings());
		AgentSettings.validate(settings);
		VmList none = new VmList() {
			@Override
			public java.util.concurrent.CompletableFuture<List<Vm>> read() {
				return java.util.concurrent.CompletableFuture.completedFuture(List.of());
			}

			@Override
			public void close() {
				// Nothing to close.
			}
		};
		AgentProcess agent = AgentProcess.start(settings, new ExternalSystems(PooledHttpClient.create(1), this.platform,
				none, this.origin, this.store, this.engine));
		this.agents.add(agent);
		return agent;
	}

	private FakeEntry connectEntry(AgentProcess agent) {
		return FakeEntry.connect(this.links, agent.linkPort());
	}

	private void awaitServing(FakeEntry entry, Bundle bundle) {
		entry.awaitFrame((frame) -> frame.hasReport() && frame.getReport().getAdmitting()
				&& frame.getReport().getWeightsDigest().equals(digestOf(bundle)));
	}

	private Bundle rollOut(long generation, String model) {
		byte[] content = model.repeat(700).getBytes(StandardCharsets.UTF_8);
		this.origin.set(model, content);
		Bundle bundle = bundle(model, content);
		byte[] encoded = BundleCodec.encode(bundle);
		String digest = Digests.sha256(encoded);
		this.platform.set("bundles/" + digest, encoded);
		this.platform.set("approvals/" + digest + "/aminata", sign(digest));
		this.platform.set("head", BundleCodec.encode(new Head(generation, digest, "aminata", 0, "n" + generation)));
		return bundle;
	}

	private byte[] sign(String digest) {
		return Approvals.sign(digest, base64(this.operator.getPrivate().getEncoded()));
	}

	private static Bundle bundle(String model, byte[] content) {
		List<String> chunks = new ArrayList<>();
		for (int at = 0; at < content.length; at += CHUNK_BYTES) {
			chunks.add(Digests
				.sha256(java.util.Arrays.copyOfRange(content, at, Math.min(at + CHUNK_BYTES, content.length))));
		}
		WeightFile file = new WeightFile(model, "1", model, "\"1\"", content.length, CHUNK_BYTES, chunks);
		ServiceSpec spec = new ServiceSpec("lm", ServiceSpec.Kind.MODEL, model, List.of(), List.of("hall-a"), List.of(),
				0);
		return new Bundle("test", "1", List.of(spec), List.of(file));
	}

	private static String digestOf(Bundle bundle) {
		return bundle.weightsDigest(bundle.services().getFirst());
	}

	private String settings() {
		return """
				[process]
				vm = vm-1
				place = hall-a
				[outside]
				platform = http://127.0.0.1:1
				vm-list = http://127.0.0.1:1
				origin = http://127.0.0.1:1
				[operators]
				approvals = 1
				[operator aminata]
				public-key = %s
				[agent]
				service = lm
				link-host = 127.0.0.1
				runner = %s
				lease-millis = 1000
				""".formatted(base64(this.operator.getPublic().getEncoded()), this.engine.address());
	}

	private static String base64(byte[] bytes) {
		return Base64.getEncoder().encodeToString(bytes);
	}

	private static KeyPair keyPair() {
		try {
			return KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
		}
		catch (java.security.NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
