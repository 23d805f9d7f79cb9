package org.wisteriapost.standin.bench.weights;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;

import com.google.protobuf.ByteString;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.wisteriapost.agent.transfer.PeerTransferProvider;
import org.wisteriapost.agent.transfer.Transfer;
import org.wisteriapost.agent.transfer.TransferContext;
import org.wisteriapost.agent.transfer.TransferOptions;
import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.policy.bundle.WeightFile;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.link.LinkHandler;
import org.wisteriapost.protocol.link.LinkServer;
import org.wisteriapost.protocol.link.Links;
import org.wisteriapost.protocol.outside.VmList;
import org.wisteriapost.protocol.wire.CallEnd;
import org.wisteriapost.protocol.wire.ChunkReply;
import org.wisteriapost.protocol.wire.ChunkRequest;
import org.wisteriapost.protocol.wire.ChunkStatus;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.Hello;
import org.wisteriapost.protocol.wire.Outcome;
import org.wisteriapost.protocol.wire.Role;

/**
 * One VM of a loopback rollout: a real transfer with its own links.
 */
final class LoopbackVm implements LinkHandler, AutoCloseable {

	private static final String HOST = "127.0.0.1";

	private final String name;

	private final String failureDomain;

	private final int chunkBytes;

	private final LoopbackStore store;

	private final Links links = Links.plain(1);

	private final LinkServer server;

	private final SimpleMeterRegistry metrics = new SimpleMeterRegistry();

	private final Transfer transfer;

	private volatile long finishedAt;

	private volatile boolean failed;

	private volatile boolean unavailable;

	private volatile boolean corrupt;

	LoopbackVm(String name, String failureDomain, LoopbackOrigin origin, LoopbackStore store, int chunkBytes,
			TransferOptions options, ScheduledExecutorService timer) {
		this.name = name;
		this.failureDomain = failureDomain;
		this.chunkBytes = chunkBytes;
		this.store = store;
		Hello hello = Hello.newBuilder().setVm(name).setPlace(failureDomain).setRole(Role.AGENT).build();
		this.transfer = PeerTransferProvider.create(new TransferContext(Settings.parse("bench", ""), name,
				failureDomain, this.links, () -> hello, Frame::newBuilder, (link, frame) -> {
				}, origin, store, timer, this.metrics), options);
		this.server = this.links.listen(new InetSocketAddress(HOST, 0), this);
	}

	VmList.Vm listed() {
		return new VmList.Vm(this.name, this.failureDomain, "region", "agent", "service", HOST, this.server.port(), 0,
				false);
	}

	void fetch(List<VmList.Vm> all, WeightFile file) {
		this.transfer.setPeers(all);
		CompletableFuture<Void> fetch = this.transfer.fetch(List.of(file));
		fetch.whenComplete((none, failure) -> {
			this.failed = failure != null;
			this.finishedAt = (failure != null) ? 0 : System.nanoTime();
		});
	}

	void kill() {
		this.unavailable = true;
		close();
	}

	void stall() {
		this.unavailable = true;
		this.store.stall();
	}

	void corrupt() {
		this.corrupt = true;
	}

	boolean unavailable() {
		return this.unavailable;
	}

	boolean failed() {
		return this.failed;
	}

	/**
	 * Returns when the fetch completed, on the monotonic clock, or 0 if it has not.
	 */
	long finishedAt() {
		return this.finishedAt;
	}

	long verified() {
		return this.transfer.progress().verified();
	}

	int wrongChunks() {
		return this.store.wrongChunks();
	}

	double controlBytes() {
		return this.metrics.counter("wisteriapost.transfer.control.bytes").count();
	}

	@Override
	public void onOpen(Link link) {
	}

	@Override
	public void onFrame(Link link, Frame frame) {
		if (frame.getBodyCase() == Frame.BodyCase.CALL) {
			CallEnd end = CallEnd.newBuilder().setId(frame.getCall().getId()).setOutcome(Outcome.RAN).build();
			link.send(Frame.newBuilder().setCallEnd(end).build());
			return;
		}
		if (this.unavailable) {
			return;
		}
		if (this.corrupt && frame.getBodyCase() == Frame.BodyCase.CHUNK_REQUEST) {
			link.send(Frame.newBuilder().setChunkReply(wrongReply(frame.getChunkRequest())).build());
			return;
		}
		this.transfer.onFrame(link, frame);
	}

	private ChunkReply wrongReply(ChunkRequest request) {
		return ChunkReply.newBuilder()
			.setId(request.getId())
			.setStatus(ChunkStatus.CHUNK_OK)
			.setData(ByteString.copyFrom(new byte[this.chunkBytes]))
			.build();
	}

	@Override
	public void onClosed(Link link) {
		this.transfer.onClosed(link);
	}

	@Override
	public void close() {
		this.transfer.close();
		this.server.close();
		this.links.close();
	}

}
