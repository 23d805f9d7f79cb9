package org.wisteriapost.entry.direct;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

import org.wisteriapost.policy.dispatch.InFlightLoad;
import org.wisteriapost.policy.dispatch.RefusedRequest;
import org.wisteriapost.policy.dispatch.RunnerLoad;
import org.wisteriapost.policy.fleet.EntryInfo;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.LoadReport;

/**
 * Tells the other entries what this one has in flight at each runner. Used by the state
 * thread alone.
 *
 * Load: dozens of entries, each of which tells all others. Harm prevented: the messages
 * grow with the square of the entries, and links between places carry nothing else.
 * Entries of one place use the same near runners, so they hear of each other twice as
 * often as those of other places; and the more there are of either, the less often each
 * of them is told, which bounds an entry to some {@value #PEERS_AT_ONCE} messages in a
 * {@value #NEAR_TICKS} ticks. The share of each entry in a runner sinks alike, so what is
 * not heard of one of them weighs less.
 */
final class LoadReports {

	static final int NEAR_TICKS = 5;

	static final int FAR_TICKS = 10;

	static final int PEERS_AT_ONCE = 6;

	// All that is in flight is said again this often; what others hold is forgotten
	// when it was not said for two and a half seconds.
	private static final long FULL_TICKS = 50;

	// In one report. More are refused only by an entry that can place nothing, and what
	// is left out counts as a first attempt.
	private static final int MOST_REFUSED = 200;

	private final String place;

	private final BiConsumer<String, Frame> sender;

	private final Group near = new Group(NEAR_TICKS);

	private final Group far = new Group(FAR_TICKS);

	/**
	 * Returns reports of one entry.
	 * @param sender sends a frame to an entry by name
	 */
	LoadReports(String place, BiConsumer<String, Frame> sender) {
		this.place = place;
		this.sender = sender;
	}

	/**
	 * Sends what is due.
	 * @param ticks counts the ticks of the entry, 20 ms each; most of them bring no
	 * report
	 * @param now what a refusal's times are told against
	 * @param registered the other entries that hear it from this one
	 * @param load what this entry has at each runner
	 */
	void tick(long ticks, long now, Supplier<List<EntryInfo>> registered, Supplier<List<RunnerLoad>> load) {
		if (!this.near.due(ticks) && !this.far.due(ticks)) {
			return;
		}
		List<EntryInfo> others = registered.get();
		List<RunnerLoad> loads = load.get();
		List<String> close = others.stream().filter(this::isNear).map(EntryInfo::name).toList();
		List<String> away = others.stream().filter((info) -> !isNear(info)).map(EntryInfo::name).toList();
		this.near.tick(ticks, now, close, loads);
		this.far.tick(ticks, now, away, loads);
	}

	/**
	 * Tells of a refused request with the next report: its caller comes back to any
	 * entry, a second and more later.
	 */
	void refused(RefusedRequest request) {
		this.near.refused(request);
		this.far.refused(request);
	}

	/**
	 * Says all again with the next report, since an entry has linked that has heard none.
	 */
	void again() {
		this.near.said.clear();
		this.far.said.clear();
	}

	private boolean isNear(EntryInfo info) {
		return info.failureDomain().equals(this.place);
	}

	/**
	 * What others were told of.
	 *
	 * @param runner its id
	 * @param start which start of it
	 */
	private record Told(String runner, RunnerIncarnation start) {
	}

	/** Entries that are told equally often. */
	private final class Group {

		private final int leastTicks;

		private final Map<Told, InFlightLoad> said = new HashMap<>();

		private final List<RefusedRequest> refused = new ArrayList<>();

		private long nextTicks;

		private long fullTicks;

		private Group(int leastTicks) {
			this.leastTicks = leastTicks;
		}

		private boolean due(long ticks) {
			return ticks >= this.nextTicks;
		}

		private void refused(RefusedRequest request) {
			if (this.refused.size() < MOST_REFUSED) {
				this.refused.add(request);
			}
		}

		private void tick(long ticks, long now, List<String> names, List<RunnerLoad> loads) {
			if (!due(ticks)) {
				return;
			}
			int turns = Math.max(1, (names.size() + PEERS_AT_ONCE - 1) / PEERS_AT_ONCE);
			this.nextTicks = ticks + (long) turns * this.leastTicks;
			if (names.isEmpty()) {
				this.refused.clear();
				return;
			}
			boolean full = ticks >= this.fullTicks;
			this.fullTicks = full ? ticks + FULL_TICKS : this.fullTicks;
			LoadReport report = report(loads, full, now);
			if (report.getLoadsCount() > 0 || report.getRefusedCount() > 0) {
				Frame frame = Frame.newBuilder().setLoadReport(report).build();
				names.forEach((name) -> LoadReports.this.sender.accept(name, frame));
			}
		}

		private LoadReport report(List<RunnerLoad> loads, boolean full, long now) {
			LoadReport.Builder report = LoadReport.newBuilder();
			Set<Told> there = new HashSet<>();
			for (RunnerLoad one : loads) {
				Told told = new Told(one.runnerId(), one.incarnation());
				there.add(told);
				boolean changed = !one.load().equals(this.said.getOrDefault(told, InFlightLoad.NONE));
				if (changed || (full && one.load().requests() > 0)) {
					this.said.put(told, one.load());
					report.addLoads(LoadFrames.of(one));
				}
			}
			this.said.keySet().retainAll(there);
			this.refused.forEach((one) -> report.addRefused(LoadFrames.of(one, now)));
			this.refused.clear();
			return report.build();
		}

	}

}
