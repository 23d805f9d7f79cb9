package org.wisteriapost.entry.process;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import com.google.protobuf.ByteString;
import org.wisteriapost.entry.caller.ServiceView;
import org.wisteriapost.entry.link.PeerLink;
import org.wisteriapost.entry.platform.BundleContent;
import org.wisteriapost.kernel.SuspensionWatch;
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
 * All that an entry knows; the event loop's thread alone applies events to it.
 */
public final class EntryState {

	// Heads are pushed on change; now and then once more, for a neighbour that lost one
	// and to renew how long ago the platform confirmed it.
	private static final long REPEAT_HEAD_NANOS = TimeUnit.SECONDS.toNanos(2);

	private static final long RETRY_BUNDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final long CLAIMS_WAIT_NANOS = TimeUnit.SECONDS.toNanos(3);

	private final Identity identity;

	private final EntryOutput output;

	private final LongSupplier clock;

	private final LongSupplier dayMillis;

	private final SuspensionWatch suspension;

	private final Calls calls;

	private final ClaimKeeper claims;

	private final HeadTracker heads;

	private final Membership membership;

	private final LinkSelector linkChoice;

	private final Draining draining;

	private final PeerTable peers = new PeerTable();

	private final RunnerReports reports;

	private long headSentNanos;

	private long bundleAskedNanos;

	private RejectionPermit shown = RejectionPermit.NONE;

	private long idleNanos;

	private boolean finished;

	private EntryState(Identity identity, EntryOutput output, EntryWiring wiring) {
		this.identity = identity;
		this.output = output;
		this.clock = wiring.clock();
		this.dayMillis = wiring.wallMillis();
		this.suspension = SuspensionWatch.start(this.clock.getAsLong(), this.dayMillis.getAsLong());
		this.heads = new HeadTracker(wiring.invariants());
		this.membership = Membership.of(identity.vm(), identity.place());
		this.linkChoice = LinkSelector.of(identity.vm());
		this.draining = new Draining(identity.keepSeconds());
		this.claims = new ClaimKeeper(wiring.claims(), wiring.store(), wiring.clock(), wiring.wallMillis());
		this.calls = new Calls(wiring, this.claims, this.heads::generation);
		this.claims.tells(this.calls);
		this.reports = new RunnerReports(this.calls, this.heads);
	}

	/**
	 * Returns an entry that has heard nothing yet.
	 */
	public static EntryState create(Identity identity, EntryOutput output, EntryWiring wiring) {
		return new EntryState(identity, output, wiring);
	}

	/**
	 * Returns how many changes of idempotency keys are not in the platform yet.
	 */
	int unwrittenClaims() {
		return this.claims.unwritten();
	}

	/**
	 * Applies one event.
	 */
	public void apply(EntryEvent event) {
		if (this.suspension.woke(this.clock.getAsLong(), this.dayMillis.getAsLong())) {
			this.heads.suspended(this.clock.getAsLong());
			publish();
		}
		switch (event) {
			case EntryEvent.CallArrived arrived -> this.calls.arrive(arrived.call());
			case EntryEvent.CallerLeft left -> this.calls.callerLeft(left.id());
			case EntryEvent.LinkUp up -> linkUp(up.peer());
			case EntryEvent.FrameArrived arrived -> frame(arrived.peer(), arrived.frame());
			case EntryEvent.LinkDown down -> linkDown(down.peer());
			case EntryEvent.HeadRead read -> headRead(read.head(), read.asOfNanos());
			case EntryEvent.BundleRead read -> bundle(read.content());
			case EntryEvent.MarksRead read -> marks(read.vms());
			case EntryEvent.VmsRead read -> vms(read.members());
			case EntryEvent.ClaimAnswered answered -> this.claims.reply(answered.reply());
			case EntryEvent.Tick tick -> tick();
			case EntryEvent.DrainAsked asked -> drain();
		}
	}

	private void linkUp(PeerLink peer) {
		peer.send(frame()
			.setHello(Hello.newBuilder().setVm(this.identity.vm()).setPlace(this.identity.place()).setRole(Role.ENTRY))
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
				this.membership.linkChanged(peer.vm(), this.peers.linked(peer.vm()));
				publish();
			}
			default -> {
				this.reports.lost(peer.vm());
				this.calls.linkDown(peer);
				publish();
			}
		}
	}

	private void frame(PeerLink peer, Frame frame) {
		if (frame.getGeneration() > this.heads.generation() && peer.asksFor(frame.getGeneration())) {
			peer.send(frame().setHeadRequest(org.wisteriapost.protocol.wire.HeadRequest.getDefaultInstance()).build());
		}
		switch (frame.getBodyCase()) {
			case HELLO -> hello(peer, frame.getHello());
			case HEAD -> heard(peer, frame.getHead());
			case HEAD_REQUEST -> sendHead(peer);
			case BUNDLE_REQUEST -> sendBundle(peer, frame.getBundleRequest().getDigest());
			case BUNDLE_REPLY -> replied(frame.getBundleReply());
			case REPORT -> report(peer, frame.getReport());
			case CALL_STARTED -> this.calls.started(peer, frame.getCallStarted());
			case CALL_DATA -> this.calls.data(peer, frame.getCallData());
			case CALL_END -> this.calls.ended(peer, frame.getCallEnd());
			case LEAVING -> announced(peer.vm());
			default -> {
				// What only agents say to each other is not for an entry.
			}
		}
	}

	private void hello(PeerLink peer, Hello hello) {
		// The VM list lags: an address it names may by now be another VM's.
		if (!peer.hello(hello)) {
			peer.close();
			return;
		}
		this.peers.add(peer);
		if (peer.role() == Role.ENTRY) {
			this.membership.linkChanged(peer.vm(), true);
		}
		else {
			this.calls.linkUp(peer);
		}
		publish();
	}

	private void heard(PeerLink peer, org.wisteriapost.protocol.wire.Head head) {
		if (head.getGeneration() < this.heads.generation()) {
			sendHead(peer);
			return;
		}
		if (this.heads.learn(head.getGeneration(), head.getDigest(), false, this.clock.getAsLong())) {
			peer.send(frame()
				.setBundleRequest(org.wisteriapost.protocol.wire.BundleRequest.newBuilder().setDigest(head.getDigest()))
				.build());
			askBundle();
		}
	}

	private void headRead(Head head, long asOfNanos) {
		if (this.heads.learn(head.generation(), head.digest(), true, asOfNanos)) {
			askBundle();
		}
	}

	private void askBundle() {
		this.bundleAskedNanos = this.clock.getAsLong();
		this.heads.wanted().ifPresent(this.output::readBundle);
	}

	private void replied(BundleReply reply) {
		Map<String, byte[]> approvals = reply.getApprovalsList()
			.stream()
			.collect(Collectors.toMap(Approval::getOperator, (approval) -> approval.getSignature().toByteArray(),
					(first, second) -> first));
		bundle(new BundleContent(reply.getDigest(), reply.getBundle().toByteArray(), approvals));
	}

	private void bundle(BundleContent content) {
		if (!this.heads.take(content, this.clock.getAsLong())) {
			return;
		}
		this.reports.headChanged();
		sendHeads();
		publish();
	}

	private void report(PeerLink peer, org.wisteriapost.protocol.wire.Report report) {
		if (!report.getVm().equals(peer.vm())) {
			return;
		}
		if (report.getLeaving()) {
			announced(report.getVm());
		}
		this.reports.seen(report, this.clock.getAsLong());
	}

	private void announced(String vm) {
		this.membership.leavingAnnounced(vm);
		leavingChanged();
	}

	private void marks(Set<String> vms) {
		this.membership.replaceMarks(vms);
		leavingChanged();
	}

	private void vms(List<Member> members) {
		this.membership.replaceMembers(members);
		this.output.keepLinks(this.linkChoice.select(members));
		leavingChanged();
	}

	private void leavingChanged() {
		Set<String> leaving = this.membership.leaving();
		this.calls.decide(new RequestEvent.LeavingVmsRead(leaving));
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
		// The view is made anew after changes only, and a bundle is confirmed without
		// one.
		if (!rejections().untilNanos().equals(this.shown.untilNanos())) {
			publish();
		}
		this.calls.decide(new RequestEvent.Tick());
		this.claims.tick();
		if (this.heads.wanted().isPresent() && now - this.bundleAskedNanos > RETRY_BUNDLE_NANOS) {
			askBundle();
		}
		if (this.heads.generation() > 0 && now - this.headSentNanos > REPEAT_HEAD_NANOS) {
			sendHeads();
		}
		if (this.draining.refuses(now)) {
			this.calls.decide(new RequestEvent.Drain());
			publish();
		}
		if (this.draining.refusing() && this.calls.size() == 0 && !this.finished && this.output.idle()
				&& claimsWritten(now)) {
			this.finished = true;
			this.output.drained();
		}
	}

	// The last answers should be kept for their callers' repeats, but a platform that is
	// down must not hold a VM back that has to go: the repeats are then told "unknown".
	private boolean claimsWritten(long now) {
		if (this.idleNanos == 0) {
			this.idleNanos = now;
		}
		return this.claims.unwritten() == 0 || now - this.idleNanos > CLAIMS_WAIT_NANOS;
	}

	private RejectionPermit rejections() {
		return this.heads.rejections(this.clock.getAsLong(), this.dayMillis.getAsLong());
	}

	private void publish() {
		this.shown = rejections();
		Map<String, ServiceSpec> services = this.heads.bundle()
			.map((bundle) -> bundle.services()
				.stream()
				.collect(Collectors.toMap(ServiceSpec::name, (spec) -> spec, (first, second) -> first)))
			.orElse(Map.of());
		List<String> entries = this.membership.advertisedEntries(this.draining.started())
			.stream()
			.map((member) -> "http://" + member.host() + ":" + member.httpPort())
			.toList();
		boolean ready = this.heads.generation() > 0 && this.peers.agents() > 0 && !this.draining.started();
		this.output.publish(new ServiceView(this.heads.generation(), services, entries, this.draining.refusing(), ready,
				this.shown));
	}

	private void sendHeads() {
		this.headSentNanos = this.clock.getAsLong();
		this.peers.all().forEach(this::sendHead);
	}

	private void sendHead(PeerLink peer) {
		peer.send(frame().setHead(this.heads.wire(this.clock.getAsLong())).build());
	}

	// Only entries name each other to callers; to an agent an entry that leaves is one
	// caller fewer.
	private void sendLeaving(PeerLink peer) {
		if (peer.role() == Role.ENTRY) {
			peer.send(frame().setLeaving(Leaving.newBuilder().setVm(this.identity.vm())).build());
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
		peer.send(frame().setBundleReply(reply).build());
	}

	private Frame.Builder frame() {
		return Frame.newBuilder().setGeneration(this.heads.generation());
	}

}
