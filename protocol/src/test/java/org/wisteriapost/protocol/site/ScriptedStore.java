package org.wisteriapost.protocol.site;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.policy.fleet.EntryInfo;

/** Returns scripted responses and completes a future when none is left. */
final class ScriptedStore implements ObjectStore {

	private final CompletableFuture<Void> scriptFinished;

	final Queue<Page> pages = new ArrayDeque<>();

	final Queue<Changes> changes = new ArrayDeque<>();

	final Queue<Code> failures = new ArrayDeque<>();

	final Queue<Changes> catchUpChanges = new ArrayDeque<>();

	final List<Long> requestNanos = new CopyOnWriteArrayList<>();

	final List<Duration> waits = new CopyOnWriteArrayList<>();

	final List<String> requests = new CopyOnWriteArrayList<>();

	volatile CompletableFuture<Changes> pendingWatch = new CompletableFuture<>();

	int listFailures;

	boolean unresponsive;

	/**
	 * Creates a store.
	 * @param scriptFinished completed when no scripted response is left
	 */
	ScriptedStore(CompletableFuture<Void> scriptFinished) {
		this.scriptFinished = scriptFinished;
	}

	@Override
	public synchronized CompletableFuture<Page> list(ObjectKind kind, Optional<String> after) {
		this.requestNanos.add(System.nanoTime());
		this.requests.add("list");
		if (this.unresponsive) {
			return new CompletableFuture<>();
		}
		if (this.listFailures > 0) {
			this.listFailures--;
			return CompletableFuture.failedFuture(CodedException.of(UNAVAILABLE, "scripted"));
		}
		return CompletableFuture.completedFuture(this.pages.remove());
	}

	@Override
	public synchronized CompletableFuture<Changes> watch(ObjectKind kind, long revision, Duration wait) {
		this.requestNanos.add(System.nanoTime());
		this.waits.add(wait);
		this.requests.add((wait.isZero() ? "since " : "watch ") + revision);
		if (this.unresponsive) {
			return new CompletableFuture<>();
		}
		if (!this.changes.isEmpty()) {
			return CompletableFuture.completedFuture(this.changes.remove());
		}
		if (!this.failures.isEmpty()) {
			return CompletableFuture.failedFuture(CodedException.of(this.failures.remove(), "scripted"));
		}
		if (wait.isZero()) {
			return CompletableFuture.completedFuture(
					this.catchUpChanges.isEmpty() ? new Changes(List.of(), revision) : this.catchUpChanges.remove());
		}
		this.pendingWatch = new CompletableFuture<>();
		this.scriptFinished.complete(null);
		return this.pendingWatch;
	}

	@Override
	public Optional<Item> decode(ObjectKind kind, byte[] content) {
		throw new UnsupportedOperationException();
	}

	@Override
	public CompletableFuture<Void> register(EntryInfo entry) {
		return CompletableFuture.completedFuture(null);
	}

	@Override
	public CompletableFuture<Void> unregister(String name, long revision) {
		return CompletableFuture.completedFuture(null);
	}

}
