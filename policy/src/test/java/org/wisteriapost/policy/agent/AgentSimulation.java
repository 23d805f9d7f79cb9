package org.wisteriapost.policy.agent;

import java.nio.charset.StandardCharsets;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.BooleanSupplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wisteriapost.kernel.Invariants;
import org.wisteriapost.policy.bundle.Approvals;
import org.wisteriapost.policy.bundle.Bundle;
import org.wisteriapost.policy.bundle.BundleCodec;
import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.policy.bundle.Head;
import org.wisteriapost.policy.bundle.ServiceSpec;
import org.wisteriapost.policy.bundle.WeightFile;

/**
 * Simulates agents, engines and a platform in virtual time, reproducibly for a seed.
 */
final class AgentSimulation {

	static final long SECOND = 1_000_000_000L;

	static final String FAILURE_DOMAIN = "hall-a";

	private static final String OPERATOR = "aminata";

	private static final KeyPair OPERATOR_KEYS = keys();

	private final UniformRandomProvider random;

	private final PriorityQueue<Task> tasks = new PriorityQueue<>(
			Comparator.comparingLong(Task::at).thenComparingLong(Task::sequence));

	private final SimPlatform platform = new SimPlatform();

	private final Invariants invariants = Invariants.create();

	private final Map<Long, Bundle> bundles = new HashMap<>();

	private final Map<String, AgentEvent.BundleReceived> bundleEvents = new HashMap<>();

	private final Set<String> keysLosingConfirmation = new HashSet<>();

	private final List<AgentEffect.RefuseCall> refusals = new ArrayList<>();

	private final int minReady;

	private long now;

	private long sequence;

	private int agents;

	private double confirmationLossRate;

	private AgentSimulation(long seed, int minReady) {
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		this.minReady = minReady;
	}

	static AgentSimulation of(long seed, int minReady) {
		return new AgentSimulation(seed, minReady);
	}

	long now() {
		return this.now;
	}

	UniformRandomProvider random() {
		return this.random;
	}

	SimPlatform platform() {
		return this.platform;
	}

	Invariants invariants() {
		return this.invariants;
	}

	List<AgentEffect.RefuseCall> refusals() {
		return this.refusals;
	}

	void recordRefusal(AgentEffect.RefuseCall refusal) {
		this.refusals.add(refusal);
	}

	void loseNextConfirmation(String key) {
		this.keysLosingConfirmation.add(key);
	}

	void loseConfirmations(double rate) {
		this.confirmationLossRate = rate;
	}

	boolean losesConfirmation(String key) {
		return this.keysLosingConfirmation.remove(key) || this.random.nextDouble() < this.confirmationLossRate;
	}

	long fetchNanos() {
		return SECOND / 10 + this.random.nextLong(SECOND);
	}

	long loadNanos() {
		return SECOND / 10 + this.random.nextLong(SECOND / 2);
	}

	void afterNetworkDelay(Runnable task) {
		after(100_000 + this.random.nextLong(2_000_000), task);
	}

	void after(long delayNanos, Runnable task) {
		this.tasks.add(new Task(this.now + delayNanos, this.sequence++, task));
	}

	/**
	 * Starts an agent on a VM with the given engine, and a tick once a second.
	 */
	SimAgent start(String vm, SimEngine engine) {
		this.agents++;
		AgentIdentity identity = new AgentIdentity(vm, FAILURE_DOMAIN, "lm", false, "nonce-" + this.agents);
		AgentLimits limits = new AgentLimits(4, 4, Duration.ofSeconds(5), Duration.ofSeconds(10), Duration.ofSeconds(4),
				0.25, Duration.ofSeconds(60));
		ApprovalPolicy approvalPolicy = new ApprovalPolicy(
				Map.of(OPERATOR, base64(OPERATOR_KEYS.getPublic().getEncoded())), 1);
		AgentStateMachine machine = AgentStateMachine.create(identity, limits, approvalPolicy, this.invariants,
				RandomSource.XO_RO_SHI_RO_128_PP.create(this.random.nextLong()));
		SimAgent agent = new SimAgent(this, machine, engine);
		tick(agent);
		return agent;
	}

	/**
	 * Moves the head to a bundle whose only content is a model.
	 */
	Head rollOut(long generation, String model) {
		Head head = createBundle(generation, model, true);
		this.platform.set("head", BundleCodec.encode(head));
		return head;
	}

	Head createBundle(long generation, String model, boolean approved) {
		WeightFile file = new WeightFile(model, "1", model, "1", 5, 5, List.of(Digests.sha256(model)));
		Bundle bundle = new Bundle("b" + generation, "1", List.of(new ServiceSpec("lm", ServiceSpec.Kind.MODEL, model,
				List.of(), List.of(FAILURE_DOMAIN), List.of(), this.minReady)), List.of(file));
		byte[] content = BundleCodec.encode(bundle);
		String digest = Digests.sha256(content);
		byte[] signature = approved ? Approvals.sign(digest, base64(OPERATOR_KEYS.getPrivate().getEncoded()))
				: "none".getBytes(StandardCharsets.US_ASCII);
		this.bundles.put(generation, bundle);
		this.bundleEvents.put(digest, new AgentEvent.BundleReceived(digest, content, Map.of(OPERATOR, signature)));
		return new Head(generation, digest, OPERATOR, 0, "n" + generation);
	}

	AgentEvent fetchBundle(String digest) {
		AgentEvent.BundleReceived found = this.bundleEvents.get(digest);
		return (found != null) ? found : new AgentEvent.BundleUnavailable(digest);
	}

	void replaceContent(String digest, byte[] content) {
		this.bundleEvents.put(digest,
				new AgentEvent.BundleReceived(digest, content, this.bundleEvents.get(digest).signatures()));
	}

	String weights(long generation) {
		Bundle bundle = this.bundles.get(generation);
		return bundle.weightsDigest(bundle.services().getFirst());
	}

	static AgentEvent confirmed(Head head) {
		return new AgentEvent.HeadReceived(head.generation(), head.digest(), true, 0);
	}

	static AgentEvent unconfirmed(Head head) {
		return new AgentEvent.HeadReceived(head.generation(), head.digest(), false, 0);
	}

	/**
	 * Runs until a condition holds. Returns false on timeout.
	 */
	boolean runUntil(BooleanSupplier condition, long timeoutNanos) {
		long end = this.now + timeoutNanos;
		while (!condition.getAsBoolean()) {
			Task next = this.tasks.peek();
			if (next == null || next.at() > end) {
				this.now = end;
				return false;
			}
			step();
		}
		return true;
	}

	void run(long nanos) {
		runUntil(() -> false, nanos);
	}

	private void step() {
		Task next = this.tasks.poll();
		this.now = Math.max(this.now, next.at());
		next.action().run();
	}

	private void tick(SimAgent agent) {
		agent.receive(new AgentEvent.Tick());
		after(SECOND, () -> tick(agent));
	}

	private static String base64(byte[] bytes) {
		return Base64.getEncoder().encodeToString(bytes);
	}

	private static KeyPair keys() {
		try {
			return KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private record Task(long at, long sequence, Runnable action) {
	}

}
