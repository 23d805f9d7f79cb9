package org.wisteriapost.agent;

import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.protocol.outside.Origin;

/**
 * An origin in memory that counts the bytes it gives.
 */
final class FakeOrigin implements Origin {

	private final Map<String, byte[]> files = new ConcurrentHashMap<>();

	private final AtomicLong given = new AtomicLong();

	void set(String path, byte[] content) {
		this.files.put(path, content);
	}

	long given() {
		return this.given.get();
	}

	@Override
	public CompletableFuture<byte[]> read(String path, String etag, long offset, int length) {
		byte[] content = this.files.get(path);
		if (content == null) {
			return CompletableFuture.failedFuture(CodedException.of(CHANGED, path));
		}
		this.given.addAndGet(length);
		return CompletableFuture.completedFuture(Arrays.copyOfRange(content, (int) offset, (int) offset + length));
	}

	@Override
	public CompletableFuture<Manifest> manifest(String path) {
		throw new UnsupportedOperationException("agents read no manifests");
	}

	@Override
	public void close() {
		// Nothing is open.
	}

}
