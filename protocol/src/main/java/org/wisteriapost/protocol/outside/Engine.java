package org.wisteriapost.protocol.outside;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.wisteriapost.kernel.Code;

/**
 * The orders that a model engine takes and the state that it reports. Calls go to it over
 * {@link org.wisteriapost.protocol.http.HttpCaller}.
 */
public interface Engine extends AutoCloseable {

	/** The engine refused an order because it has seen a higher fencing number. */
	Code FENCED = Code.warning("engine-fenced", "The engine has taken an order of a newer agent.");

	/** The engine did not answer. */
	Code UNAVAILABLE = Code.unavailable("engine-unavailable", "The model engine does not answer.");

	/**
	 * Orders the engine to serve exactly these weights, read from the VM's weight store.
	 */
	CompletableFuture<Void> load(Order order);

	/**
	 * Returns what the engine serves now.
	 */
	CompletableFuture<State> state();

	@Override
	void close();

	/**
	 * One order. Engines that honour fencing refuse a lower pair of generation and epoch
	 * than the highest they have seen; others ignore both.
	 *
	 * @param weightsDigest what answers will be labelled with
	 * @param files digests of the files: the model, then its adapters
	 * @param generation of the head
	 * @param epoch of the agent
	 */
	record Order(String weightsDigest, List<String> files, long generation, long epoch) {
	}

	/**
	 * What an engine reports.
	 *
	 * @param weightsDigest what it serves; empty when nothing is loaded
	 * @param loading whether an order is being carried out
	 * @param running calls in progress
	 * @param queued calls waiting, lagged
	 * @param capacity calls at once
	 * @param generation of the last order taken
	 * @param epoch of the last order taken
	 * @param prefixes hashes of cached prompt prefixes, late and with gaps
	 */
	record State(String weightsDigest, boolean loading, int running, int queued, int capacity, long generation,
			long epoch, List<Long> prefixes) {
	}

}
