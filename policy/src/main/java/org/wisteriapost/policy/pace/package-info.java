/**
 * What engines report of being slower than declared, when agents tell entries of it, and
 * for how long entries count on it.
 */
package org.wisteriapost.policy.pace;
