package org.wisteriapost.protocol.site;

import org.wisteriapost.policy.fleet.EntryInfo;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.policy.fleet.TargetWeights;
import org.wisteriapost.policy.routing.RouteTable;

/**
 * One object of the site's store, decoded.
 */
public sealed interface Declared {

	/**
	 * The newest declaration of traffic.
	 *
	 * @param table decoded whole
	 */
	record Routes(RouteTable table) implements Declared {
	}

	/**
	 * A runner that has registered itself.
	 *
	 * @param info as it says
	 */
	record Runner(RunnerInfo info) implements Declared {
	}

	/**
	 * Weights that runners are to serve.
	 *
	 * @param named model and version
	 */
	record Weights(TargetWeights named) implements Declared {
	}

	/**
	 * An entry that has registered itself.
	 *
	 * @param info as it says
	 */
	record Entry(EntryInfo info) implements Declared {
	}

}
