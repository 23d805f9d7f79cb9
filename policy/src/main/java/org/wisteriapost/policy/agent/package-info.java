/**
 * Decision logic of an agent: acquiring its epoch, following the head, verifying bundles,
 * switching the engine's weights in stages, admission control and draining. All of it is
 * deterministic and does no I/O; {@link org.wisteriapost.policy.agent.AgentMachine}
 * combines the parts.
 */
package org.wisteriapost.policy.agent;
