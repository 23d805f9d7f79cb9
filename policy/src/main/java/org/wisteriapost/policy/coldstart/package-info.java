/**
 * Limits on requests to runners that have just started.
 */
package org.wisteriapost.policy.coldstart;
