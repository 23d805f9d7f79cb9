package org.wisteriapost.agent;

import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.protocol.outside.Origin;

/**
 * In-memory origin that counts the bytes read from it.
 */
final class FakeOrigin implements Origin {

	private final Map<String, byte[]> files = new ConcurrentHashMap<>();

	private final AtomicLong bytesRead = new AtomicLong();

	void set(String path, byte[] content) {
		this.files.put(path, content);
	}

	long bytesRead() {
		return this.bytesRead.get();
	}

	@Override
	public CompletableFuture<byte[]> read(String path, String etag, long offset, int length) {
		byte[] content = this.files.get(path);
		if (content == null) {
			return CompletableFuture.failedFuture(CodedException.of(CHANGED, path));
		}
		this.bytesRead.addAndGet(length);
		return CompletableFuture.completedFuture(Arrays.copyOfRange(content, (int) offset, (int) offset + length));
	}

	@Override
	public CompletableFuture<Manifest> manifest(String path) {
		throw new UnsupportedOperationException("agents read no manifests");
	}

	@Override
	public void close() {
		// Nothing to close.
	}

}
