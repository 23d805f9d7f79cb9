/**
 * Decides how the agent of one engine brings it to the target weights version. Performs
 * no I/O and uses neither threads nor a clock.
 */
package org.wisteriapost.policy.rollout;
