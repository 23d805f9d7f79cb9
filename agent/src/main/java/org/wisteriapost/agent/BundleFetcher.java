package org.wisteriapost.agent;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.wisteriapost.policy.agent.AgentEvent;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.outside.Platform;
import org.wisteriapost.protocol.wire.Approval;
import org.wisteriapost.protocol.wire.BundleReply;
import org.wisteriapost.protocol.wire.BundleRequest;

/**
 * Fetches a bundle from an entry, from a second entry if the first one is slow, and from
 * the platform if neither replies. The first reply is posted to the {@link AgentLoop}
 * unverified; {@link org.wisteriapost.policy.agent.AgentStateMachine} checks its digest
 * and approvals.
 */
final class BundleFetcher {

	// A dead link is only closed after three seconds of silence, half of the time within
	// which a bundle has to take effect, so a second entry is tried long before that.
	private static final long SECOND_ENTRY_DELAY_MILLIS = 300;

	private static final long PLATFORM_DELAY_MILLIS = 800;

	private final AgentLoop loop;

	private final AgentLinks agentLinks;

	private final Platform platform;

	private final ScheduledExecutorService timer;

	private volatile String pendingDigest = "";

	private int entryIndex;

	BundleFetcher(AgentLoop loop, AgentLinks agentLinks, Platform platform, ScheduledExecutorService timer) {
		this.loop = loop;
		this.agentLinks = agentLinks;
		this.platform = platform;
		this.timer = timer;
	}

	void fetch(String digest) {
		this.pendingDigest = digest;
		List<Link> entries = this.agentLinks.entries();
		if (entries.isEmpty()) {
			fetchFromPlatform(digest);
			return;
		}
		this.entryIndex++;
		request(entries.get(this.entryIndex % entries.size()), digest);
		if (entries.size() > 1) {
			scheduleWhilePending(SECOND_ENTRY_DELAY_MILLIS,
					() -> request(entries.get((this.entryIndex + 1) % entries.size()), digest), digest);
		}
		scheduleWhilePending(PLATFORM_DELAY_MILLIS, () -> fetchFromPlatform(digest), digest);
	}

	void handleReply(BundleReply reply) {
		if (reply.getBundle().isEmpty() || !reply.getDigest().equals(this.pendingDigest)) {
			return;
		}
		Map<String, byte[]> signatures = new HashMap<>();
		reply.getApprovalsList()
			.forEach((approval) -> signatures.put(approval.getOperator(), approval.getSignature().toByteArray()));
		bundleReceived(reply.getDigest(), reply.getBundle().toByteArray(), signatures);
	}

	private void request(Link link, String digest) {
		link.send(this.agentLinks.newFrame().setBundleRequest(BundleRequest.newBuilder().setDigest(digest)).build());
	}

	private void scheduleWhilePending(long millis, Runnable task, String digest) {
		this.timer.schedule(() -> {
			if (this.pendingDigest.equals(digest)) {
				task.run();
			}
		}, millis, TimeUnit.MILLISECONDS);
	}

	private void fetchFromPlatform(String digest) {
		String prefix = "approvals/" + digest + "/";
		this.platform.get("bundles/" + digest)
			.thenCombine(this.platform.list(prefix), (stored, listing) -> stored.map((bundle) -> {
				Map<String, byte[]> signatures = new HashMap<>();
				listing.items().forEach((item) -> signatures.put(item.key().substring(prefix.length()), item.value()));
				return new AgentEvent.BundleReceived(digest, bundle.value(), signatures);
			}))
			.whenComplete((found, failure) -> {
				if (!this.pendingDigest.equals(digest)) {
					return;
				}
				if (failure != null || found.isEmpty()) {
					this.pendingDigest = "";
					this.loop.post(new AgentEvent.BundleUnavailable(digest));
					return;
				}
				bundleReceived(digest, found.get().content(), found.get().signatures());
			});
	}

	private void bundleReceived(String digest, byte[] content, Map<String, byte[]> signatures) {
		this.pendingDigest = "";
		this.loop.post(new AgentEvent.BundleReceived(digest, content, signatures));
	}

	static BundleReply createReply(String digest, org.wisteriapost.policy.agent.AgentStatus status) {
		BundleReply.Builder reply = BundleReply.newBuilder().setDigest(digest);
		if (status.bundleDigest().equals(digest)) {
			status.bundle().ifPresent((copy) -> {
				reply.setBundle(com.google.protobuf.ByteString.copyFrom(copy.content()));
				copy.signatures()
					.forEach((operator,
							signature) -> reply.addApprovals(Approval.newBuilder()
								.setOperator(operator)
								.setSignature(com.google.protobuf.ByteString.copyFrom(signature))));
			});
		}
		return reply.build();
	}

}
