package org.wisteriapost.standin.bench.weights;

import java.util.BitSet;
import java.util.LinkedHashSet;
import java.util.Set;

import org.wisteriapost.policy.transfer.Peer;
import org.wisteriapost.policy.transfer.TransferEffect;
import org.wisteriapost.policy.transfer.TransferStateMachine;
import org.wisteriapost.policy.transfer.UploadQueue;

/**
 * One VM of a simulation: its transfer state machine, its links and the faults that
 * affect it.
 */
final class SimulatedVm {

	private static final int MAX_QUEUED_UPLOADS = 16;

	private static final int MAX_UPLOADS_PER_PEER = 2;

	final Peer peer;

	final TransferStateMachine transfer;

	final UploadQueue<Upload> uploads = UploadQueue.create(MAX_QUEUED_UPLOADS, MAX_UPLOADS_PER_PEER);

	final Set<SimulatedVm> subscribers = new LinkedHashSet<>();

	final Set<String> links = new LinkedHashSet<>();

	final BitSet stored = new BitSet();

	int slowdownFactor = 1;

	boolean sending;

	long receiveFreeAt;

	long finishedAt = -1;

	boolean crashed;

	boolean stalled;

	boolean idle;

	boolean corrupt;

	boolean failed;

	long controlBytes;

	long received;

	SimulatedVm(Peer peer, TransferStateMachine transfer) {
		this.peer = peer;
		this.transfer = transfer;
	}

	boolean isUnavailable() {
		return this.crashed || this.stalled || this.idle;
	}

	record Upload(SimulatedVm to, TransferEffect.Request request, long queuedAt) {
	}

}
