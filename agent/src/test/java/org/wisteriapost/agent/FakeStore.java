package org.wisteriapost.agent;

import java.util.BitSet;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import org.wisteriapost.protocol.outside.WeightStore;

/**
 * In-memory weight store.
 */
final class FakeStore implements WeightStore {

	private final Map<String, Map<Integer, byte[]>> files = new ConcurrentHashMap<>();

	@Override
	public CompletableFuture<Void> put(String file, int index, byte[] chunk) {
		this.files.computeIfAbsent(file, (name) -> new ConcurrentHashMap<>()).put(index, chunk);
		return CompletableFuture.completedFuture(null);
	}

	@Override
	public CompletableFuture<Optional<byte[]>> get(String file, int index) {
		return CompletableFuture
			.completedFuture(Optional.ofNullable(this.files.getOrDefault(file, Map.of()).get(index)));
	}

	@Override
	public CompletableFuture<BitSet> storedChunks(String file) {
		BitSet held = new BitSet();
		this.files.getOrDefault(file, Map.of()).keySet().forEach(held::set);
		return CompletableFuture.completedFuture(held);
	}

	@Override
	public CompletableFuture<Void> delete(String file) {
		this.files.remove(file);
		return CompletableFuture.completedFuture(null);
	}

	@Override
	public void close() {
		// Nothing to close.
	}

}
