package org.wisteriapost.agent.transfer;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import org.wisteriapost.policy.bundle.WeightFile;
import org.wisteriapost.protocol.outside.WeightStore;

final class MemoryStore implements WeightStore {

	private final Map<String, byte[]> chunks = new ConcurrentHashMap<>();

	void fill(WeightFile file, byte[] content) {
		for (int index = 0; index < file.chunks().size(); index++) {
			int from = index * file.chunkBytes();
			put(file.digest(), index, Arrays.copyOfRange(content, from, from + file.chunkLength(index)));
		}
	}

	void corrupt(String file, int index) {
		this.chunks.get(file + index)[0] ^= 1;
	}

	byte[] content(WeightFile file) {
		ByteArrayOutputStream all = new ByteArrayOutputStream();
		for (int index = 0; index < file.chunks().size(); index++) {
			all.writeBytes(this.chunks.getOrDefault(file.digest() + index, new byte[0]));
		}
		return all.toByteArray();
	}

	@Override
	public CompletableFuture<Void> put(String file, int index, byte[] chunk) {
		this.chunks.put(file + index, chunk);
		return CompletableFuture.completedFuture(null);
	}

	@Override
	public CompletableFuture<Optional<byte[]>> get(String file, int index) {
		return CompletableFuture.completedFuture(Optional.ofNullable(this.chunks.get(file + index)));
	}

	@Override
	public CompletableFuture<BitSet> storedChunks(String file) {
		BitSet held = new BitSet();
		for (String key : this.chunks.keySet()) {
			if (key.startsWith(file)) {
				held.set(Integer.parseInt(key.substring(file.length())));
			}
		}
		return CompletableFuture.completedFuture(held);
	}

	@Override
	public CompletableFuture<Void> delete(String file) {
		this.chunks.keySet().removeIf((key) -> key.startsWith(file));
		return CompletableFuture.completedFuture(null);
	}

	@Override
	public void close() {
	}

}
