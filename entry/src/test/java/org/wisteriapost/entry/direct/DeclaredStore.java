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
import org.wisteriapost.protocol.site.Declared;
import org.wisteriapost.protocol.site.Kind;
import org.wisteriapost.protocol.site.ObjectStore;

/**
 * A store whose objects are given by the test. Its watches wait until they are completed,
 * its listings are answered at once.
 */
final class DeclaredStore implements ObjectStore {

	private final Map<String, Item> written = new HashMap<>();

	private final Map<Kind, List<Item>> listed = new EnumMap<>(Kind.class);

	private final Map<Kind, CompletableFuture<Changes>> watches = new EnumMap<>(Kind.class);

	private final List<String> asked = new ArrayList<>();

	private final long at;

	/**
	 * Returns a store.
	 * @param at its revision
	 */
	DeclaredStore(long at) {
		this.at = at;
	}

	/**
	 * Returns an object that can be decoded by whoever hears of it.
	 */
	Item item(String name, long revision, Declared value) {
		String text = name + "@" + revision;
		Item item = new Item(name, revision, Optional.of(value), () -> text.getBytes(StandardCharsets.UTF_8));
		this.written.put(text, item);
		return item;
	}

	void listed(Kind kind, List<Item> items) {
		this.listed.put(kind, items);
	}

	/**
	 * Returns the watch of a kind that was made last.
	 */
	CompletableFuture<Changes> watch(Kind kind) {
		return this.watches.get(kind);
	}

	/**
	 * Returns what was asked for, and forgets it.
	 */
	List<String> asked() {
		List<String> all = List.copyOf(this.asked);
		this.asked.clear();
		return all;
	}

	@Override
	public CompletableFuture<Page> list(Kind kind, Optional<String> after) {
		this.asked.add("list " + kind);
		return CompletableFuture.completedFuture(new Page(this.listed.getOrDefault(kind, List.of()), false, this.at));
	}

	@Override
	public CompletableFuture<Changes> watch(Kind kind, long revision, Duration wait) {
		this.asked.add((wait.isZero() ? "since " : "watch ") + kind);
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
	public Optional<Item> decode(Kind kind, byte[] content) {
		return Optional.ofNullable(this.written.get(new String(content, StandardCharsets.UTF_8)));
	}

}
