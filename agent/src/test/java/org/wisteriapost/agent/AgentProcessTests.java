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
import org.wisteriapost.protocol.http.HttpCaller;
import org.wisteriapost.protocol.link.Links;
import org.wisteriapost.protocol.outside.VmList;
import org.wisteriapost.protocol.wire.CallEnd;
import org.wisteriapost.protocol.wire.Outcome;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

/**
 * A whole agent over real links and HTTP, with fakes for what is outside.
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
	void rolledBundleIsFetchedOrderedReadBackAndServed() {
		Bundle bundle = roll(1, "model-a");
		FakeEntry entry = entryOf(start());
		awaitServing(entry, bundle);
		StringBuilder answer = new StringBuilder();
		entry.call(1, "/v1/chat/completions", "hello", digestOf(bundle));
		assertThat(entry.end(1, answer).getOutcome(), is(Outcome.RAN));
		assertThat(answer.toString(), equalTo("echo hello"));
	}

	@Test
	void callForOtherWeightsIsRefusedAndDoesNotRun() {
		Bundle bundle = roll(1, "model-a");
		FakeEntry entry = entryOf(start());
		awaitServing(entry, bundle);
		entry.call(1, "/x", "hello", "other");
		assertThat(entry.end(1, new StringBuilder()).getOutcome(), is(Outcome.NOT_RUN));
		assertThat(this.engine.calls(), is(0));
	}

	// A call runs on the old weights while a new bundle arrives. The caller sees its
	// whole
	// answer, from the weights it asked for; only then is the engine switched. Ordering
	// it
	// at once would cut the answer or end it on other weights.
	@Test
	void runningCallEndsWholeBeforeTheSwitch() {
		Bundle first = roll(1, "model-a");
		FakeEntry entry = entryOf(start());
		awaitServing(entry, first);
		entry.call(1, "/slow", "old", digestOf(first));
		entry.next((frame) -> frame.getCallData().getId() == 1);
		Bundle second = roll(2, "model-b");
		entry.tellHead(2, Digests.sha256(BundleCodec.encode(second)), true);
		entry.next((frame) -> frame.hasReport() && !frame.getReport().getAdmitting());
		assertThat(this.engine.now().weightsDigest(), equalTo(digestOf(first)));
		this.engine.letSlowCallsEnd();
		StringBuilder rest = new StringBuilder();
		assertThat(entry.end(1, rest).getOutcome(), is(Outcome.RAN));
		assertThat(rest.toString(), equalTo("old"));
		awaitServing(entry, second);
	}

	// An engine that ignores fencing was switched behind the agent's back. It answers a
	// call from other weights; the caller gets not a byte of it, and the entry learns
	// that
	// it ran and may be sent elsewhere.
	@Test
	void answerFromOtherWeightsIsWithheldBeforeItsFirstByte() {
		Bundle bundle = roll(1, "model-a");
		FakeEntry entry = entryOf(start());
		awaitServing(entry, bundle);
		this.engine.labelAnswers("foreign");
		StringBuilder answer = new StringBuilder();
		entry.call(1, "/x", "hello", digestOf(bundle));
		CallEnd end = entry.end(1, answer);
		assertThat(end.getOutcome(), is(Outcome.UNKNOWN));
		assertThat(end.getCode(), equalTo("answer-withheld"));
		assertThat(answer.length(), is(0));
	}

	// The agent is killed while the platform is down and a new one starts: it can neither
	// take an epoch nor confirm the head. The engine serves the head that the entry
	// tells,
	// so calls are answered again, and not a byte is fetched twice.
	@Test
	void restartWithoutThePlatformServesWhatTheEngineServes() {
		Bundle bundle = roll(1, "model-a");
		AgentProcess first = start();
		awaitServing(entryOf(first), bundle);
		first.close();
		this.agents.remove(first);
		long given = this.origin.given();
		this.platform.down(true);
		FakeEntry entry = FakeEntry.connect(this.links, start().linkPort());
		String digest = Digests.sha256(BundleCodec.encode(bundle));
		entry.tellHead(1, digest, false);
		entry.next((frame) -> frame.hasBundleRequest());
		entry.giveBundle(digest, BundleCodec.encode(bundle), sign(digest));
		awaitServing(entry, bundle);
		assertThat(this.origin.given(), is(given));
	}

	@Test
	void leavingEndsRunningCallsRefusesNewOnesAndStops() {
		Bundle bundle = roll(1, "model-a");
		AgentProcess agent = start();
		FakeEntry entry = entryOf(agent);
		awaitServing(entry, bundle);
		entry.call(1, "/slow", "old", digestOf(bundle));
		entry.next((frame) -> frame.getCallData().getId() == 1);
		agent.leave();
		entry.next((frame) -> frame.hasLeaving());
		entry.call(2, "/x", "new", digestOf(bundle));
		assertThat(entry.end(2, new StringBuilder()).getOutcome(), is(Outcome.NOT_RUN));
		this.engine.letSlowCallsEnd();
		assertThat(entry.end(1, new StringBuilder()).getOutcome(), is(Outcome.RAN));
		assertThat(agent.awaitStop(), equalTo(""));
		assertThat(this.engine.calls(), is(1));
	}

	@Test
	void unreachableRunnerIsKnownNotToHaveRun() {
		Bundle bundle = roll(1, "model-a");
		FakeEntry entry = entryOf(start());
		awaitServing(entry, bundle);
		this.engine.stop();
		entry.call(1, "/x", "hello", digestOf(bundle));
		CallEnd end = entry.end(1, new StringBuilder());
		assertThat(end.getOutcome(), is(Outcome.NOT_RUN));
		assertThat(end.getCode(), equalTo("runner-not-reached"));
	}

	@Test
	void answerThatBreaksOffIsUnknown() {
		Bundle bundle = roll(1, "model-a");
		FakeEntry entry = entryOf(start());
		awaitServing(entry, bundle);
		entry.call(1, "/slow", "old", digestOf(bundle));
		entry.next((frame) -> frame.getCallData().getId() == 1);
		this.engine.cutAnswers();
		CallEnd end = entry.end(1, new StringBuilder());
		assertThat(end.getOutcome(), is(Outcome.UNKNOWN));
		assertThat(end.getCode(), equalTo("runner-cut"));
	}

	// The entry dies while its call runs. Nobody can take the answer any more; left alone
	// the call would hold one of the runner's places until its deadline.
	@Test
	void lostLinkCancelsItsCallsAtTheRunner() {
		Bundle bundle = roll(1, "model-a");
		AgentProcess agent = start();
		FakeEntry dying = entryOf(agent);
		FakeEntry other = entryOf(agent);
		awaitServing(dying, bundle);
		dying.call(1, "/slow", "old", digestOf(bundle));
		dying.next((frame) -> frame.getCallData().getId() == 1);
		other.next((frame) -> frame.getReport().getRunning() == 1);
		dying.close();
		other.next((frame) -> frame.hasReport() && frame.getReport().getRunning() == 0);
	}

	// The process was paused after the decision to order and before the order went out.
	// The clock is read last; a newer agent may own the engine by now.
	@Test
	void orderWhoseLeaseRanOutOnTheWayIsNotSent() {
		Settings settings = Settings.parse("agent.ini", settings());
		AgentStateMachine machine = AgentStateMachine.create(AgentSettings.identity(settings, "n"),
				AgentSettings.limits(settings), AgentSettings.operators(settings), Invariants.create(),
				RandomSource.XO_RO_SHI_RO_128_PP.create(1));
		AgentLoop loop = new AgentLoop(machine, (effect) -> {
		});
		loop.start();
		AgentEffect.SendOrder late = new AgentEffect.SendOrder("w", List.of(), 1, 1, -1);
		new EngineCalls(this.engine, loop).order(late);
		loop.close();
		assertThat(this.engine.now().generation(), is(0L));
	}

	private AgentProcess start() {
		Settings settings = Settings.parse("agent.ini", settings());
		AgentSettings.checkWhole(settings);
		VmList none = new VmList() {
			@Override
			public java.util.concurrent.CompletableFuture<List<Vm>> read() {
				return java.util.concurrent.CompletableFuture.completedFuture(List.of());
			}

			@Override
			public void close() {
				// Nothing is open.
			}
		};
		AgentProcess agent = AgentProcess.start(settings,
				new Outside(HttpCaller.create(1), this.platform, none, this.origin, this.store, this.engine));
		this.agents.add(agent);
		return agent;
	}

	private FakeEntry entryOf(AgentProcess agent) {
		return FakeEntry.connect(this.links, agent.linkPort());
	}

	private void awaitServing(FakeEntry entry, Bundle bundle) {
		entry.next((frame) -> frame.hasReport() && frame.getReport().getAdmitting()
				&& frame.getReport().getWeightsDigest().equals(digestOf(bundle)));
	}

	private Bundle roll(long generation, String model) {
		byte[] content = model.repeat(700).getBytes(StandardCharsets.UTF_8);
		this.origin.set(model, content);
		Bundle bundle = bundle(model, content);
		byte[] bytes = BundleCodec.encode(bundle);
		String digest = Digests.sha256(bytes);
		this.platform.set("bundles/" + digest, bytes);
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
