package org.wisteriapost.entry.platform;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.wisteriapost.policy.membership.Member;
import org.wisteriapost.protocol.outside.VmList;

/**
 * Reads the VM list every second. The list lags by itself; a second more still leaves two
 * of the three in which a leaving VM may get new work.
 */
public final class VmPoll implements AutoCloseable {

	private static final Logger LOG = System.getLogger(VmPoll.class.getName());

	private static final long PERIOD_MILLIS = 1000;

	private static final String ENTRY = "entry";

	private final VmList list;

	private final ScheduledExecutorService timer;

	private final Consumer<List<Member>> listener;

	private volatile boolean closed;

	private VmPoll(VmList list, ScheduledExecutorService timer, Consumer<List<Member>> listener) {
		this.list = list;
		this.timer = timer;
		this.listener = listener;
	}

	/**
	 * Returns a running poll.
	 */
	public static VmPoll start(VmList list, ScheduledExecutorService timer, Consumer<List<Member>> listener) {
		VmPoll poll = new VmPoll(list, timer, listener);
		poll.read();
		return poll;
	}

	@Override
	public void close() {
		this.closed = true;
	}

	private void read() {
		if (this.closed) {
			return;
		}
		// The last reading stays in force while the list cannot be read: forgetting it
		// would cut off runners that are well.
		this.list.read().whenComplete((vms, failure) -> {
			if (failure != null) {
				LOG.log(Level.WARNING, "vm-list-unreadable: " + failure.getMessage());
			}
			else {
				this.listener.accept(vms.stream().map(VmPoll::member).toList());
			}
			if (!this.closed) {
				this.timer.schedule(this::read, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
			}
		});
	}

	private static Member member(VmList.Vm vm) {
		return new Member(vm.vm(), vm.place(), ENTRY.equals(vm.role()), vm.service(), vm.host(), vm.linkPort(),
				vm.httpPort(), vm.leaving());
	}

}
