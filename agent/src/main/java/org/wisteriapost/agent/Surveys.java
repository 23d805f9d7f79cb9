package org.wisteriapost.agent;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.wisteriapost.agent.transfer.Transfer;
import org.wisteriapost.policy.agent.AgentEvent;
import org.wisteriapost.policy.agent.AgentIdentity;
import org.wisteriapost.protocol.outside.Platform;
import org.wisteriapost.protocol.outside.VmList;

/**
 * What the agent looks at by itself: the VM list, and the platform's mark that its VM is
 * to leave.
 */
final class Surveys {

	private static final String AGENT = "agent";

	// A waiting watch counts as one call: at 6,400 agents a minute's wait is about a
	// hundred calls a second. Entries and the VM list tell of the same mark sooner,
	// should
	// the watch be cut.
	private static final Duration WATCH = Duration.ofSeconds(60);

	private static final long RETRY_MIN_MILLIS = 1000;

	private static final long RETRY_MAX_MILLIS = 5000;

	private final AgentIdentity self;

	private final AgentLoop loop;

	private final Outside outside;

	private final Transfer transfer;

	private final ScheduledExecutorService timer;

	private volatile boolean closed;

	Surveys(AgentIdentity self, AgentLoop loop, Outside outside, Transfer transfer, ScheduledExecutorService timer) {
		this.self = self;
		this.loop = loop;
		this.outside = outside;
		this.transfer = transfer;
		this.timer = timer;
	}

	void start(Duration period) {
		listVms(period);
		listMarks();
	}

	void stop() {
		this.closed = true;
	}

	private void listVms(Duration period) {
		this.outside.vmList().read().whenComplete((vms, failure) -> {
			if (failure == null) {
				heard(vms);
			}
			later(period.toMillis(), () -> listVms(period));
		});
	}

	private void heard(List<VmList.Vm> vms) {
		List<VmList.Vm> agents = vms.stream().filter((vm) -> vm.role().equals(AGENT)).toList();
		List<VmList.Vm> live = agents.stream().filter((vm) -> !vm.leaving()).toList();
		this.transfer.peers(live);
		Stream<String> peers = live.stream()
			.filter((vm) -> vm.service().equals(this.self.service()) && vm.place().equals(this.self.failureDomain()))
			.map(VmList.Vm::vm);
		boolean leaving = agents.stream().anyMatch((vm) -> vm.vm().equals(this.self.vm()) && vm.leaving());
		this.loop.post(
				new AgentEvent.PeersRead(Stream.concat(peers, Stream.of(this.self.vm())).distinct().toList(), leaving));
	}

	private void listMarks() {
		this.outside.platform().list(markKey()).whenComplete((listing, failure) -> {
			if (failure != null) {
				retryMarks();
				return;
			}
			marks(listing);
		});
	}

	private void watchMarks(long revision) {
		this.outside.platform().watch(markKey(), revision, WATCH).whenComplete((listing, failure) -> {
			if (failure != null) {
				retryMarks();
				return;
			}
			marks(listing);
		});
	}

	private void marks(Platform.Listing listing) {
		if (listing.items().stream().anyMatch((item) -> item.key().equals(markKey()))) {
			this.loop.post(new AgentEvent.LeaveRequested());
			return;
		}
		later(0, () -> watchMarks(listing.revision()));
	}

	private void retryMarks() {
		later(ThreadLocalRandom.current().nextLong(RETRY_MIN_MILLIS, RETRY_MAX_MILLIS), this::listMarks);
	}

	private String markKey() {
		return "leaving/" + this.self.vm();
	}

	private void later(long millis, Runnable task) {
		if (!this.closed) {
			this.timer.schedule(task, millis, TimeUnit.MILLISECONDS);
		}
	}

}
