/**
 * Detection of poison requests, which crash each runner that runs them, and their
 * quarantine.
 */
package org.wisteriapost.policy.quarantine;
