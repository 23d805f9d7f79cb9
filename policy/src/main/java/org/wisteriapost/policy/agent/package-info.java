/**
 * What an agent does with each thing it learns: take its epoch, follow the head, accept a
 * bundle, switch its engine in stages, gate calls, drain. One pure state machine,
 * {@link org.wisteriapost.policy.agent.AgentMachine}, made of one decision a file.
 */
package org.wisteriapost.policy.agent;
