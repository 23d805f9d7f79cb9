package org.wisteriapost.entry.direct;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.simple.RandomSource;
import org.wisteriapost.policy.fleet.EntryInfo;
import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.site.ObjectStore;

/**
 * A store that only decodes objects; an object consists of its name and revision.
 */
final class DecodeOnlyStore implements ObjectStore {

	static Item item(String name, long revision) {
		return new Item(name, revision, Optional.empty(),
				() -> (name + "@" + revision).getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Returns an item whose content has at least the given size when it is compressed.
	 */
	static Item largeItem(String name, long revision, int bytes) {
		byte[] random = new byte[bytes];
		RandomSource.XO_RO_SHI_RO_128_PP.create(revision).nextBytes(random);
		byte[] content = (name + "@" + revision + "@" + Base64.getEncoder().encodeToString(random))
			.getBytes(StandardCharsets.UTF_8);
		return new Item(name, revision, Optional.empty(), () -> content);
	}

	@Override
	public Optional<Item> decode(ObjectKind kind, byte[] content) {
		String[] parts = new String(content, StandardCharsets.UTF_8).split("@");
		return Optional.of(item(parts[0], Long.parseLong(parts[1])));
	}

	@Override
	public CompletableFuture<Page> list(ObjectKind kind, Optional<String> after) {
		throw new UnsupportedOperationException();
	}

	@Override
	public CompletableFuture<Changes> watch(ObjectKind kind, long revision, Duration wait) {
		throw new UnsupportedOperationException();
	}

	@Override
	public CompletableFuture<Void> register(EntryInfo entry) {
		throw new UnsupportedOperationException();
	}

	@Override
	public CompletableFuture<Void> unregister(String name, long revision) {
		throw new UnsupportedOperationException();
	}

}
