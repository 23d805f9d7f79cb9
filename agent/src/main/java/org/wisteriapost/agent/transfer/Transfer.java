package org.wisteriapost.agent.transfer;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.wisteriapost.policy.bundle.WeightFile;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.outside.VmList;
import org.wisteriapost.protocol.wire.Frame;

/**
 * Transfers weight files into the VM's weight store, verifying every chunk before it is
 * stored, and serves stored chunks to peers.
 *
 * Methods are called from any thread and must not block.
 */
public interface Transfer extends AutoCloseable {

	/**
	 * Completes when every chunk of every file is verified and in the weight store. Fails
	 * with a {@link org.wisteriapost.kernel.CodedException} on an error that retries
	 * cannot resolve, for example
	 * {@link org.wisteriapost.protocol.outside.Origin#CHANGED}. Cancelling the future
	 * ends the fetch; stored chunks are kept.
	 */
	CompletableFuture<Void> fetch(List<WeightFile> files);

	/**
	 * Reads every chunk of the files back from the store and completes with whether all
	 * of them are present and valid. Chunks that are not are no longer served.
	 */
	CompletableFuture<Boolean> verify(List<WeightFile> files);

	/**
	 * Returns the progress of the latest fetch.
	 */
	Progress progress();

	/**
	 * Sets the live agents, this VM included. Called after each read of the VM list.
	 */
	void setPeers(List<VmList.Vm> liveAgents);

	/**
	 * Receives a chunk frame ({@code ChunkMapRequest}, {@code ChunkMap},
	 * {@code ChunkRequest}, {@code ChunkReply}) from a link of the agent's link server.
	 */
	void onFrame(Link link, Frame frame);

	/**
	 * Called when a link of the agent's link server has closed.
	 */
	void onClosed(Link link);

	/**
	 * Sets the share of live responses that are late. The more are late, the less of the
	 * link the transfer uses.
	 * @param lateShare between 0, none is late, and 1, every response is late
	 */
	void setLateShare(double lateShare);

	/**
	 * Sets whether this VM has no live traffic, so that the transfer may use nearly all
	 * of the link.
	 */
	void setIdle(boolean idle);

	@Override
	void close();

}
