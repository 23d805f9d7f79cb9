package org.wisteriapost.standin.soak;

import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.wisteriapost.policy.agent.AgentEvent;
import org.wisteriapost.policy.agent.ApprovalPolicy;
import org.wisteriapost.policy.bundle.Approvals;
import org.wisteriapost.policy.bundle.Bundle;
import org.wisteriapost.policy.bundle.BundleCodec;
import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.policy.bundle.Head;
import org.wisteriapost.policy.bundle.HeadMove;
import org.wisteriapost.policy.bundle.ServiceSpec;
import org.wisteriapost.policy.bundle.WeightFile;
import org.wisteriapost.protocol.outside.Platform;

/**
 * Operators that propose, approve and roll out bundles, alone or concurrently.
 */
final class SoakOperators {

	private static final List<String> OPERATORS = List.of("aminata", "moira");

	private static final Base64.Encoder BASE64 = Base64.getEncoder();

	private final SoakFleet fleet;

	private final Map<String, KeyPair> keyPairs = new HashMap<>();

	private final Map<Long, String> nonceByGeneration = new HashMap<>();

	private int nextModel;

	private int nextRollout;

	SoakOperators(SoakFleet fleet) {
		this.fleet = fleet;
		OPERATORS.forEach((name) -> this.keyPairs.put(name, generateKeyPair()));
	}

	ApprovalPolicy keys() {
		Map<String, String> keys = new HashMap<>();
		this.keyPairs.forEach((name, pair) -> keys.put(name, BASE64.encodeToString(pair.getPublic().getEncoded())));
		return new ApprovalPolicy(keys, OPERATORS.size());
	}

	/**
	 * Starts a rollout by one operator, or concurrent rollouts by two.
	 */
	void rollOut(boolean concurrent) {
		for (String operator : concurrent ? OPERATORS : OPERATORS.subList(0, 1)) {
			Bundle bundle = propose();
			this.fleet.time().afterNetworkDelay(() -> rollOut(operator, bundle));
		}
	}

	int committedCount() {
		return this.nonceByGeneration.size();
	}

	AgentEvent bundleEvent(String digest, Optional<Platform.Stored> content, Platform.Listing approvals) {
		if (content.isEmpty()) {
			return new AgentEvent.BundleUnavailable(digest);
		}
		Map<String, byte[]> signatures = new HashMap<>();
		approvals.items()
			.forEach((stored) -> signatures.put(stored.key().substring(stored.key().lastIndexOf('/') + 1),
					stored.value()));
		return new AgentEvent.BundleReceived(digest, content.get().value(), signatures);
	}

	// Bundles and approvals are content-addressed, so concurrent writes cannot conflict.
	// They are stored without faults; only writes of the head are subject to faults.
	private Bundle propose() {
		String model = "model-" + this.nextModel++;
		WeightFile file = new WeightFile(model, "1", model, "1", 5, 5, List.of(Digests.sha256(model)));
		Bundle bundle = new Bundle("b", Integer.toString(this.nextModel),
				List.of(new ServiceSpec(SoakFleet.MODEL_SERVICE, ServiceSpec.Kind.MODEL, model, List.of(),
						SoakFleet.FAILURE_DOMAINS, List.of(), 1),
						new ServiceSpec(SoakFleet.PLAIN_SERVICE, ServiceSpec.Kind.PLAIN, "", List.of(),
								SoakFleet.FAILURE_DOMAINS, List.of(), 1)),
				List.of(file));
		byte[] content = BundleCodec.encode(bundle);
		String digest = Digests.sha256(content);
		this.fleet.storeDirectly("bundles/" + digest, content);
		this.keyPairs.forEach((name, pair) -> this.fleet.storeDirectly("approvals/" + digest + "/" + name,
				Approvals.sign(digest, BASE64.encodeToString(pair.getPrivate().getEncoded()))));
		return bundle;
	}

	private void rollOut(String operator, Bundle bundle) {
		this.fleet.platform().get("head").whenComplete((stored, failure) -> {
			if (failure != null) {
				this.fleet.ledger().count("rollsUnavailable");
				return;
			}
			Head current = stored.map((one) -> BundleCodec.head(one.value())).orElse(Head.NONE);
			String digest = Digests.sha256(BundleCodec.encode(bundle));
			Head next = HeadMove
				.next(current, current.generation(), digest, operator, this.fleet.time().wallMillis(),
						operator + "-" + this.nextRollout++)
				.orElseThrow();
			Platform.Precondition expected = stored.<Platform.Precondition>map(
					(one) -> new Platform.Precondition.Version(one.version()))
				.orElseGet(Platform.Precondition.Absent::new);
			record(current, () -> write(bundle, next, expected));
		});
	}

	private void record(Head head, Runnable next) {
		if (head.generation() == 0) {
			next.run();
			return;
		}
		this.fleet.platform()
			.put(key(head.generation()), BundleCodec.encode(head), new Platform.Precondition.Absent())
			.whenComplete((result, failure) -> {
				if (failure == null) {
					next.run();
				}
				else {
					this.fleet.time().after(VirtualTime.SECOND / 4, () -> record(head, next));
				}
			});
	}

	private void write(Bundle bundle, Head next, Platform.Precondition expected) {
		this.fleet.platform().put("head", BundleCodec.encode(next), expected).whenComplete((result, failure) -> {
			if (result instanceof Platform.PutResult.Written) {
				committed(bundle, next);
			}
			else if (failure != null) {
				this.fleet.time().after(VirtualTime.SECOND / 4, () -> resolve(bundle, next, expected));
			}
			else {
				this.fleet.ledger().count("rollsLost");
			}
		});
	}

	private void resolve(Bundle bundle, Head written, Platform.Precondition expected) {
		Platform platform = this.fleet.platform();
		platform.get("head")
			.thenCombine(platform.get(key(written.generation())),
					(head, recorded) -> HeadMove.outcome(written,
							head.map((one) -> BundleCodec.head(one.value())).orElse(Head.NONE),
							recorded.map((one) -> BundleCodec.head(one.value()))))
			.whenComplete((result, failure) -> {
				if (failure != null || result == HeadMove.Outcome.UNDECIDED) {
					this.fleet.time().after(VirtualTime.SECOND / 4, () -> resolve(bundle, written, expected));
					return;
				}
				switch (result) {
					case WON -> committed(bundle, written);
					case NOT_WRITTEN -> write(bundle, written, expected);
					case LOST, UNDECIDED -> this.fleet.ledger().count("rollsLost");
				}
			});
	}

	private void committed(Bundle bundle, Head head) {
		String other = this.nonceByGeneration.putIfAbsent(head.generation(), head.nonce());
		this.fleet.invariants()
			.holds(other == null || other.equals(head.nonce()), "one-winner", "generation " + head.generation());
		this.fleet.ledger().count("rollsWon");
	}

	private static String key(long generation) {
		return "rolls/%012d".formatted(generation);
	}

	private static KeyPair generateKeyPair() {
		try {
			return KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
