package org.wisteriapost.policy.coldstart;

import java.util.List;
import java.util.Map;

import org.wisteriapost.policy.fleet.RendezvousHashing;

/**
 * Divides the permits for one runner among entries, so that all entries that know the
 * same names agree on the division without messages.
 *
 * The parts of all entries add up to the total. An entry that counts more entries than
 * others do takes the same or less, so a wrong name in its view is safe.
 */
final class PermitAllocation {

	// Callers are directed to entries in their own failure domain, which prefer the
	// runners there.
	private static final double HOME_SHARE = 0.75;

	private PermitAllocation() {
	}

	/**
	 * Returns the permits of one entry. When there are fewer permits than entries, those
	 * ranked first by rendezvous hashing get one each.
	 * @param entries failure domains by name, including that of the entry itself
	 * @param total the permits of all entries together
	 */
	static int permits(String self, Map<String, String> entries, String runnerId, String runnerFailureDomain,
			int total) {
		boolean home = entries.get(self).equals(runnerFailureDomain);
		List<String> group = entries.keySet()
			.stream()
			.filter((name) -> entries.get(name).equals(runnerFailureDomain) == home)
			.toList();
		int part = part(total, home, group.size() == entries.size());
		int remainder = part % group.size();
		return part / group.size() + (RendezvousHashing.isAmongFirst(self, group, runnerId, remainder) ? 1 : 0);
	}

	private static int part(int total, boolean home, boolean onlyGroup) {
		if (onlyGroup) {
			return total;
		}
		int homePart = (int) Math.ceil(total * HOME_SHARE);
		return home ? homePart : total - homePart;
	}

}
