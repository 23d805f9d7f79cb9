package org.wisteriapost.policy.coldstart;

import java.util.Map;

/**
 * The entries that the site's store lists, as one of them knows them.
 *
 * @param self the name of this entry
 * @param failureDomains the failure domain of each registered entry, by name; without
 * this entry while it is not registered
 */
public record RegisteredEntries(String self, Map<String, String> failureDomains) {

	public RegisteredEntries {
		failureDomains = Map.copyOf(failureDomains);
	}

}
