package org.wisteriapost.policy.agent;

import org.wisteriapost.policy.bundle.BundleCodec;
import org.wisteriapost.policy.bundle.VmStatus;

/**
 * Writes what operators read of this VM into the platform, on change.
 *
 * Made for a roll to every VM at once: each writes a few changes of state, at most one a
 * second, and its progress every ten seconds, so that 810 VMs in the middle of a fetch
 * stay at about 80 writes a second of the several hundred that the platform takes.
 */
final class StatusWriter {

	private static final long CHANGE_NANOS = 1_000_000_000L;

	private static final long PROGRESS_NANOS = 10_000_000_000L;

	private final AgentIdentity self;

	private VmStatus written;

	private VmStatus sending;

	private boolean busy;

	private boolean sentBefore;

	private long sentAt;

	StatusWriter(AgentIdentity self) {
		this.self = self;
	}

	void advance(AgentView view, Turn turn) {
		VmStatus status = new VmStatus(this.self.vm(), this.self.place(), this.self.service(), view.generation(),
				view.digest(), view.weightsDigest(), view.admitting(), (int) view.verified(), (int) view.total(),
				view.failing());
		if (this.busy || status.equals(this.written)) {
			return;
		}
		long due = this.sentAt + (onlyProgress(status) ? PROGRESS_NANOS : CHANGE_NANOS);
		if (this.sentBefore && turn.now() < due) {
			turn.wakeAt(due);
			return;
		}
		this.busy = true;
		this.sending = status;
		this.sentBefore = true;
		this.sentAt = turn.now();
		turn.add(new AgentEffect.WriteObject(this.self.statusKey(), BundleCodec.encode(status),
				AgentEffect.WriteObject.ANYTHING));
	}

	void ended(boolean written) {
		this.busy = false;
		this.written = written ? this.sending : this.written;
	}

	private boolean onlyProgress(VmStatus status) {
		if (this.written == null || status.verified() == status.total()) {
			return false;
		}
		VmStatus last = this.written;
		return status.equals(new VmStatus(last.vm(), last.place(), last.service(), last.generation(), last.digest(),
				last.serving(), last.admitting(), status.verified(), status.total(), last.failing()));
	}

}
