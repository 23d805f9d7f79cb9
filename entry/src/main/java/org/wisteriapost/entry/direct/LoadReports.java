package org.wisteriapost.entry.direct;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

import org.wisteriapost.policy.dispatch.PeerLoad;
import org.wisteriapost.policy.fleet.EntryInfo;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.LoadReport;
import org.wisteriapost.protocol.wire.RunnerLoad;

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
	 * @param registered the other entries
	 * @param load what this entry has at each runner
	 */
	void tick(long ticks, Supplier<List<EntryInfo>> registered, Supplier<Map<String, PeerLoad>> load) {
		if (!this.near.due(ticks) && !this.far.due(ticks)) {
			return;
		}
		List<EntryInfo> others = registered.get();
		Map<String, PeerLoad> loads = load.get();
		List<String> close = others.stream().filter(this::isNear).map(EntryInfo::name).toList();
		List<String> away = others.stream().filter((info) -> !isNear(info)).map(EntryInfo::name).toList();
		this.near.tick(ticks, close, loads);
		this.far.tick(ticks, away, loads);
	}

	/**
	 * Says all again with the next report, since an entry has linked that has heard none.
	 */
	void again() {
		this.near.said.clear();
		this.far.said.clear();
	}

	private boolean isNear(EntryInfo info) {
		return info.place().equals(this.place);
	}

	/** Entries that are told equally often. */
	private final class Group {

		private final int leastTicks;

		private final Map<String, PeerLoad> said = new HashMap<>();

		private long nextTicks;

		private long fullTicks;

		private Group(int leastTicks) {
			this.leastTicks = leastTicks;
		}

		private boolean due(long ticks) {
			return ticks >= this.nextTicks;
		}

		private void tick(long ticks, List<String> names, Map<String, PeerLoad> loads) {
			if (!due(ticks)) {
				return;
			}
			int turns = Math.max(1, (names.size() + PEERS_AT_ONCE - 1) / PEERS_AT_ONCE);
			this.nextTicks = ticks + (long) turns * this.leastTicks;
			if (names.isEmpty()) {
				return;
			}
			boolean full = ticks >= this.fullTicks;
			this.fullTicks = full ? ticks + FULL_TICKS : this.fullTicks;
			LoadReport report = report(loads, full);
			if (report.getLoadsCount() > 0) {
				Frame frame = Frame.newBuilder().setLoadReport(report).build();
				names.forEach((name) -> LoadReports.this.sender.accept(name, frame));
			}
		}

		private LoadReport report(Map<String, PeerLoad> loads, boolean full) {
			LoadReport.Builder report = LoadReport.newBuilder();
			loads.forEach((runner, load) -> {
				boolean changed = !load.equals(this.said.getOrDefault(runner, PeerLoad.NONE));
				if (changed || (full && load.active() > 0)) {
					this.said.put(runner, load);
					report.addLoads(RunnerLoad.newBuilder()
						.setRunner(runner)
						.setActive(load.active())
						.setWaiting(Math.max(0, load.waiting()))
						.setWaitingPrompt((int) Math.max(0, load.waitingPrompt())));
				}
			});
			this.said.keySet().retainAll(loads.keySet());
			return report.build();
		}

	}

}
