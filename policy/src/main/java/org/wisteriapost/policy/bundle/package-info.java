/**
 * The format of bundles, their approvals, and the rules by which the head moves.
 */
package org.wisteriapost.policy.bundle;
