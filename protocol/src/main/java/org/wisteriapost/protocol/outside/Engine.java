package org.wisteriapost.protocol.outside;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.wisteriapost.kernel.Code;

/**
 * The control interface of a model engine: orders and reported state. Callers' requests
 * are sent by {@link org.wisteriapost.protocol.http.PooledHttpClient}.
 */
public interface Engine extends AutoCloseable {

	/** The engine rejected an order because it has seen a higher fencing token. */
	Code FENCED = Code.warning("engine-fenced", "The engine has taken an order of a newer agent.");

	/** The engine did not answer. */
	Code UNAVAILABLE = Code.unavailable("engine-unavailable", "The model engine does not answer.");

	/**
	 * Orders the engine to serve exactly these weights, read from the VM's weight store.
	 */
	CompletableFuture<Void> load(Order order);

	/**
	 * Returns the current state of the engine.
	 */
	CompletableFuture<State> state();

	@Override
	void close();

	/**
	 * An order. Engines with fencing reject an order whose pair of generation and epoch
	 * is lower than the highest that they have seen; others ignore both.
	 *
	 * @param weightsDigest the digest that responses will carry
	 * @param files digests of the files: the model, then its adapters
	 * @param generation the generation of the head
	 * @param epoch the epoch of the agent
	 */
	record Order(String weightsDigest, List<String> files, long generation, long epoch) {
	}

	/**
	 * The state that an engine reports.
	 *
	 * @param weightsDigest digest of the weights in use; empty when nothing is loaded
	 * @param loading whether an order is in progress
	 * @param running number of calls in progress
	 * @param queued number of queued calls; may lag
	 * @param capacity maximum number of concurrent calls
	 * @param generation the generation of the last accepted order
	 * @param epoch the epoch of the last accepted order
	 * @param prefixes hashes of cached prompt prefixes; may lag and be incomplete
	 */
	record State(String weightsDigest, boolean loading, int running, int queued, int capacity, long generation,
			long epoch, List<Long> prefixes) {
	}

}
