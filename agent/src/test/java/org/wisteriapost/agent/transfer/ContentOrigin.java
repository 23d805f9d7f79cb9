package org.wisteriapost.agent.transfer;

import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.protocol.outside.Origin;

final class ContentOrigin implements Origin {

	private final Map<String, byte[]> files = new ConcurrentHashMap<>();

	private final AtomicInteger reads = new AtomicInteger();

	private volatile boolean changed;

	void serve(String path, byte[] content) {
		this.files.put(path, content);
	}

	void change() {
		this.changed = true;
	}

	int reads() {
		return this.reads.get();
	}

	@Override
	public CompletableFuture<byte[]> read(String path, String etag, long offset, int length) {
		if (this.changed) {
			return CompletableFuture.failedFuture(CodedException.of(Origin.CHANGED, path));
		}
		this.reads.incrementAndGet();
		return CompletableFuture
			.supplyAsync(() -> Arrays.copyOfRange(this.files.get(path), (int) offset, (int) offset + length));
	}

	@Override
	public CompletableFuture<Manifest> manifest(String path) {
		return CompletableFuture.failedFuture(new UnsupportedOperationException());
	}

	@Override
	public void close() {
	}

}
