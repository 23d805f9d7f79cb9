package org.wisteriapost.policy.transfer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Which peer's request is served next. Used by one thread.
 *
 * Made for the first seconds of a roll, when many peers want the few pieces that this VM
 * holds. Bounded, so that a peer is sent on to another holder at once instead of waiting
 * past its deadline, and so that memory does not grow; peers take turns, so that none can
 * take the whole link.
 *
 * @param <R> a request
 */
public final class Uploads<R> {

	private final int limit;

	private final int perPeer;

	private final Map<Object, Deque<R>> waiting = new LinkedHashMap<>();

	private int size;

	private Uploads(int limit, int perPeer) {
		this.limit = limit;
		this.perPeer = perPeer;
	}

	/**
	 * Returns an empty queue.
	 * @param limit requests that may wait in all
	 * @param perPeer requests of one peer that may wait
	 */
	public static <R> Uploads<R> create(int limit, int perPeer) {
		return new Uploads<>(limit, perPeer);
	}

	/**
	 * Returns whether the request was taken; false means to answer busy.
	 */
	public boolean offer(Object peer, R request) {
		Deque<R> own = this.waiting.get(peer);
		int before = (own != null) ? own.size() : 0;
		if (this.size >= this.limit || before >= this.perPeer) {
			return false;
		}
		this.waiting.computeIfAbsent(peer, (key) -> new ArrayDeque<>()).add(request);
		this.size++;
		return true;
	}

	/**
	 * Returns the request to serve next.
	 */
	public Optional<R> next() {
		Iterator<Map.Entry<Object, Deque<R>>> turns = this.waiting.entrySet().iterator();
		if (!turns.hasNext()) {
			return Optional.empty();
		}
		Map.Entry<Object, Deque<R>> turn = turns.next();
		turns.remove();
		R request = turn.getValue().poll();
		this.size--;
		if (!turn.getValue().isEmpty()) {
			this.waiting.put(turn.getKey(), turn.getValue());
		}
		return Optional.of(request);
	}

	/**
	 * Drops what waits for a peer that is gone.
	 */
	public void drop(Object peer) {
		Deque<R> own = this.waiting.remove(peer);
		this.size -= (own != null) ? own.size() : 0;
	}

}
