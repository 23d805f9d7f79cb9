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
import org.wisteriapost.operator.Surroundings;
import org.wisteriapost.policy.bundle.Bundle;
import org.wisteriapost.policy.bundle.BundleCodec;
import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.policy.bundle.Head;
import org.wisteriapost.policy.bundle.HeadMove;
import org.wisteriapost.policy.bundle.VmStatus;
import org.wisteriapost.protocol.outside.Platform;
import org.wisteriapost.protocol.outside.Platform.Expected;
import org.wisteriapost.protocol.outside.Platform.PutResult;
import org.wisteriapost.protocol.outside.Platform.Stored;

/**
 * What operators read and write in the platform. A write whose confirmation was lost is
 * resolved by reading back, never by guessing.
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

	private static final String HEAD = "head";

	private static final String ROLLS = "rolls/";

	// A platform that is slow for seconds is ordinary; an operator waits longer than that
	// before the command gives up and says what it does not know.
	private static final int READ_BACK_TRIES = 20;

	private static final long READ_BACK_PAUSE_MILLIS = 250;

	private final Platform platform;

	BundleStore(Platform platform) {
		this.platform = platform;
	}

	/**
	 * Writes a bundle under its digest; the same bundle again changes nothing.
	 */
	String propose(Bundle bundle) {
		byte[] bytes = BundleCodec.encode(bundle);
		if (bytes.length > Platform.MAX_VALUE_BYTES) {
			throw CodedException.of(BUNDLE_TOO_LARGE,
					bytes.length + " bytes; publish the weights with larger chunks or split the bundle");
		}
		String digest = Digests.sha256(bytes);
		writeOnce("bundles/" + digest, bytes);
		return digest;
	}

	/**
	 * Returns a proposed bundle, checked against its digest.
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
	 * Writes an operator's signature; the same one again changes nothing.
	 */
	void approve(String digest, String operator, byte[] signature) {
		if (!writeOnce("approvals/" + digest + "/" + operator, signature)) {
			throw CodedException.of(APPROVAL_CONFLICT, operator);
		}
	}

	/**
	 * Returns the signatures of a bundle by operator.
	 */
	Map<String, byte[]> approvals(String digest) {
		String prefix = "approvals/" + digest + "/";
		Map<String, byte[]> signatures = new HashMap<>();
		Surroundings.await(this.platform.list(prefix))
			.items()
			.forEach((stored) -> signatures.put(stored.key().substring(prefix.length()), stored.value()));
		return signatures;
	}

	/**
	 * Returns the head in force.
	 */
	Head head() {
		return read(HEAD).map((stored) -> BundleCodec.head(stored.value())).orElse(Head.NONE);
	}

	/**
	 * Returns every roll so far, oldest first.
	 */
	List<Head> history() {
		return Surroundings.await(this.platform.list(ROLLS))
			.items()
			.stream()
			.map((stored) -> BundleCodec.head(stored.value()))
			.sorted(Comparator.comparingLong(Head::generation))
			.toList();
	}

	/**
	 * Returns what every agent says of itself.
	 */
	List<VmStatus> statuses() {
		return Surroundings.await(this.platform.list("status/"))
			.items()
			.stream()
			.map((stored) -> BundleCodec.status(stored.value()))
			.toList();
	}

	/**
	 * Moves the head by one conditional update.
	 * @return what stands now: the written head when this roll won, else the winner's
	 */
	Head roll(Head next) {
		Optional<Stored> before = read(HEAD);
		Head current = before.map((stored) -> BundleCodec.head(stored.value())).orElse(Head.NONE);
		if (current.generation() != next.generation() - 1) {
			return current;
		}
		// Recorded first: should this write's confirmation be lost and another roll
		// follow,
		// the record of each generation still tells whose write it was.
		record(current);
		Expected expected = before.<Expected>map((stored) -> new Expected.Version(stored.version()))
			.orElseGet(Expected.Absent::new);
		try {
			PutResult result = Surroundings.await(this.platform.put(HEAD, BundleCodec.encode(next), expected));
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
			return resolve(next, expected);
		}
	}

	private Head resolve(Head written, Expected expected) {
		for (int i = 0; i < READ_BACK_TRIES; i++) {
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
						Surroundings.await(this.platform.put(HEAD, BundleCodec.encode(written), expected));
					case UNDECIDED -> {
					}
				}
			}
			catch (CodedException ex) {
				LOG.log(Level.INFO, "roll-read-back: " + ex.getMessage());
			}
		}
		throw CodedException.of(WRITE_UNRESOLVED, "the roll to generation " + written.generation()
				+ " may be in force; look at bundle status before rolling again");
	}

	private void record(Head head) {
		if (head.generation() > 0) {
			writeOnce(recordKey(head.generation()), BundleCodec.encode(head));
		}
	}

	private static String recordKey(long generation) {
		return ROLLS + "%012d".formatted(generation);
	}

	// Returns whether this value stands there now; false means that another one does.
	private boolean writeOnce(String key, byte[] value) {
		for (int i = 0; i < READ_BACK_TRIES; i++) {
			try {
				Surroundings.await(this.platform.put(key, value, new Expected.Absent()));
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
		return Surroundings.await(this.platform.get(key));
	}

	private static void pause() {
		try {
			Thread.sleep(READ_BACK_PAUSE_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw CodedException.of(WRITE_UNRESOLVED, "interrupted", ex);
		}
	}

}
