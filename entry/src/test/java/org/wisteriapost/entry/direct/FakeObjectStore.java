package org.wisteriapost.entry.direct;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.wisteriapost.policy.fleet.EntryInfo;
import org.wisteriapost.protocol.site.DecodedObject;
import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.site.ObjectStore;

/**
 * A store whose objects are set by the test. Watches stay pending until the test
 * completes them; listings are answered at once.
 */
final class FakeObjectStore implements ObjectStore {

	private final Map<String, Item> itemsByContent = new HashMap<>();

	private final Map<ObjectKind, List<Item>> listings = new EnumMap<>(ObjectKind.class);

	private final Map<ObjectKind, CompletableFuture<Changes>> watches = new EnumMap<>(ObjectKind.class);

	private final List<String> calls = new ArrayList<>();

	private final long at;

	/**
	 * Creates a store.
	 * @param at its revision
	 */
	FakeObjectStore(long at) {
		this.at = at;
	}

	/**
	 * Returns an object that {@link #decode} restores from its content.
	 */
	Item item(String name, long revision, DecodedObject value) {
		String text = name + "@" + revision + "#" + this.itemsByContent.size();
		Item item = new Item(name, revision, Optional.of(value), () -> text.getBytes(StandardCharsets.UTF_8));
		this.itemsByContent.put(text, item);
		return item;
	}

	void setListing(ObjectKind kind, List<Item> items) {
		this.listings.put(kind, items);
	}

	/**
	 * Returns the latest watch of a kind.
	 */
	CompletableFuture<Changes> watch(ObjectKind kind) {
		return this.watches.get(kind);
	}

	/**
	 * Returns the calls since the last time.
	 */
	List<String> drainCalls() {
		List<String> all = List.copyOf(this.calls);
		this.calls.clear();
		return all;
	}

	@Override
	public CompletableFuture<Page> list(ObjectKind kind, Optional<String> after) {
		this.calls.add("list " + kind);
		return CompletableFuture.completedFuture(new Page(this.listings.getOrDefault(kind, List.of()), false, this.at));
	}

	@Override
	public CompletableFuture<Changes> watch(ObjectKind kind, long revision, Duration wait) {
		this.calls.add((wait.isZero() ? "since " : "watch ") + kind);
		this.watches.put(kind, new CompletableFuture<>());
		return this.watches.get(kind);
	}

	@Override
	public CompletableFuture<Void> register(EntryInfo entry) {
		return new CompletableFuture<>();
	}

	@Override
	public CompletableFuture<Void> unregister(String name, long revision) {
		return new CompletableFuture<>();
	}

	@Override
	public Optional<Item> decode(ObjectKind kind, byte[] content) {
		return Optional.ofNullable(this.itemsByContent.get(new String(content, StandardCharsets.UTF_8)));
	}

}
