package org.wisteriapost.entry.platform;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.wisteriapost.protocol.outside.Platform;

/**
 * Reads bundles and their signatures from the platform. Used by one thread.
 */
public final class BundleReader {

	private static final String BUNDLES = "bundles/";

	private static final String APPROVALS = "approvals/";

	private final Platform platform;

	private String lastDigest = "";

	private CompletableFuture<Optional<BundleContent>> last = CompletableFuture.completedFuture(Optional.empty());

	private BundleReader(Platform platform) {
		this.platform = platform;
	}

	/**
	 * Returns a reader.
	 */
	public static BundleReader of(Platform platform) {
		return new BundleReader(platform);
	}

	/**
	 * Returns a bundle with its signatures, empty when the platform has no such digest.
	 *
	 * Failure: over a full link a bundle takes longer than its asker waits until it asks
	 * again, and copies would fill the link. So the read under way serves again.
	 */
	public CompletableFuture<Optional<BundleContent>> read(String digest) {
		if (this.last.isDone() || !digest.equals(this.lastDigest)) {
			this.last = fetch(digest);
			this.lastDigest = digest;
		}
		return this.last;
	}

	private CompletableFuture<Optional<BundleContent>> fetch(String digest) {
		String prefix = APPROVALS + digest + "/";
		return this.platform.get(BUNDLES + digest)
			.thenCombine(this.platform.list(prefix), (stored, listing) -> stored
				.map((bundle) -> new BundleContent(digest, bundle.value(), signatures(prefix, listing))));
	}

	private static Map<String, byte[]> signatures(String prefix, Platform.Listing listing) {
		Map<String, byte[]> signatures = new HashMap<>();
		listing.items().forEach((item) -> signatures.put(item.key().substring(prefix.length()), item.value()));
		return signatures;
	}

}
