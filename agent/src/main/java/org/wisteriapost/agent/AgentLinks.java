package org.wisteriapost.agent;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.wisteriapost.agent.transfer.Transfer;
import org.wisteriapost.policy.agent.AgentEvent;
import org.wisteriapost.policy.agent.AgentIdentity;
import org.wisteriapost.policy.agent.AgentStatus;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.link.LinkHandler;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.Head;
import org.wisteriapost.protocol.wire.HeadRequest;
import org.wisteriapost.protocol.wire.Hello;
import org.wisteriapost.protocol.wire.Leaving;
import org.wisteriapost.protocol.wire.Report;
import org.wisteriapost.protocol.wire.Role;

/**
 * Links that entries and other agents have opened to this agent.
 */
final class AgentLinks implements LinkHandler {

	private final AgentIdentity identity;

	private final AgentLoop loop;

	private final Map<Link, Peer> peersByLink = new ConcurrentHashMap<>();

	private RunnerCalls runnerCalls;

	private Transfer transfer;

	private BundleFetcher bundleFetcher;

	private EngineClient engineClient;

	AgentLinks(AgentIdentity identity, AgentLoop loop) {
		this.identity = identity;
		this.loop = loop;
	}

	void setHandlers(RunnerCalls runnerCalls, Transfer transfer, BundleFetcher bundleFetcher,
			EngineClient engineClient) {
		this.runnerCalls = runnerCalls;
		this.transfer = transfer;
		this.bundleFetcher = bundleFetcher;
		this.engineClient = engineClient;
	}

	/**
	 * Returns a frame with the highest head generation that this agent has seen.
	 */
	Frame.Builder newFrame() {
		return Frame.newBuilder().setGeneration(this.loop.status().headGeneration());
	}

	Hello newHello() {
		return Hello.newBuilder()
			.setVm(this.identity.vm())
			.setPlace(this.identity.failureDomain())
			.setRole(Role.AGENT)
			.setService(this.identity.service())
			.setEpoch(this.loop.status().epoch())
			.build();
	}

	List<Link> entries() {
		return this.peersByLink.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().role == Role.ENTRY)
			.map(Map.Entry::getKey)
			.toList();
	}

	void sendReport() {
		Frame frame = newFrame().setReport(currentReport()).build();
		entries().forEach((link) -> link.send(frame));
	}

	void sendLeaving() {
		Frame frame = newFrame().setLeaving(Leaving.newBuilder().setVm(this.identity.vm())).build();
		entries().forEach((link) -> link.send(frame));
	}

	@Override
	public void onOpen(Link link) {
		this.peersByLink.put(link, new Peer());
		link.send(newFrame().setHello(newHello()).build());
	}

	@Override
	public void onFrame(Link link, Frame frame) {
		Peer peer = this.peersByLink.get(link);
		if (peer == null) {
			return;
		}
		syncHead(link, peer, frame);
		switch (frame.getBodyCase()) {
			case HELLO -> handleHello(link, peer, frame.getHello());
			case CALL -> this.runnerCalls.accept(link, frame.getCall());
			case CALL_CANCEL -> this.runnerCalls.cancel(link, frame.getCallCancel().getId());
			case CHUNK_MAP_REQUEST, CHUNK_MAP, CHUNK_REQUEST, CHUNK_REPLY -> this.transfer.onFrame(link, frame);
			default -> onControlFrame(link, frame);
		}
	}

	/**
	 * Handles frames that may arrive over any link, including those opened by the
	 * transfer.
	 */
	void onControlFrame(Link link, Frame frame) {
		switch (frame.getBodyCase()) {
			case HEAD -> handleHead(frame.getHead());
			case HEAD_REQUEST -> link.send(newFrame().setHead(currentHead()).build());
			case BUNDLE_REQUEST -> link.send(newFrame()
				.setBundleReply(BundleFetcher.createReply(frame.getBundleRequest().getDigest(), this.loop.status()))
				.build());
			case BUNDLE_REPLY -> this.bundleFetcher.handleReply(frame.getBundleReply());
			case LEAVING -> handleLeaving(frame.getLeaving());
			default -> {
			}
		}
	}

	@Override
	public void onClosed(Link link) {
		Peer peer = this.peersByLink.remove(link);
		if (peer == null) {
			return;
		}
		this.runnerCalls.linkClosed(link);
		this.transfer.onClosed(link);
		if (peer.role == Role.ENTRY) {
			this.loop.post(new AgentEvent.EntriesConnected(entries().size()));
		}
	}

	@Override
	public void onWritable(Link link) {
		this.runnerCalls.linkWritable(link);
	}

	private void handleHello(Link link, Peer peer, Hello hello) {
		peer.role = hello.getRole();
		if (peer.role != Role.ENTRY) {
			return;
		}
		this.loop.post(new AgentEvent.EntriesConnected(entries().size()));
		link.send(newFrame().setReport(currentReport()).build());
		if (this.loop.status().leaving()) {
			link.send(newFrame().setLeaving(Leaving.newBuilder().setVm(this.identity.vm())).build());
		}
	}

	/**
	 * Requests the head from a peer with a higher generation, or sends it to a peer with
	 * a lower one. At most once a generation and link.
	 */
	private void syncHead(Link link, Peer peer, Frame frame) {
		AgentStatus status = this.loop.status();
		boolean carriesHead = frame.hasHead() || frame.hasHello();
		if (frame.getGeneration() > status.headGeneration() && frame.getGeneration() > peer.requestedGeneration
				&& !carriesHead) {
			peer.requestedGeneration = frame.getGeneration();
			link.send(newFrame().setHeadRequest(HeadRequest.getDefaultInstance()).build());
		}
		if (frame.getGeneration() < status.headGeneration() && status.headGeneration() > peer.sentGeneration) {
			peer.sentGeneration = status.headGeneration();
			link.send(newFrame().setHead(currentHead()).build());
		}
	}

	private void handleHead(Head head) {
		this.loop.post(new AgentEvent.HeadReceived(head.getGeneration(), head.getDigest(), head.getConfirmed(),
				head.getConfirmedAgeMillis()));
	}

	private void handleLeaving(Leaving leaving) {
		if (leaving.getVm().equals(this.identity.vm())) {
			this.loop.post(new AgentEvent.LeaveRequested());
		}
	}

	private Head currentHead() {
		AgentStatus status = this.loop.status();
		return Head.newBuilder().setGeneration(status.headGeneration()).setDigest(status.headDigest()).build();
	}

	private Report currentReport() {
		AgentStatus status = this.loop.status();
		return Report.newBuilder()
			.setVm(this.identity.vm())
			.setPlace(this.identity.failureDomain())
			.setService(this.identity.service())
			.setPlain(this.identity.plainService())
			.setAdmitting(status.admitting())
			.setLeaving(status.leaving())
			.setWeightsDigest(status.weightsDigest())
			.setBundleGeneration(status.bundleGeneration())
			.setRunning(status.runningCalls())
			.setCapacity(status.capacity())
			.setQueued(status.queuedCalls())
			.setChunksVerified(status.verifiedChunks())
			.setChunksTotal(status.totalChunks())
			.setFailing(status.failureCode())
			.addAllPrefixes(this.engineClient.prefixes())
			.setEpoch(status.epoch())
			.build();
	}

	private static final class Peer {

		private volatile Role role = Role.ROLE_UNSPECIFIED;

		private long requestedGeneration;

		private long sentGeneration;

	}

}
