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
 * Gets a bundle: from an entry, from a second one when the first is slow, and from the
 * platform when neither answers. The first answer counts; the decisions check it.
 */
final class BundleSource {

	// A link may be silent for three seconds before it is closed; waiting for that would
	// cost half of the time in which a bundle is to be in force.
	private static final long SECOND_MILLIS = 300;

	private static final long PLATFORM_MILLIS = 800;

	private final AgentLoop loop;

	private final AgentLinks links;

	private final Platform platform;

	private final ScheduledExecutorService timer;

	private volatile String wanted = "";

	private int turn;

	BundleSource(AgentLoop loop, AgentLinks links, Platform platform, ScheduledExecutorService timer) {
		this.loop = loop;
		this.links = links;
		this.platform = platform;
		this.timer = timer;
	}

	void fetch(String digest) {
		this.wanted = digest;
		List<Link> entries = this.links.entries();
		if (entries.isEmpty()) {
			platform(digest);
			return;
		}
		this.turn++;
		ask(entries.get(this.turn % entries.size()), digest);
		if (entries.size() > 1) {
			later(SECOND_MILLIS, () -> ask(entries.get((this.turn + 1) % entries.size()), digest), digest);
		}
		later(PLATFORM_MILLIS, () -> platform(digest), digest);
	}

	void replied(BundleReply reply) {
		if (reply.getBundle().isEmpty() || !reply.getDigest().equals(this.wanted)) {
			return;
		}
		Map<String, byte[]> signatures = new HashMap<>();
		reply.getApprovalsList().forEach((one) -> signatures.put(one.getOperator(), one.getSignature().toByteArray()));
		arrived(reply.getDigest(), reply.getBundle().toByteArray(), signatures);
	}

	private void ask(Link link, String digest) {
		link.send(this.links.frame().setBundleRequest(BundleRequest.newBuilder().setDigest(digest)).build());
	}

	private void later(long millis, Runnable task, String digest) {
		this.timer.schedule(() -> {
			if (this.wanted.equals(digest)) {
				task.run();
			}
		}, millis, TimeUnit.MILLISECONDS);
	}

	private void platform(String digest) {
		String prefix = "approvals/" + digest + "/";
		this.platform.get("bundles/" + digest)
			.thenCombine(this.platform.list(prefix), (stored, listing) -> stored.map((bundle) -> {
				Map<String, byte[]> signatures = new HashMap<>();
				listing.items().forEach((item) -> signatures.put(item.key().substring(prefix.length()), item.value()));
				return new AgentEvent.BundleReceived(digest, bundle.value(), signatures);
			}))
			.whenComplete((found, failure) -> {
				if (!this.wanted.equals(digest)) {
					return;
				}
				if (failure != null || found.isEmpty()) {
					this.wanted = "";
					this.loop.post(new AgentEvent.BundleUnavailable(digest));
					return;
				}
				arrived(digest, found.get().content(), found.get().signatures());
			});
	}

	private void arrived(String digest, byte[] content, Map<String, byte[]> signatures) {
		this.wanted = "";
		this.loop.post(new AgentEvent.BundleReceived(digest, content, signatures));
	}

	static BundleReply reply(String digest, org.wisteriapost.policy.agent.AgentStatus view) {
		BundleReply.Builder reply = BundleReply.newBuilder().setDigest(digest);
		if (view.bundleDigest().equals(digest)) {
			view.bundle().ifPresent((copy) -> {
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
