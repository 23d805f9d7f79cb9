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
 * Polls the VM list and watches the platform for the mark that this VM is leaving.
 */
final class MembershipWatcher {

	private static final String AGENT_ROLE = "agent";

	// Limits the load on the platform: 6,400 agents that renew their watch each minute
	// send about a hundred requests a second. If a watch is interrupted, entries and the
	// VM list report the mark too.
	private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(60);

	private static final long MIN_RETRY_MILLIS = 1000;

	private static final long MAX_RETRY_MILLIS = 5000;

	private final AgentIdentity identity;

	private final AgentLoop loop;

	private final ExternalSystems externalSystems;

	private final Transfer transfer;

	private final ScheduledExecutorService timer;

	private volatile boolean closed;

	MembershipWatcher(AgentIdentity identity, AgentLoop loop, ExternalSystems externalSystems, Transfer transfer,
			ScheduledExecutorService timer) {
		this.identity = identity;
		this.loop = loop;
		this.externalSystems = externalSystems;
		this.transfer = transfer;
		this.timer = timer;
	}

	void start(Duration vmListInterval) {
		readVmList(vmListInterval);
		listLeavingMark();
	}

	void stop() {
		this.closed = true;
	}

	private void readVmList(Duration interval) {
		this.externalSystems.vmList().read().whenComplete((vms, failure) -> {
			if (failure == null) {
				vmListRead(vms);
			}
			schedule(interval.toMillis(), () -> readVmList(interval));
		});
	}

	private void vmListRead(List<VmList.Vm> vms) {
		List<VmList.Vm> agents = vms.stream().filter((vm) -> vm.role().equals(AGENT_ROLE)).toList();
		List<VmList.Vm> live = agents.stream().filter((vm) -> !vm.leaving()).toList();
		this.transfer.setPeers(live);
		Stream<String> peers = live.stream()
			.filter((vm) -> vm.service().equals(this.identity.service())
					&& vm.place().equals(this.identity.failureDomain()))
			.map(VmList.Vm::vm);
		boolean leaving = agents.stream().anyMatch((vm) -> vm.vm().equals(this.identity.vm()) && vm.leaving());
		this.loop.post(new AgentEvent.PeersRead(Stream.concat(peers, Stream.of(this.identity.vm())).distinct().toList(),
				leaving));
	}

	private void listLeavingMark() {
		this.externalSystems.platform().list(leavingMarkKey()).whenComplete((listing, failure) -> {
			if (failure != null) {
				retryLeavingMark();
				return;
			}
			leavingMarkRead(listing);
		});
	}

	private void watchLeavingMark(long revision) {
		this.externalSystems.platform()
			.watch(leavingMarkKey(), revision, WATCH_TIMEOUT)
			.whenComplete((listing, failure) -> {
				if (failure != null) {
					retryLeavingMark();
					return;
				}
				leavingMarkRead(listing);
			});
	}

	private void leavingMarkRead(Platform.Listing listing) {
		if (listing.items().stream().anyMatch((item) -> item.key().equals(leavingMarkKey()))) {
			this.loop.post(new AgentEvent.LeaveRequested());
			return;
		}
		schedule(0, () -> watchLeavingMark(listing.revision()));
	}

	private void retryLeavingMark() {
		schedule(ThreadLocalRandom.current().nextLong(MIN_RETRY_MILLIS, MAX_RETRY_MILLIS), this::listLeavingMark);
	}

	private String leavingMarkKey() {
		return "leaving/" + this.identity.vm();
	}

	private void schedule(long millis, Runnable task) {
		if (!this.closed) {
			this.timer.schedule(task, millis, TimeUnit.MILLISECONDS);
		}
	}

}
