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
 * Reads the VM list every second. The list itself lags; the period adds at most one of
 * the three seconds within which a leaving VM must stop receiving work.
 */
public final class VmListPoller implements AutoCloseable {

	private static final Logger LOG = System.getLogger(VmListPoller.class.getName());

	private static final long PERIOD_MILLIS = 1000;

	private static final String ENTRY_ROLE = "entry";

	private final VmList list;

	private final ScheduledExecutorService timer;

	private final Consumer<List<Member>> listener;

	private volatile boolean closed;

	private VmListPoller(VmList list, ScheduledExecutorService timer, Consumer<List<Member>> listener) {
		this.list = list;
		this.timer = timer;
		this.listener = listener;
	}

	/**
	 * Returns a running poller.
	 */
	public static VmListPoller start(VmList list, ScheduledExecutorService timer, Consumer<List<Member>> listener) {
		VmListPoller poller = new VmListPoller(list, timer, listener);
		poller.read();
		return poller;
	}

	@Override
	public void close() {
		this.closed = true;
	}

	private void read() {
		if (this.closed) {
			return;
		}
		// The last list stays active while it cannot be read; dropping it would
		// disconnect healthy runners.
		this.list.read().whenComplete((vms, failure) -> {
			if (failure != null) {
				LOG.log(Level.WARNING, "vm-list-unreadable: " + failure.getMessage());
			}
			else {
				this.listener.accept(vms.stream().map(VmListPoller::member).toList());
			}
			if (!this.closed) {
				this.timer.schedule(this::read, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
			}
		});
	}

	private static Member member(VmList.Vm vm) {
		return new Member(vm.vm(), vm.place(), ENTRY_ROLE.equals(vm.role()), vm.service(), vm.host(), vm.linkPort(),
				vm.httpPort(), vm.leaving());
	}

}
