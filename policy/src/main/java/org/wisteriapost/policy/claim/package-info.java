/**
 * Calls that may run at most once: their keys are claimed in the platform before they are
 * sent, in pages that many keys share.
 */
package org.wisteriapost.policy.claim;
