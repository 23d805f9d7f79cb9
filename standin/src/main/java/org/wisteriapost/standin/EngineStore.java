package org.wisteriapost.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.policy.bundle.WeightFile;

/**
 * The in-memory weight store of an endpoint VM.
 */
final class EngineStore {

	private static final String STORE = "/store/";

	private final Map<String, Map<Integer, Chunk>> files = new ConcurrentHashMap<>();

	private final boolean retainChunkBytes;

	/**
	 * Retains only hashes if so configured, for benchmarks that never read chunks back.
	 */
	EngineStore(boolean keepBytes) {
		this.retainChunkBytes = keepBytes;
	}

	void handle(Request request, Responder responder) {
		String[] parts = request.pathAfter(STORE).split("/", 2);
		String file = parts[0];
		if (request.method().equals("DELETE")) {
			this.files.remove(file);
			responder.status(200);
		}
		else if (parts.length == 1) {
			responder.json(200, Map.of("held", List.copyOf(chunks(file).keySet())));
		}
		else if (request.method().equals("PUT")) {
			put(file, Integer.parseInt(parts[1]), request.body());
			responder.status(200);
		}
		else {
			get(file, Integer.parseInt(parts[1]), responder);
		}
	}

	/**
	 * Returns whether every chunk of the file with this digest is stored.
	 */
	boolean isComplete(String digest) {
		List<String> hashes = new ArrayList<>();
		long size = 0;
		int chunkBytes = 0;
		for (Map.Entry<Integer, Chunk> held : chunks(digest).entrySet()) {
			if (held.getKey() != hashes.size()) {
				return false;
			}
			hashes.add(held.getValue().hash);
			size += held.getValue().length;
			chunkBytes = Math.max(chunkBytes, held.getValue().length);
		}
		// The chunk size of a file of a single short chunk cannot be derived, so its
		// digest is not compared.
		return hashes.size() == 1 || !hashes.isEmpty()
				&& new WeightFile("", "", "", "", size, chunkBytes, hashes).digest().equals(digest);
	}

	private void put(String file, int index, byte[] bytes) {
		this.files.computeIfAbsent(file, (key) -> new ConcurrentHashMap<>())
			.put(index, new Chunk(Digests.sha256(bytes), bytes.length, this.retainChunkBytes ? bytes : new byte[0]));
	}

	private void get(String file, int index, Responder responder) {
		Chunk chunk = this.files.getOrDefault(file, Map.of()).get(index);
		if (chunk == null || !this.retainChunkBytes) {
			responder.status(404);
			return;
		}
		responder.bytes(200, Map.of(), chunk.bytes);
	}

	private Map<Integer, Chunk> chunks(String file) {
		return new TreeMap<>(this.files.getOrDefault(file, Map.of()));
	}

	private record Chunk(String hash, int length, byte[] bytes) {
	}

}
