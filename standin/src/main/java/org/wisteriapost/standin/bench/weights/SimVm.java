package org.wisteriapost.standin.bench.weights;

import java.util.BitSet;
import java.util.LinkedHashSet;
import java.util.Set;

import org.wisteriapost.policy.transfer.Peer;
import org.wisteriapost.policy.transfer.TransferEffect;
import org.wisteriapost.policy.transfer.TransferStateMachine;
import org.wisteriapost.policy.transfer.UploadQueue;

/**
 * One VM of a simulation: a machine, its two link directions, and what has befallen it.
 */
final class SimVm {

	private static final int UPLOADS_WAITING = 16;

	private static final int UPLOADS_PER_PEER = 2;

	final Peer peer;

	final TransferStateMachine machine;

	final UploadQueue<Upload> uploads = UploadQueue.create(UPLOADS_WAITING, UPLOADS_PER_PEER);

	final Set<SimVm> subscribers = new LinkedHashSet<>();

	final Set<String> links = new LinkedHashSet<>();

	final BitSet stored = new BitSet();

	int slower = 1;

	boolean sending;

	long receiveFreeAt;

	long finishedAt = -1;

	boolean dead;

	boolean stalled;

	boolean idle;

	boolean corrupt;

	boolean failed;

	long controlBytes;

	long received;

	SimVm(Peer peer, TransferStateMachine machine) {
		this.peer = peer;
		this.machine = machine;
	}

	boolean gone() {
		return this.dead || this.stalled || this.idle;
	}

	record Upload(SimVm to, TransferEffect.Request request, long at) {
	}

}
