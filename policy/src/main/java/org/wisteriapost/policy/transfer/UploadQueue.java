package org.wisteriapost.policy.transfer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A bounded queue of upload requests that serves peers in turn. Used by one thread.
 *
 * When new weights begin to spread, many peers request the few chunks that this VM holds.
 * The queue is bounded, so that a rejected peer tries another holder at once instead of
 * waiting until its request times out, and so that memory is bounded. Peers are served
 * round-robin, so that none can take the whole link.
 *
 * @param <R> a request
 */
public final class UploadQueue<R> {

	private final int maxQueued;

	private final int maxPerPeer;

	private final Map<Object, Deque<R>> queues = new LinkedHashMap<>();

	private int size;

	private UploadQueue(int maxQueued, int maxPerPeer) {
		this.maxQueued = maxQueued;
		this.maxPerPeer = maxPerPeer;
	}

	/**
	 * Returns an empty queue.
	 * @param maxQueued maximum number of queued requests
	 * @param maxPerPeer maximum number of queued requests of one peer
	 */
	public static <R> UploadQueue<R> create(int maxQueued, int maxPerPeer) {
		return new UploadQueue<>(maxQueued, maxPerPeer);
	}

	/**
	 * Queues a request and returns whether it was accepted; a rejected peer is to be
	 * answered busy.
	 */
	public boolean offer(Object peer, R request) {
		Deque<R> queue = this.queues.get(peer);
		int before = (queue != null) ? queue.size() : 0;
		if (this.size >= this.maxQueued || before >= this.maxPerPeer) {
			return false;
		}
		this.queues.computeIfAbsent(peer, (key) -> new ArrayDeque<>()).add(request);
		this.size++;
		return true;
	}

	/**
	 * Returns the number of queued requests.
	 */
	public int size() {
		return this.size;
	}

	/**
	 * Removes and returns the request to serve next.
	 */
	public Optional<R> next() {
		Iterator<Map.Entry<Object, Deque<R>>> entries = this.queues.entrySet().iterator();
		if (!entries.hasNext()) {
			return Optional.empty();
		}
		Map.Entry<Object, Deque<R>> entry = entries.next();
		entries.remove();
		R request = entry.getValue().poll();
		this.size--;
		if (!entry.getValue().isEmpty()) {
			this.queues.put(entry.getKey(), entry.getValue());
		}
		return Optional.of(request);
	}

	/**
	 * Removes the requests of a disconnected peer.
	 */
	public void removePeer(Object peer) {
		Deque<R> queue = this.queues.remove(peer);
		this.size -= (queue != null) ? queue.size() : 0;
	}

}
