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
 * Operators who propose, approve and roll, alone or in a race.
 */
final class SoakOperators {

	private static final List<String> NAMES = List.of("aminata", "moira");

	private static final Base64.Encoder BASE64 = Base64.getEncoder();

	private final SoakWorld world;

	private final Map<String, KeyPair> pairs = new HashMap<>();

	private final Map<Long, String> winners = new HashMap<>();

	private int models;

	private int rolls;

	SoakOperators(SoakWorld world) {
		this.world = world;
		NAMES.forEach((name) -> this.pairs.put(name, pair()));
	}

	ApprovalPolicy keys() {
		Map<String, String> keys = new HashMap<>();
		this.pairs.forEach((name, pair) -> keys.put(name, BASE64.encodeToString(pair.getPublic().getEncoded())));
		return new ApprovalPolicy(keys, NAMES.size());
	}

	/**
	 * Starts a roll by one operator, or by two who know nothing of each other.
	 */
	void roll(boolean race) {
		for (String operator : race ? NAMES : NAMES.subList(0, 1)) {
			Bundle bundle = propose();
			this.world.time().soon(() -> roll(operator, bundle));
		}
	}

	int wins() {
		return this.winners.size();
	}

	AgentEvent arrived(String digest, Optional<Platform.Stored> content, Platform.Listing approvals) {
		if (content.isEmpty()) {
			return new AgentEvent.BundleUnavailable(digest);
		}
		Map<String, byte[]> signatures = new HashMap<>();
		approvals.items()
			.forEach((stored) -> signatures.put(stored.key().substring(stored.key().lastIndexOf('/') + 1),
					stored.value()));
		return new AgentEvent.BundleReceived(digest, content.get().value(), signatures);
	}

	// What is written once under its own digest cannot race; it is put there directly,
	// and
	// the faults are kept for the head.
	private Bundle propose() {
		String model = "model-" + this.models++;
		WeightFile file = new WeightFile(model, "1", model, "1", 5, 5, List.of(Digests.sha256(model)));
		Bundle bundle = new Bundle("b", Integer.toString(this.models),
				List.of(new ServiceSpec(SoakWorld.MODEL_SERVICE, ServiceSpec.Kind.MODEL, model, List.of(),
						SoakWorld.PLACES, List.of(), 1),
						new ServiceSpec(SoakWorld.PLAIN_SERVICE, ServiceSpec.Kind.PLAIN, "", List.of(),
								SoakWorld.PLACES, List.of(), 1)),
				List.of(file));
		byte[] content = BundleCodec.encode(bundle);
		String digest = Digests.sha256(content);
		this.world.store("bundles/" + digest, content);
		this.pairs.forEach((name, pair) -> this.world.store("approvals/" + digest + "/" + name,
				Approvals.sign(digest, BASE64.encodeToString(pair.getPrivate().getEncoded()))));
		return bundle;
	}

	private void roll(String operator, Bundle bundle) {
		this.world.platform().get("head").whenComplete((stored, failure) -> {
			if (failure != null) {
				this.world.ledger().count("rollsUnavailable");
				return;
			}
			Head current = stored.map((one) -> BundleCodec.head(one.value())).orElse(Head.NONE);
			String digest = Digests.sha256(BundleCodec.encode(bundle));
			Head next = HeadMove
				.next(current, current.generation(), digest, operator, this.world.time().wallMillis(),
						operator + "-" + this.rolls++)
				.orElseThrow();
			Platform.Expected expected = stored.<Platform.Expected>map(
					(one) -> new Platform.Expected.Version(one.version()))
				.orElseGet(Platform.Expected.Absent::new);
			record(current, () -> write(bundle, next, expected));
		});
	}

	private void record(Head head, Runnable then) {
		if (head.generation() == 0) {
			then.run();
			return;
		}
		this.world.platform()
			.put(key(head.generation()), BundleCodec.encode(head), new Platform.Expected.Absent())
			.whenComplete((result, failure) -> {
				if (failure == null) {
					then.run();
				}
				else {
					this.world.time().after(VirtualTime.SECOND / 4, () -> record(head, then));
				}
			});
	}

	private void write(Bundle bundle, Head next, Platform.Expected expected) {
		this.world.platform().put("head", BundleCodec.encode(next), expected).whenComplete((result, failure) -> {
			if (result instanceof Platform.PutResult.Written) {
				won(bundle, next);
			}
			else if (failure != null) {
				this.world.time().after(VirtualTime.SECOND / 4, () -> resolve(bundle, next, expected));
			}
			else {
				this.world.ledger().count("rollsLost");
			}
		});
	}

	private void resolve(Bundle bundle, Head written, Platform.Expected expected) {
		Platform platform = this.world.platform();
		platform.get("head")
			.thenCombine(platform.get(key(written.generation())),
					(head, recorded) -> HeadMove.outcome(written,
							head.map((one) -> BundleCodec.head(one.value())).orElse(Head.NONE),
							recorded.map((one) -> BundleCodec.head(one.value()))))
			.whenComplete((fate, failure) -> {
				if (failure != null || fate == HeadMove.Outcome.UNDECIDED) {
					this.world.time().after(VirtualTime.SECOND / 4, () -> resolve(bundle, written, expected));
					return;
				}
				switch (fate) {
					case WON -> won(bundle, written);
					case NOT_WRITTEN -> write(bundle, written, expected);
					case LOST, UNDECIDED -> this.world.ledger().count("rollsLost");
				}
			});
	}

	private void won(Bundle bundle, Head head) {
		String other = this.winners.putIfAbsent(head.generation(), head.nonce());
		this.world.invariants()
			.holds(other == null || other.equals(head.nonce()), "one-winner", "generation " + head.generation());
		this.world.ledger().count("rollsWon");
	}

	private static String key(long generation) {
		return "rolls/%012d".formatted(generation);
	}

	private static KeyPair pair() {
		try {
			return KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
