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

/** Answers from a script, and says when it is over. */
final class ScriptedStore implements ObjectStore {

	private final CompletableFuture<Void> scriptOver;

	final Queue<Page> pages = new ArrayDeque<>();

	final Queue<Changes> changes = new ArrayDeque<>();

	final Queue<Code> failures = new ArrayDeque<>();

	final Queue<Changes> gaps = new ArrayDeque<>();

	final List<Long> askedNanos = new CopyOnWriteArrayList<>();

	final List<Duration> waits = new CopyOnWriteArrayList<>();

	final List<String> asked = new CopyOnWriteArrayList<>();

	volatile CompletableFuture<Changes> waiting = new CompletableFuture<>();

	int listFailures;

	boolean silent;

	/**
	 * Returns a store.
	 * @param scriptOver completed when the script is over
	 */
	ScriptedStore(CompletableFuture<Void> scriptOver) {
		this.scriptOver = scriptOver;
	}

	@Override
	public synchronized CompletableFuture<Page> list(Kind kind, Optional<String> after) {
		this.askedNanos.add(System.nanoTime());
		this.asked.add("list");
		if (this.silent) {
			return new CompletableFuture<>();
		}
		if (this.listFailures > 0) {
			this.listFailures--;
			return CompletableFuture.failedFuture(CodedException.of(UNAVAILABLE, "scripted"));
		}
		return CompletableFuture.completedFuture(this.pages.remove());
	}

	@Override
	public synchronized CompletableFuture<Changes> watch(Kind kind, long revision, Duration wait) {
		this.askedNanos.add(System.nanoTime());
		this.waits.add(wait);
		this.asked.add((wait.isZero() ? "since " : "watch ") + revision);
		if (this.silent) {
			return new CompletableFuture<>();
		}
		if (!this.changes.isEmpty()) {
			return CompletableFuture.completedFuture(this.changes.remove());
		}
		if (!this.failures.isEmpty()) {
			return CompletableFuture.failedFuture(CodedException.of(this.failures.remove(), "scripted"));
		}
		if (wait.isZero()) {
			return CompletableFuture
				.completedFuture(this.gaps.isEmpty() ? new Changes(List.of(), revision) : this.gaps.remove());
		}
		this.waiting = new CompletableFuture<>();
		this.scriptOver.complete(null);
		return this.waiting;
	}

	@Override
	public Optional<Item> decode(Kind kind, byte[] content) {
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
