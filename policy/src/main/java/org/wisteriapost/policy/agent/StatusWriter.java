package org.wisteriapost.policy.agent;

import org.wisteriapost.policy.bundle.BundleCodec;
import org.wisteriapost.policy.bundle.VmStatus;

/**
 * Writes this VM's status for operators to the platform when it changes.
 *
 * Changes of state are written at most once a second and fetch progress at most every ten
 * seconds. When a bundle is rolled out to 810 VMs at once, this limits them during the
 * fetch to about 80 writes a second of the several hundred that the platform accepts.
 */
final class StatusWriter {

	private static final long CHANGE_INTERVAL_NANOS = 1_000_000_000L;

	private static final long PROGRESS_INTERVAL_NANOS = 10_000_000_000L;

	private final AgentIdentity identity;

	private VmStatus lastWritten;

	private VmStatus pendingWrite;

	private boolean writeInFlight;

	private boolean sentBefore;

	private long lastSentNanos;

	StatusWriter(AgentIdentity identity) {
		this.identity = identity;
	}

	void advance(AgentStatus agentStatus, EventContext context) {
		VmStatus vmStatus = new VmStatus(this.identity.vm(), this.identity.failureDomain(), this.identity.service(),
				agentStatus.bundleGeneration(), agentStatus.bundleDigest(), agentStatus.weightsDigest(),
				agentStatus.admitting(), (int) agentStatus.verifiedChunks(), (int) agentStatus.totalChunks(),
				agentStatus.failureCode());
		if (this.writeInFlight || vmStatus.equals(this.lastWritten)) {
			return;
		}
		long dueNanos = this.lastSentNanos
				+ (onlyProgressChanged(vmStatus) ? PROGRESS_INTERVAL_NANOS : CHANGE_INTERVAL_NANOS);
		if (this.sentBefore && context.now() < dueNanos) {
			context.wakeAt(dueNanos);
			return;
		}
		this.writeInFlight = true;
		this.pendingWrite = vmStatus;
		this.sentBefore = true;
		this.lastSentNanos = context.now();
		context.add(new AgentEffect.WriteObject(this.identity.statusKey(), BundleCodec.encode(vmStatus),
				AgentEffect.WriteObject.ANY_VERSION));
	}

	void writeCompleted(boolean succeeded) {
		this.writeInFlight = false;
		this.lastWritten = succeeded ? this.pendingWrite : this.lastWritten;
	}

	private boolean onlyProgressChanged(VmStatus vmStatus) {
		if (this.lastWritten == null || vmStatus.verified() == vmStatus.total()) {
			return false;
		}
		VmStatus last = this.lastWritten;
		return vmStatus.equals(new VmStatus(last.vm(), last.place(), last.service(), last.generation(), last.digest(),
				last.serving(), last.admitting(), vmStatus.verified(), vmStatus.total(), last.failing()));
	}

}
