package org.wisteriapost.entry.platform;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.wisteriapost.protocol.outside.Platform;

/**
 * Reads bundles and their signatures from the platform.
 */
public final class BundleReader {

	private static final String BUNDLES = "bundles/";

	private static final String APPROVALS = "approvals/";

	private final Platform platform;

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
	 */
	public CompletableFuture<Optional<BundleContent>> read(String digest) {
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
