package org.wisteriapost.entry.process;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import com.google.protobuf.ByteString;
import org.wisteriapost.entry.caller.EntryView;
import org.wisteriapost.entry.link.PeerLink;
import org.wisteriapost.entry.platform.BundleContent;
import org.wisteriapost.entry.quarantine.SuspectExchange;
import org.wisteriapost.kernel.SuspensionDetector;
import org.wisteriapost.policy.bundle.Head;
import org.wisteriapost.policy.bundle.ServiceSpec;
import org.wisteriapost.policy.membership.LinkSelector;
import org.wisteriapost.policy.membership.Member;
import org.wisteriapost.policy.membership.Membership;
import org.wisteriapost.policy.request.RequestEvent;
import org.wisteriapost.policy.routing.RejectionPermit;
import org.wisteriapost.protocol.wire.Approval;
import org.wisteriapost.protocol.wire.BundleReply;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.Hello;
import org.wisteriapost.protocol.wire.Leaving;
import org.wisteriapost.protocol.wire.Role;

/**
 * The state of an entry. Only the event loop's thread applies events to it.
 */
public final class EntryState {

	// Heads are sent on change, and again at this interval for a peer that missed one and
	// to update the time at which the platform last confirmed it.
	private static final long HEAD_RESEND_NANOS = TimeUnit.SECONDS.toNanos(2);

	private static final long BUNDLE_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final long CLAIM_FLUSH_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);

	private final EntryIdentity identity;

	private final EntryOutput output;

	private final LongSupplier clock;

	private final LongSupplier wallMillis;

	private final SuspensionDetector suspension;

	private final ActiveRequests requests;

	private final ClaimCoordinator claims;

	private final HeadTracker heads;

	private final Membership membership;

	private final LinkSelector linkChoice;

	private final DrainState draining;

	private final PeerTable peers = new PeerTable();

	private final RunnerReports reports;

	private final SuspectExchange suspects;

	private long ticks;

	private long headSentNanos;

	private long bundleRequestedNanos;

	private RejectionPermit publishedPermit = RejectionPermit.NONE;

	private long idleSinceNanos;

	private boolean drained;

	private EntryState(EntryIdentity identity, EntryOutput output, EntryWiring wiring) {
		this.identity = identity;
		this.output = output;
		this.clock = wiring.clock();
		this.wallMillis = wiring.wallMillis();
		this.suspension = SuspensionDetector.start(this.clock.getAsLong(), this.wallMillis.getAsLong());
		this.heads = new HeadTracker(wiring.invariants());
		this.membership = Membership.of(identity.vm(), identity.failureDomain());
		this.linkChoice = LinkSelector.of(identity.vm());
		this.draining = new DrainState(identity.addressCacheSeconds());
		this.claims = new ClaimCoordinator(wiring.claims(), wiring.store(), wiring.clock(), wiring.wallMillis());
		this.requests = new ActiveRequests(wiring, this.claims, this.heads::generation);
		this.claims.attach(this.requests);
		this.reports = new RunnerReports(this.requests, this.heads);
		this.suspects = SuspectExchange.of(identity.vm(), this.requests.quarantine().quarantine(),
				this.peers::linkedEntries,
				(vm, report) -> this.peers.entry(vm)
					.map((peer) -> peer.send(newFrame().setSuspectReport(report).build()))
					.orElse(false));
	}

	/**
	 * Returns the initial state of an entry: no bundle, no peers.
	 */
	public static EntryState create(EntryIdentity identity, EntryOutput output, EntryWiring wiring) {
		return new EntryState(identity, output, wiring);
	}

	/**
	 * Returns how many claim changes are not yet written to the platform.
	 */
	int pendingClaimOperations() {
		return this.claims.pendingOperations();
	}

	public void apply(EntryEvent event) {
		if (this.suspension.detectSuspension(this.clock.getAsLong(), this.wallMillis.getAsLong())) {
			this.heads.suspended(this.clock.getAsLong());
			publish();
		}
		switch (event) {
			case EntryEvent.CallArrived arrived -> this.requests.arrived(arrived.call());
			case EntryEvent.CallerDisconnected left -> this.requests.callerDisconnected(left.id());
			case EntryEvent.LinkUp up -> linkUp(up.peer());
			case EntryEvent.FrameArrived arrived -> onFrame(arrived.peer(), arrived.frame());
			case EntryEvent.LinkDown down -> linkDown(down.peer());
			case EntryEvent.HeadRead read -> onPlatformHead(read.head(), read.asOfNanos());
			case EntryEvent.BundleRead read -> onBundle(read.content());
			case EntryEvent.LeavingMarksRead read -> onLeavingMarks(read.vms());
			case EntryEvent.VmListRead read -> onVmList(read.members());
			case EntryEvent.ClaimReplied answered -> this.claims.onReply(answered.reply());
			case EntryEvent.Tick tick -> tick();
			case EntryEvent.DrainRequested asked -> drain();
		}
	}

	private void linkUp(PeerLink peer) {
		peer.send(newFrame()
			.setHello(Hello.newBuilder()
				.setVm(this.identity.vm())
				.setPlace(this.identity.failureDomain())
				.setRole(Role.ENTRY))
			.build());
		if (this.heads.generation() > 0) {
			sendHead(peer);
		}
		if (this.draining.started()) {
			sendLeaving(peer);
		}
	}

	private void linkDown(PeerLink peer) {
		if (!this.peers.remove(peer)) {
			return;
		}
		switch (peer.role()) {
			case ENTRY -> {
				this.membership.linkChanged(peer.vm(), this.peers.isLinked(peer.vm()));
				publish();
			}
			default -> {
				this.reports.disconnected(peer.vm());
				this.requests.linkDown(peer);
				publish();
			}
		}
	}

	private void onFrame(PeerLink peer, Frame frame) {
		if (frame.getGeneration() > this.heads.generation() && peer.markRequested(frame.getGeneration())) {
			peer.send(
					newFrame().setHeadRequest(org.wisteriapost.protocol.wire.HeadRequest.getDefaultInstance()).build());
		}
		switch (frame.getBodyCase()) {
			case HELLO -> onHello(peer, frame.getHello());
			case HEAD -> onPeerHead(peer, frame.getHead());
			case HEAD_REQUEST -> sendHead(peer);
			case BUNDLE_REQUEST -> sendBundle(peer, frame.getBundleRequest().getDigest());
			case BUNDLE_REPLY -> onBundleReply(frame.getBundleReply());
			case REPORT -> onReport(peer, frame.getReport());
			case CALL_STARTED -> this.requests.started(peer, frame.getCallStarted());
			case CALL_DATA -> this.requests.data(peer, frame.getCallData());
			case CALL_END -> this.requests.ended(peer, frame.getCallEnd());
			case LEAVING -> onLeavingAnnounced(peer.vm());
			case SUSPECT_REPORT ->
				this.suspects.reportReceived(peer.vm(), frame.getSuspectReport(), this.clock.getAsLong());
			default -> {
				// Frames that only agents exchange are ignored.
			}
		}
	}

	private void onHello(PeerLink peer, Hello hello) {
		// The VM list lags, so its address may by now belong to another VM.
		if (!peer.acceptHello(hello)) {
			peer.close();
			return;
		}
		this.peers.add(peer);
		if (peer.role() == Role.ENTRY) {
			this.membership.linkChanged(peer.vm(), true);
			this.suspects.linkEstablished(peer.vm());
		}
		else {
			this.requests.linkUp(peer);
		}
		publish();
	}

	private void onPeerHead(PeerLink peer, org.wisteriapost.protocol.wire.Head head) {
		if (head.getGeneration() < this.heads.generation()) {
			sendHead(peer);
			return;
		}
		if (this.heads.headReceived(head.getGeneration(), head.getDigest(), false, this.clock.getAsLong())) {
			peer.send(newFrame()
				.setBundleRequest(org.wisteriapost.protocol.wire.BundleRequest.newBuilder().setDigest(head.getDigest()))
				.build());
			requestBundle();
		}
	}

	private void onPlatformHead(Head head, long asOfNanos) {
		if (this.heads.headReceived(head.generation(), head.digest(), true, asOfNanos)) {
			requestBundle();
		}
	}

	private void requestBundle() {
		this.bundleRequestedNanos = this.clock.getAsLong();
		this.heads.pending().ifPresent(this.output::readBundle);
	}

	private void onBundleReply(BundleReply reply) {
		Map<String, byte[]> approvals = reply.getApprovalsList()
			.stream()
			.collect(Collectors.toMap(Approval::getOperator, (approval) -> approval.getSignature().toByteArray(),
					(first, second) -> first));
		onBundle(new BundleContent(reply.getDigest(), reply.getBundle().toByteArray(), approvals));
	}

	private void onBundle(BundleContent content) {
		if (!this.heads.activate(content, this.clock.getAsLong())) {
			return;
		}
		this.reports.headChanged();
		sendHeads();
		publish();
	}

	private void onReport(PeerLink peer, org.wisteriapost.protocol.wire.Report report) {
		if (!report.getVm().equals(peer.vm())) {
			return;
		}
		if (report.getLeaving()) {
			onLeavingAnnounced(report.getVm());
		}
		this.reports.received(report, this.clock.getAsLong());
	}

	private void onLeavingAnnounced(String vm) {
		this.membership.leavingAnnounced(vm);
		leavingChanged();
	}

	private void onLeavingMarks(Set<String> vms) {
		this.membership.replaceMarks(vms);
		leavingChanged();
	}

	private void onVmList(List<Member> members) {
		this.membership.replaceMembers(members);
		this.output.reconcileLinks(this.linkChoice.select(members));
		leavingChanged();
	}

	private void leavingChanged() {
		Set<String> leaving = this.membership.leaving();
		this.requests.decide(new RequestEvent.LeavingVmsRead(leaving));
		if (leaving.contains(this.identity.vm())) {
			drain();
		}
		publish();
	}

	private void drain() {
		if (this.draining.start(this.clock.getAsLong())) {
			this.peers.all().forEach(this::sendLeaving);
			publish();
		}
	}

	private void tick() {
		long now = this.clock.getAsLong();
		// A confirmation of the bundle extends the permit without any other change that
		// would publish it.
		if (!rejectionPermit().untilNanos().equals(this.publishedPermit.untilNanos())) {
			publish();
		}
		this.requests.quarantine().tick();
		this.suspects.tick(++this.ticks, now);
		this.requests.decide(new RequestEvent.Tick());
		this.claims.tick();
		if (this.heads.pending().isPresent() && now - this.bundleRequestedNanos > BUNDLE_RETRY_NANOS) {
			requestBundle();
		}
		if (this.heads.generation() > 0 && now - this.headSentNanos > HEAD_RESEND_NANOS) {
			sendHeads();
		}
		if (this.draining.startRefusing(now)) {
			this.requests.decide(new RequestEvent.Drain());
			publish();
		}
		if (this.draining.refusing() && this.requests.size() == 0 && !this.drained && this.output.idle()
				&& claimsWrittenOrTimedOut(now)) {
			this.drained = true;
			this.output.drained();
		}
	}

	// The last answers are stored for repeated calls. A platform that is down must not
	// keep a leaving VM running, so the wait is limited; such repeats get "unknown".
	private boolean claimsWrittenOrTimedOut(long now) {
		if (this.idleSinceNanos == 0) {
			this.idleSinceNanos = now;
		}
		return this.claims.pendingOperations() == 0 || now - this.idleSinceNanos > CLAIM_FLUSH_TIMEOUT_NANOS;
	}

	private RejectionPermit rejectionPermit() {
		return this.heads.rejectionPermit(this.clock.getAsLong(), this.wallMillis.getAsLong());
	}

	private void publish() {
		this.publishedPermit = rejectionPermit();
		Map<String, ServiceSpec> services = this.heads.bundle()
			.map((bundle) -> bundle.services()
				.stream()
				.collect(Collectors.toMap(ServiceSpec::name, (spec) -> spec, (first, second) -> first)))
			.orElse(Map.of());
		List<String> entries = this.membership.advertisedEntries(this.draining.started())
			.stream()
			.map((member) -> "http://" + member.host() + ":" + member.httpPort())
			.toList();
		boolean ready = this.heads.generation() > 0 && this.peers.agentLinks() > 0 && !this.draining.started();
		this.output.publish(new EntryView(this.heads.generation(), services, entries, this.draining.refusing(), ready,
				this.publishedPermit));
	}

	private void sendHeads() {
		this.headSentNanos = this.clock.getAsLong();
		this.peers.all().forEach(this::sendHead);
	}

	private void sendHead(PeerLink peer) {
		peer.send(newFrame().setHead(this.heads.toWire(this.clock.getAsLong())).build());
	}

	// Only entries advertise each other to callers; agents need no notice.
	private void sendLeaving(PeerLink peer) {
		if (peer.role() == Role.ENTRY) {
			peer.send(newFrame().setLeaving(Leaving.newBuilder().setVm(this.identity.vm())).build());
		}
	}

	private void sendBundle(PeerLink peer, String digest) {
		BundleReply.Builder reply = BundleReply.newBuilder().setDigest(digest);
		Optional<BundleContent> content = this.heads.content(digest);
		content.ifPresent((held) -> {
			reply.setBundle(ByteString.copyFrom(held.bytes()));
			held.approvals()
				.forEach((operator, signature) -> reply.addApprovals(
						Approval.newBuilder().setOperator(operator).setSignature(ByteString.copyFrom(signature))));
		});
		peer.send(newFrame().setBundleReply(reply).build());
	}

	private Frame.Builder newFrame() {
		return Frame.newBuilder().setGeneration(this.heads.generation());
	}

}
