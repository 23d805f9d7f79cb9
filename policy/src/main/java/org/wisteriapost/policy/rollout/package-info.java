/**
 * Decides how the agent beside one engine brings it to the named weights. No input,
 * output, threads or clock.
 */
package org.wisteriapost.policy.rollout;
