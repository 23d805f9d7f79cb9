package org.wisteriapost.policy.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.wisteriapost.policy.fleet.RunnerInfo;

/**
 * Registered runners, according to the site's store and the agents on their VMs.
 *
 * During a store outage many registrations expire at the same time and are renewed
 * afterwards, so a missing registration says nothing about its runner. A runner that
 * disappears around an outage is kept until {@link #REGISTRATION_GRACE_NANOS} after the
 * store is reachable again. Otherwise a removed registration means that the runner is
 * shutting down, possibly without draining first, and it gets no new requests.
 *
 * A store that was restored from a copy lacks registrations that were written since, and
 * lists others that were removed since. The former count as missing around an outage. The
 * latter stay removed until the runner writes again, or until the store would have
 * removed them for silence.
 */
final class RunnerRegistry {

	/**
	 * Time after an outage within which running runners have registered again.
	 */
	static final long REGISTRATION_GRACE_NANOS = Duration.ofMillis(2300).toNanos();

	// Longer than the time after which the store removes the registration of a silent
	// runner.
	private static final long REVIVED_HOLD_NANOS = Duration.ofSeconds(5).toNanos();

	// Expired registrations that are renewed are renewed within seconds. The limit
	// covers simultaneous expiry across a large site.
	private static final int MAX_REMOVED = 200;

	private final Map<String, RunnerState> runners = new HashMap<>();

	private final Map<String, List<RunnerState>> services = new HashMap<>();

	private final Map<String, List<RunnerState>> candidates = new HashMap<>();

	private final RunnerSubset subset;

	private final Map<String, EngineStatus> engineStatuses = new HashMap<>();

	// Runners with a removed registration, in order of removal.
	private final Map<String, RunnerState> removedRunners = new LinkedHashMap<>();

	private final Set<String> missingDuringOutage = new HashSet<>();

	// Removed registrations that a restored store lists again.
	private final Map<String, RunnerInfo> revived = new HashMap<>();

	private long storeRestoredNanos = Long.MIN_VALUE / 2;

	private long indexVersion;

	private boolean storeReachable = true;

	private boolean listed;

	private long storeRecoveredNanos = Long.MIN_VALUE / 2;

	RunnerRegistry(RunnerSubset subset) {
		this.subset = subset;
	}

	/**
	 * Updates whether the store is reachable.
	 */
	void updateStoreReachable(boolean reachable, long nowNanos) {
		if (reachable && !this.storeReachable) {
			this.storeRecoveredNanos = nowNanos;
		}
		this.storeReachable = reachable;
	}

	/**
	 * Replaces the set of registered runners.
	 */
	void replaceAll(Collection<RunnerInfo> infos, long nowNanos) {
		Set<String> ids = new HashSet<>();
		boolean restored = nowNanos - this.storeRestoredNanos < REVIVED_HOLD_NANOS;
		this.revived.clear();
		infos.forEach((info) -> {
			ids.add(info.id());
			if (restored && isRemoved(info)) {
				this.revived.put(info.id(), info);
			}
			else {
				update(info, nowNanos);
			}
		});
		this.listed = true;
		List<String> missing = this.runners.keySet().stream().filter((id) -> !ids.contains(id)).toList();
		missing.forEach((id) -> registrationRemoved(id, nowNanos));
	}

	private boolean isRemoved(RunnerInfo info) {
		return Optional.ofNullable(this.removedRunners.get(info.id()))
			.filter((state) -> !state.info.incarnation().precedes(info.incarnation()))
			.isPresent();
	}

	/**
	 * Records that the store was restored from a copy.
	 */
	void storeRestored(long nowNanos) {
		this.storeRestoredNanos = nowNanos;
		this.storeRecoveredNanos = nowNanos;
	}

	/**
	 * Adds or updates a registration and returns whether it contains anything new other
	 * than a renewal.
	 */
	boolean update(RunnerInfo info, long nowNanos) {
		this.missingDuringOutage.remove(info.id());
		this.revived.remove(info.id());
		RunnerState known = this.runners.get(info.id());
		if (known == null) {
			return addOrRestore(info, nowNanos);
		}
		if (known.info.incarnation().precedes(info.incarnation())) {
			addIncarnation(RunnerState.registeredAs(info), nowNanos);
			return true;
		}
		boolean outdated = info.incarnation().precedes(known.info.incarnation());
		if (outdated) {
			return false;
		}
		known.coldness.registered(info, nowNanos);
		if (info.equalsIgnoringRevision(known.info) && !known.removed) {
			known.info = info;
			return false;
		}
		known.registered(info);
		applyEngineStatus(known);
		rebuildIndex();
		return true;
	}

	/**
	 * Removes a runner whose registration no longer describes a usable runner.
	 */
	void removeUnusable(String id) {
		remove(id);
	}

	// The registration of a runner whose VM cannot reach the store expires and is
	// restored later. A registration of the same incarnation keeps its previous state;
	// otherwise every entry would immediately send requests to a runner that has just
	// been ejected.
	private boolean addOrRestore(RunnerInfo info, long nowNanos) {
		RunnerState previous = this.removedRunners.remove(info.id());
		if (previous == null || !previous.info.incarnation().equals(info.incarnation())) {
			addIncarnation(RunnerState.registeredAs(info), nowNanos);
			Optional.ofNullable(previous)
				.ifPresent((former) -> this.runners.get(info.id()).coldness.continueFrom(former.coldness));
			return true;
		}
		this.runners.put(info.id(), previous);
		previous.coldness.registered(info, nowNanos);
		previous.registered(info);
		applyEngineStatus(previous);
		rebuildIndex();
		return true;
	}

	// State of an earlier incarnation does not apply to a new one. A runner that is there
	// when the store is first read has not started during traffic.
	private void addIncarnation(RunnerState state, long nowNanos) {
		RunnerInfo info = state.info;
		RunnerState previous = this.runners.put(info.id(), state);
		if (previous != null) {
			previous.removed = true;
			state.coldness.continueFrom(previous.coldness);
		}
		if (this.listed) {
			state.coldness.started(nowNanos);
		}
		state.coldness.registered(info, nowNanos);
		applyEngineStatus(state);
		rebuildIndex();
	}

	private void applyEngineStatus(RunnerState state) {
		EngineStatus status = this.engineStatuses.get(state.info.address());
		if (status != null && !status.incarnation().precedes(state.info.incarnation())) {
			state.updateEngineStatus(status);
		}
	}

	void registrationRemoved(String id, long nowNanos) {
		this.revived.remove(id);
		if (inOutageGracePeriod(nowNanos)) {
			this.missingDuringOutage.add(id);
			return;
		}
		remove(id);
	}

	/**
	 * Removes runners that are still missing after the grace period that follows an
	 * outage, and uses those that a restored store still lists.
	 */
	void tick(long nowNanos) {
		if (!this.revived.isEmpty() && nowNanos - this.storeRestoredNanos >= REVIVED_HOLD_NANOS) {
			List.copyOf(this.revived.values()).forEach((info) -> update(info, nowNanos));
		}
		if (this.missingDuringOutage.isEmpty() || inOutageGracePeriod(nowNanos)) {
			return;
		}
		List.copyOf(this.missingDuringOutage).forEach(this::remove);
	}

	/**
	 * Updates the status of an engine, as reported by the agent on its VM.
	 * @param address the runner's address
	 */
	void updateEngineStatus(String address, EngineStatus status, long nowNanos) {
		EngineStatus previous = this.engineStatuses.get(address);
		if (previous != null && status.incarnation().precedes(previous.incarnation())) {
			return;
		}
		this.engineStatuses.put(address, status);
		List<RunnerState> atAddress = this.runners.values()
			.stream()
			.filter((state) -> state.info.address().equals(address))
			.toList();
		for (RunnerState state : atAddress) {
			if (state.info.incarnation().precedes(status.incarnation())) {
				addIncarnation(RunnerState.unregistered(state.info.withIncarnation(status.incarnation())), nowNanos);
			}
			else {
				applyEngineStatus(state);
			}
		}
	}

	Optional<RunnerState> find(String id) {
		return Optional.ofNullable(this.runners.get(id));
	}

	/**
	 * Returns the state of the incarnation of a runner that answered a request, also
	 * while its registration is removed; empty if a later one is known.
	 */
	Optional<RunnerState> find(RunnerInfo runner) {
		return Optional.ofNullable(this.runners.getOrDefault(runner.id(), this.removedRunners.get(runner.id())))
			.filter((state) -> !runner.incarnation().precedes(state.info.incarnation()));
	}

	List<RunnerState> forService(String service) {
		return this.services.getOrDefault(service, List.of());
	}

	/**
	 * Returns the runners of a service that this entry considers for a request.
	 */
	List<RunnerState> candidates(String service) {
		return this.candidates.getOrDefault(service, List.of());
	}

	/**
	 * Returns those of the given runners that this entry considers for a request.
	 */
	List<RunnerState> candidates(List<RunnerState> runners) {
		return this.subset.select(runners);
	}

	/**
	 * Returns a number that changes whenever the runners of a service may have changed.
	 */
	long indexVersion() {
		return this.indexVersion;
	}

	/**
	 * Returns the latest status of each engine in a failure domain, by runner address.
	 */
	Map<String, EngineStatus> engineStatuses(String failureDomain) {
		Map<String, EngineStatus> statuses = new HashMap<>();
		this.runners.values()
			.stream()
			.filter((state) -> state.info.failureDomain().equals(failureDomain))
			.forEach((state) -> {
				EngineStatus status = this.engineStatuses.get(state.info.address());
				if (status != null) {
					statuses.put(state.info.address(), status);
				}
			});
		return statuses;
	}

	/**
	 * Returns the registered runners and those whose registration was removed and may be
	 * restored.
	 */
	List<RunnerState> statesWithRemoved() {
		List<RunnerState> all = new ArrayList<>(this.runners.values());
		all.addAll(this.removedRunners.values());
		return all;
	}

	Collection<RunnerState> states() {
		return this.runners.values();
	}

	private boolean inOutageGracePeriod(long nowNanos) {
		return !this.storeReachable || nowNanos - this.storeRecoveredNanos < REGISTRATION_GRACE_NANOS;
	}

	private void remove(String id) {
		this.missingDuringOutage.remove(id);
		RunnerState state = this.runners.remove(id);
		if (state != null) {
			state.removed = true;
			this.removedRunners.put(id, state);
			if (this.removedRunners.size() > MAX_REMOVED) {
				this.removedRunners.remove(this.removedRunners.keySet().iterator().next());
			}
			rebuildIndex();
		}
	}

	// When engines crash and restart under new ids, their previous registrations remain
	// for about four seconds. Requests sent to a previous id are answered with status
	// 421 and consume the shared retry budget: 378 of 700 dispatches in three seconds
	// after all engines had crashed. An address has one runner of a service at
	// a time, so only the latest registration is used. A registration of another service
	// does not replace it, since it may be a mistake.
	private void rebuildIndex() {
		this.indexVersion++;
		Map<String, RunnerState> latest = new HashMap<>();
		this.runners.values()
			.forEach((state) -> latest.merge(state.info.service() + " " + state.info.address(), state,
					(one, other) -> (one.info.revision() < other.info.revision()) ? other : one));
		this.services.clear();
		latest.values()
			.forEach((state) -> this.services.computeIfAbsent(state.info.service(), (name) -> new ArrayList<>())
				.add(state));
		this.candidates.clear();
		this.services.forEach((service, all) -> this.candidates.put(service, this.subset.select(all)));
	}

}
