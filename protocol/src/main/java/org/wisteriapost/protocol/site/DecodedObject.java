package org.wisteriapost.protocol.site;

import org.wisteriapost.policy.fleet.EntryInfo;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.policy.fleet.TargetWeights;
import org.wisteriapost.policy.routing.RouteTable;

/**
 * A decoded object of the site's store.
 */
public sealed interface DecodedObject {

	/**
	 * The current declaration of routes.
	 *
	 * @param table the complete route table
	 */
	record Routes(RouteTable table) implements DecodedObject {
	}

	/**
	 * A runner that has registered itself.
	 *
	 * @param info as registered
	 */
	record Runner(RunnerInfo info) implements DecodedObject {
	}

	/**
	 * The target weights version of a model.
	 *
	 * @param target the model and its target version
	 */
	record Weights(TargetWeights target) implements DecodedObject {
	}

	/**
	 * An entry that has registered itself.
	 *
	 * @param info as registered
	 */
	record Entry(EntryInfo info) implements DecodedObject {
	}

	/**
	 * The evacuation of a failure domain.
	 *
	 * @param failureDomain the object's name
	 */
	record Evacuation(String failureDomain) implements DecodedObject {
	}

}
