package org.wisteriapost.policy.dispatch;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.policy.pace.PaceStatement;

/**
 * Status of a model engine, as reported by the agent on its VM.
 *
 * @param weightsVersion the weights version that the engine holds; empty if it holds none
 * @param switching whether the engine rejects requests because it is switching weights
 * @param switchStartNanos when the engine stops accepting requests for a planned weights
 * switch
 * @param incarnation the incarnation of the engine that the report refers to
 * @param pace the statement of the engine that it is slower than declared
 */
public record EngineStatus(OptionalInt weightsVersion, boolean switching, OptionalLong switchStartNanos,
		RunnerIncarnation incarnation, Optional<PaceStatement> pace) {

	/**
	 * Creates the status of an engine that is as fast as declared.
	 */
	public EngineStatus(OptionalInt weightsVersion, boolean switching, OptionalLong switchStartNanos,
			RunnerIncarnation incarnation) {
		this(weightsVersion, switching, switchStartNanos, incarnation, Optional.empty());
	}

	/**
	 * Returns this status with another statement.
	 */
	public EngineStatus withPace(Optional<PaceStatement> stated) {
		return new EngineStatus(this.weightsVersion, this.switching, this.switchStartNanos, this.incarnation, stated);
	}

}
