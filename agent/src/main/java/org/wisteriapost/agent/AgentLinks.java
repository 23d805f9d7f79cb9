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
 * The links that entries and other agents have made to this agent.
 */
final class AgentLinks implements LinkHandler {

	private final AgentIdentity self;

	private final AgentLoop loop;

	private final Map<Link, Peer> peers = new ConcurrentHashMap<>();

	private RunnerCalls calls;

	private Transfer transfer;

	private BundleSource bundles;

	private EngineCalls engine;

	AgentLinks(AgentIdentity self, AgentLoop loop) {
		this.self = self;
		this.loop = loop;
	}

	void connect(RunnerCalls toRunner, Transfer toTransfer, BundleSource toBundles, EngineCalls toEngine) {
		this.calls = toRunner;
		this.transfer = toTransfer;
		this.bundles = toBundles;
		this.engine = toEngine;
	}

	/**
	 * Returns a frame that carries the highest head generation seen here.
	 */
	Frame.Builder frame() {
		return Frame.newBuilder().setGeneration(this.loop.view().headGeneration());
	}

	Hello hello() {
		return Hello.newBuilder()
			.setVm(this.self.vm())
			.setPlace(this.self.failureDomain())
			.setRole(Role.AGENT)
			.setService(this.self.service())
			.setEpoch(this.loop.view().epoch())
			.build();
	}

	List<Link> entries() {
		return this.peers.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().role == Role.ENTRY)
			.map(Map.Entry::getKey)
			.toList();
	}

	void report() {
		Frame frame = frame().setReport(currentReport()).build();
		entries().forEach((link) -> link.send(frame));
	}

	void leaving() {
		Frame frame = frame().setLeaving(Leaving.newBuilder().setVm(this.self.vm())).build();
		entries().forEach((link) -> link.send(frame));
	}

	@Override
	public void onOpen(Link link) {
		this.peers.put(link, new Peer());
		link.send(frame().setHello(hello()).build());
	}

	@Override
	public void onFrame(Link link, Frame frame) {
		Peer peer = this.peers.get(link);
		if (peer == null) {
			return;
		}
		compare(link, peer, frame);
		switch (frame.getBodyCase()) {
			case HELLO -> hello(link, peer, frame.getHello());
			case CALL -> this.calls.arrive(link, frame.getCall());
			case CALL_CANCEL -> this.calls.cancel(link, frame.getCallCancel().getId());
			case CHUNK_MAP_REQUEST, CHUNK_MAP, CHUNK_REQUEST, CHUNK_REPLY -> this.transfer.onFrame(link, frame);
			default -> onOther(link, frame);
		}
	}

	/**
	 * Takes what may come over any link, also over those that the transfer made.
	 */
	void onOther(Link link, Frame frame) {
		switch (frame.getBodyCase()) {
			case HEAD -> head(frame.getHead());
			case HEAD_REQUEST -> link.send(frame().setHead(currentHead()).build());
			case BUNDLE_REQUEST -> link
				.send(frame().setBundleReply(BundleSource.reply(frame.getBundleRequest().getDigest(), this.loop.view()))
					.build());
			case BUNDLE_REPLY -> this.bundles.replied(frame.getBundleReply());
			case LEAVING -> leaving(frame.getLeaving());
			default -> {
			}
		}
	}

	@Override
	public void onClosed(Link link) {
		Peer peer = this.peers.remove(link);
		if (peer == null) {
			return;
		}
		this.calls.linkLost(link);
		this.transfer.onClosed(link);
		if (peer.role == Role.ENTRY) {
			this.loop.post(new AgentEvent.EntriesConnected(entries().size()));
		}
	}

	@Override
	public void onWritable(Link link) {
		this.calls.writable(link);
	}

	private void hello(Link link, Peer peer, Hello hello) {
		peer.role = hello.getRole();
		if (peer.role != Role.ENTRY) {
			return;
		}
		this.loop.post(new AgentEvent.EntriesConnected(entries().size()));
		link.send(frame().setReport(currentReport()).build());
		if (this.loop.view().leaving()) {
			link.send(frame().setLeaving(Leaving.newBuilder().setVm(this.self.vm())).build());
		}
	}

	/**
	 * Sets right whoever is behind, once a generation and link.
	 */
	private void compare(Link link, Peer peer, Frame frame) {
		AgentStatus view = this.loop.view();
		boolean aboutHead = frame.hasHead() || frame.hasHello();
		if (frame.getGeneration() > view.headGeneration() && frame.getGeneration() > peer.asked && !aboutHead) {
			peer.asked = frame.getGeneration();
			link.send(frame().setHeadRequest(HeadRequest.getDefaultInstance()).build());
		}
		if (frame.getGeneration() < view.headGeneration() && view.headGeneration() > peer.told) {
			peer.told = view.headGeneration();
			link.send(frame().setHead(currentHead()).build());
		}
	}

	private void head(Head head) {
		this.loop.post(new AgentEvent.HeadReceived(head.getGeneration(), head.getDigest(), head.getConfirmed(),
				head.getConfirmedAgeMillis()));
	}

	private void leaving(Leaving leaving) {
		if (leaving.getVm().equals(this.self.vm())) {
			this.loop.post(new AgentEvent.LeaveRequested());
		}
	}

	private Head currentHead() {
		AgentStatus view = this.loop.view();
		return Head.newBuilder().setGeneration(view.headGeneration()).setDigest(view.headDigest()).build();
	}

	private Report currentReport() {
		AgentStatus view = this.loop.view();
		return Report.newBuilder()
			.setVm(this.self.vm())
			.setPlace(this.self.failureDomain())
			.setService(this.self.service())
			.setPlain(this.self.plainService())
			.setAdmitting(view.admitting())
			.setLeaving(view.leaving())
			.setWeightsDigest(view.weightsDigest())
			.setBundleGeneration(view.bundleGeneration())
			.setRunning(view.runningCalls())
			.setCapacity(view.capacity())
			.setQueued(view.queuedCalls())
			.setChunksVerified(view.verifiedChunks())
			.setChunksTotal(view.totalChunks())
			.setFailing(view.failureCode())
			.addAllPrefixes(this.engine.prefixes())
			.setEpoch(view.epoch())
			.build();
	}

	private static final class Peer {

		private volatile Role role = Role.ROLE_UNSPECIFIED;

		private long asked;

		private long told;

	}

}
