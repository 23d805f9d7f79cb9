package org.wisteriapost.entry.platform;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.wisteriapost.protocol.outside.Platform;

/**
 * Reads bundles and their signatures from the platform. Not thread-safe.
 */
public final class BundleReader {

	private static final String BUNDLE_PREFIX = "bundles/";

	private static final String APPROVAL_PREFIX = "approvals/";

	private final Platform platform;

	private String lastDigest = "";

	private CompletableFuture<Optional<BundleContent>> lastRead = CompletableFuture.completedFuture(Optional.empty());

	private BundleReader(Platform platform) {
		this.platform = platform;
	}

	public static BundleReader of(Platform platform) {
		return new BundleReader(platform);
	}

	/**
	 * Returns a bundle with its signatures, empty if the platform has none with this
	 * digest.
	 *
	 * A read in progress is shared: over a saturated link a bundle takes longer than the
	 * caller's retry interval, and further copies would keep the link saturated.
	 */
	public CompletableFuture<Optional<BundleContent>> read(String digest) {
		if (this.lastRead.isDone() || !digest.equals(this.lastDigest)) {
			this.lastRead = fetch(digest);
			this.lastDigest = digest;
		}
		return this.lastRead;
	}

	private CompletableFuture<Optional<BundleContent>> fetch(String digest) {
		String prefix = APPROVAL_PREFIX + digest + "/";
		return this.platform.get(BUNDLE_PREFIX + digest)
			.thenCombine(this.platform.list(prefix), (stored, listing) -> stored
				.map((bundle) -> new BundleContent(digest, bundle.value(), signatures(prefix, listing))));
	}

	private static Map<String, byte[]> signatures(String prefix, Platform.Listing listing) {
		Map<String, byte[]> signatures = new HashMap<>();
		listing.items().forEach((item) -> signatures.put(item.key().substring(prefix.length()), item.value()));
		return signatures;
	}

}
