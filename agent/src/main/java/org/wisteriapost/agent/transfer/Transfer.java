package org.wisteriapost.agent.transfer;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.wisteriapost.policy.bundle.WeightFile;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.outside.VmList;
import org.wisteriapost.protocol.wire.Frame;

/**
 * Brings weight files into the VM's weight store, every chunk verified before it is
 * stored, and serves held chunks to peers.
 *
 * Methods are called from any thread and must not block.
 */
public interface Transfer extends AutoCloseable {

	/**
	 * Completes when every chunk of every file is verified and in the weight store. Fails
	 * with a {@link org.wisteriapost.kernel.CodedException} when that cannot come true by
	 * waiting, for example {@link org.wisteriapost.protocol.outside.Origin#CHANGED}.
	 * Cancelling the future ends the fetch; chunks that are stored stay.
	 */
	CompletableFuture<Void> fetch(List<WeightFile> files);

	/**
	 * Reads every chunk of the files back from the store and completes with whether all
	 * are there and right; those that are not count as not held from then on.
	 */
	CompletableFuture<Boolean> verify(List<WeightFile> files);

	/**
	 * Returns how far the latest fetch has come.
	 */
	Progress progress();

	/**
	 * Hears the live agents of the VM list, this VM included, after each reading.
	 */
	void peers(List<VmList.Vm> agents);

	/**
	 * Hears a chunk frame ({@code ChunkMapRequest}, {@code ChunkMap},
	 * {@code ChunkRequest}, {@code ChunkReply}) from a link of the agent's link server.
	 */
	void onFrame(Link link, Frame frame);

	/**
	 * Hears that a link of the agent's link server is gone.
	 */
	void onClosed(Link link);

	/**
	 * Hears how late live traffic is, so that weights use less of the link.
	 * @param share 0 when calm, 1 when every answer is late
	 */
	void busy(double share);

	/**
	 * Hears whether there is no live traffic on this VM, so that weights may use nearly
	 * all of the link.
	 */
	void idle(boolean now);

	@Override
	void close();

}
