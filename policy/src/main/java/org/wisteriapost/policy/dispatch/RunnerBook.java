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
 * Which runners there are, from the site's store and from their agents.
 *
 * A registration that lapses while the store is away says nothing of the runner: many
 * lapse at once and come back. So a runner that disappears around an outage is kept until
 * {@link #RETURN_NANOS} after the store answers again. In calm times a registration that
 * is removed is a runner that leaves, some without saying so before, and it gets nothing
 * new from that moment.
 */
final class RunnerBook {

	/**
	 * Runners that live are registered again about two seconds after the store is back.
	 */
	static final long RETURN_NANOS = Duration.ofMillis(2300).toNanos();

	// Registrations that lapse and come back do so within seconds; more than a hundred of
	// them in a row are those of a whole large site.
	private static final int MOST_DROPPED = 200;

	private final Map<String, RunnerState> runners = new HashMap<>();

	private final Map<String, List<RunnerState>> services = new HashMap<>();

	private final Map<String, List<RunnerState>> candidates = new HashMap<>();

	private final RunnerSubset subset;

	private final Map<String, EngineWord> words = new HashMap<>();

	// Runners whose registration is gone, the latest last.
	private final Map<String, RunnerState> dropped = new LinkedHashMap<>();

	private final Set<String> lapsed = new HashSet<>();

	private boolean storeReachable = true;

	private long storeBackNanos = Long.MIN_VALUE / 2;

	RunnerBook(RunnerSubset subset) {
		this.subset = subset;
	}

	/**
	 * Hears whether the store answers.
	 */
	void store(boolean reachable, long nowNanos) {
		if (reachable && !this.storeReachable) {
			this.storeBackNanos = nowNanos;
		}
		this.storeReachable = reachable;
	}

	/**
	 * Hears all registered runners.
	 */
	void all(Collection<RunnerInfo> infos, long nowNanos) {
		Set<String> ids = new HashSet<>();
		infos.forEach((info) -> {
			ids.add(info.id());
			put(info);
		});
		List<String> missing = this.runners.keySet().stream().filter((id) -> !ids.contains(id)).toList();
		missing.forEach((id) -> removed(id, nowNanos));
	}

	/**
	 * Takes a registration and returns whether it says anything new but that the runner
	 * lives.
	 */
	boolean put(RunnerInfo info) {
		this.lapsed.remove(info.id());
		RunnerState known = this.runners.get(info.id());
		if (known == null) {
			return appeared(info);
		}
		if (known.info.start().before(info.start())) {
			start(info);
			return true;
		}
		boolean stale = info.start().before(known.info.start());
		if (stale) {
			return false;
		}
		if (info.sameAs(known.info) && !known.gone) {
			known.info = info;
			return false;
		}
		known.registered(info);
		applyWord(known);
		index();
		return true;
	}

	/**
	 * Drops a runner whose registration no longer names one that can be used.
	 */
	void unusable(String id) {
		drop(id);
	}

	// Failure: the VM of a runner can't reach the store, so its registration lapses, and
	// comes back. Symptom: all that was known of it is forgotten, and every entry sends
	// there again at once. The same start is the same runner.
	private boolean appeared(RunnerInfo info) {
		RunnerState former = this.dropped.remove(info.id());
		if (former == null || !former.info.start().equals(info.start())) {
			start(info);
			return true;
		}
		this.runners.put(info.id(), former);
		former.registered(info);
		applyWord(former);
		index();
		return true;
	}

	// Nothing that was believed of a former start holds for this one.
	private void start(RunnerInfo info) {
		RunnerState state = new RunnerState(info);
		RunnerState former = this.runners.put(info.id(), state);
		if (former != null) {
			former.gone = true;
		}
		applyWord(state);
		index();
	}

	private void applyWord(RunnerState state) {
		EngineWord word = this.words.get(state.info.address());
		if (word != null && !word.start().before(state.info.start())) {
			state.told(word);
		}
	}

	void removed(String id, long nowNanos) {
		if (unsettled(nowNanos)) {
			this.lapsed.add(id);
			return;
		}
		drop(id);
	}

	/**
	 * Takes runners for gone that are still missing some time after an outage.
	 */
	void tick(long nowNanos) {
		if (this.lapsed.isEmpty() || unsettled(nowNanos)) {
			return;
		}
		List.copyOf(this.lapsed).forEach(this::drop);
	}

	/**
	 * Hears what the agent beside a runner says of it.
	 * @param address the runner's address
	 */
	void agentSays(String address, EngineWord word) {
		EngineWord former = this.words.get(address);
		if (former != null && word.start().before(former.start())) {
			return;
		}
		this.words.put(address, word);
		List<RunnerState> there = this.runners.values()
			.stream()
			.filter((state) -> state.info.address().equals(address))
			.toList();
		for (RunnerState state : there) {
			if (state.info.start().before(word.start())) {
				start(state.info.startedAgain(word.start()));
			}
			else {
				applyWord(state);
			}
		}
	}

	Optional<RunnerState> find(String id) {
		return Optional.ofNullable(this.runners.get(id));
	}

	List<RunnerState> of(String service) {
		return this.services.getOrDefault(service, List.of());
	}

	/**
	 * Returns the runners of a service that this entry looks at for a request.
	 */
	List<RunnerState> candidates(String service) {
		return this.candidates.getOrDefault(service, List.of());
	}

	/**
	 * Returns what the agents beside the runners of a place have said last, by address.
	 */
	Map<String, EngineWord> words(String place) {
		Map<String, EngineWord> there = new HashMap<>();
		this.runners.values().stream().filter((state) -> state.info.place().equals(place)).forEach((state) -> {
			EngineWord word = this.words.get(state.info.address());
			if (word != null) {
				there.put(state.info.address(), word);
			}
		});
		return there;
	}

	Collection<RunnerState> states() {
		return this.runners.values();
	}

	private boolean unsettled(long nowNanos) {
		return !this.storeReachable || nowNanos - this.storeBackNanos < RETURN_NANOS;
	}

	private void drop(String id) {
		this.lapsed.remove(id);
		RunnerState state = this.runners.remove(id);
		if (state != null) {
			state.gone = true;
			this.dropped.put(id, state);
			if (this.dropped.size() > MOST_DROPPED) {
				this.dropped.remove(this.dropped.keySet().iterator().next());
			}
			index();
		}
	}

	// Load: all engines crash and start again under new ids. Harm prevented: a former
	// registration lapses some four seconds later. Until then requests go to both, and
	// those for the former one are answered 421: 378 of 700 in three seconds, each a
	// retry of the budget that all share. An address has one runner of a service at a
	// time, the one that registered last. One of another service hides nobody: it may be
	// somebody's mistake.
	private void index() {
		Map<String, RunnerState> latest = new HashMap<>();
		this.runners.values()
			.forEach((state) -> latest.merge(state.info.service() + " " + state.info.address(), state,
					(one, other) -> (one.info.revision() < other.info.revision()) ? other : one));
		this.services.clear();
		latest.values()
			.forEach((state) -> this.services.computeIfAbsent(state.info.service(), (name) -> new ArrayList<>())
				.add(state));
		this.candidates.clear();
		this.services.forEach((service, all) -> this.candidates.put(service, this.subset.of(all)));
	}

}
