package org.wisteriapost.operator.bundle;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.operator.ExternalSystems;
import org.wisteriapost.policy.bundle.Bundle;
import org.wisteriapost.policy.bundle.BundleCodec;
import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.policy.bundle.Head;
import org.wisteriapost.policy.bundle.HeadMove;
import org.wisteriapost.policy.bundle.VmStatus;
import org.wisteriapost.protocol.outside.Platform;
import org.wisteriapost.protocol.outside.Platform.Precondition;
import org.wisteriapost.protocol.outside.Platform.PutResult;
import org.wisteriapost.protocol.outside.Platform.Stored;

/**
 * Access to bundles, approvals and the head in the platform. If the confirmation of a
 * write is lost, its outcome is determined by reading the key back.
 */
final class BundleStore {

	private static final Code BUNDLE_MISSING = Code.error("bundle-missing",
			"No bundle of this digest has been proposed.");

	private static final Code BUNDLE_TOO_LARGE = Code.error("bundle-too-large",
			"A bundle with its chunk hashes is over the platform's limit for a value.");

	private static final Code APPROVAL_CONFLICT = Code.error("approval-conflict",
			"The operator has approved this bundle already with another signature.");

	private static final Code WRITE_UNRESOLVED = Code.unavailable("write-unresolved",
			"A write's confirmation was lost and reading back did not tell what became of it.");

	private static final Logger LOG = System.getLogger(BundleStore.class.getName());

	private static final String HEAD_KEY = "head";

	private static final String ROLLS_PREFIX = "rolls/";

	// Long enough for a platform that is slow for several seconds; after that the
	// command reports an unknown outcome.
	private static final int MAX_READ_BACK_ATTEMPTS = 20;

	private static final long READ_BACK_DELAY_MILLIS = 250;

	private final Platform platform;

	BundleStore(Platform platform) {
		this.platform = platform;
	}

	/**
	 * Stores a bundle under its digest; idempotent.
	 */
	String propose(Bundle bundle) {
		byte[] bytes = BundleCodec.encode(bundle);
		if (bytes.length > Platform.MAX_VALUE_BYTES) {
			throw CodedException.of(BUNDLE_TOO_LARGE,
					bytes.length + " bytes; publish the weights with larger chunks or split the bundle");
		}
		String digest = Digests.sha256(bytes);
		putIfAbsent("bundles/" + digest, bytes);
		return digest;
	}

	/**
	 * Returns a proposed bundle after verifying its digest.
	 */
	Bundle bundle(String digest) {
		Stored stored = read("bundles/" + digest)
			.orElseThrow(() -> CodedException.of(BUNDLE_MISSING, digest + "; bundle propose prints the digest"));
		if (!Digests.sha256(stored.value()).equals(digest)) {
			throw CodedException.of(BUNDLE_MISSING, "what stands under " + digest + " has another digest");
		}
		return BundleCodec.bundle(stored.value());
	}

	/**
	 * Stores the signature of an operator; idempotent for equal signatures.
	 */
	void approve(String digest, String operator, byte[] signature) {
		if (!putIfAbsent("approvals/" + digest + "/" + operator, signature)) {
			throw CodedException.of(APPROVAL_CONFLICT, operator);
		}
	}

	/**
	 * Returns the signatures of a bundle by operator name.
	 */
	Map<String, byte[]> approvals(String digest) {
		String prefix = "approvals/" + digest + "/";
		Map<String, byte[]> signatures = new HashMap<>();
		ExternalSystems.await(this.platform.list(prefix))
			.items()
			.forEach((stored) -> signatures.put(stored.key().substring(prefix.length()), stored.value()));
		return signatures;
	}

	/**
	 * Returns the active head, or {@link Head#NONE} before the first roll.
	 */
	Head head() {
		return read(HEAD_KEY).map((stored) -> BundleCodec.head(stored.value())).orElse(Head.NONE);
	}

	/**
	 * Returns the heads of all rolls, oldest first.
	 */
	List<Head> history() {
		return ExternalSystems.await(this.platform.list(ROLLS_PREFIX))
			.items()
			.stream()
			.map((stored) -> BundleCodec.head(stored.value()))
			.sorted(Comparator.comparingLong(Head::generation))
			.toList();
	}

	/**
	 * Returns the last status reported by each agent.
	 */
	List<VmStatus> statuses() {
		return ExternalSystems.await(this.platform.list("status/"))
			.items()
			.stream()
			.map((stored) -> BundleCodec.status(stored.value()))
			.toList();
	}

	/**
	 * Replaces the head by a conditional update.
	 * @return {@code next} if this roll won, else the head that won
	 */
	Head roll(Head next) {
		Optional<Stored> before = read(HEAD_KEY);
		Head current = before.map((stored) -> BundleCodec.head(stored.value())).orElse(Head.NONE);
		if (current.generation() != next.generation() - 1) {
			return current;
		}
		// The current head is recorded before it is replaced. If the confirmation
		// of this write is lost and another roll follows, the record of each
		// generation still identifies the author of its write.
		record(current);
		Precondition expected = before.<Precondition>map((stored) -> new Precondition.Version(stored.version()))
			.orElseGet(Precondition.Absent::new);
		try {
			PutResult result = ExternalSystems.await(this.platform.put(HEAD_KEY, BundleCodec.encode(next), expected));
			if (result instanceof PutResult.Written) {
				record(next);
				return next;
			}
			return head();
		}
		catch (CodedException ex) {
			if (!ex.code().equals(Platform.UNCONFIRMED)) {
				throw ex;
			}
			return resolveUnconfirmed(next, expected);
		}
	}

	private Head resolveUnconfirmed(Head written, Precondition expected) {
		for (int i = 0; i < MAX_READ_BACK_ATTEMPTS; i++) {
			pause();
			try {
				Head read = head();
				Optional<Head> recorded = read(recordKey(written.generation()))
					.map((stored) -> BundleCodec.head(stored.value()));
				switch (HeadMove.outcome(written, read, recorded)) {
					case WON -> {
						return written;
					}
					case LOST -> {
						return recorded.orElse(read);
					}
					case NOT_WRITTEN ->
						ExternalSystems.await(this.platform.put(HEAD_KEY, BundleCodec.encode(written), expected));
					case UNDECIDED -> {
					}
				}
			}
			catch (CodedException ex) {
				LOG.log(Level.INFO, "roll-read-back: " + ex.getMessage());
			}
		}
		throw CodedException.of(WRITE_UNRESOLVED, "the roll to generation " + written.generation()
				+ " may have taken effect; check bundle status before rolling again");
	}

	private void record(Head head) {
		if (head.generation() > 0) {
			putIfAbsent(recordKey(head.generation()), BundleCodec.encode(head));
		}
	}

	private static String recordKey(long generation) {
		return ROLLS_PREFIX + "%012d".formatted(generation);
	}

	// Returns whether the key now holds this value; false if it holds a different
	// one.
	private boolean putIfAbsent(String key, byte[] value) {
		for (int i = 0; i < MAX_READ_BACK_ATTEMPTS; i++) {
			try {
				ExternalSystems.await(this.platform.put(key, value, new Precondition.Absent()));
			}
			catch (CodedException ex) {
				if (!ex.code().equals(Platform.UNCONFIRMED)) {
					throw ex;
				}
			}
			Optional<Stored> stored = read(key);
			if (stored.isPresent()) {
				return Arrays.equals(stored.get().value(), value);
			}
			pause();
		}
		throw CodedException.of(WRITE_UNRESOLVED, key);
	}

	private Optional<Stored> read(String key) {
		return ExternalSystems.await(this.platform.get(key));
	}

	private static void pause() {
		try {
			Thread.sleep(READ_BACK_DELAY_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw CodedException.of(WRITE_UNRESOLVED, "interrupted", ex);
		}
	}

}
