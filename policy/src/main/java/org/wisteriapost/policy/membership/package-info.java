/**
 * Which VMs are live, which are leaving, and which addresses callers are told.
 */
package org.wisteriapost.policy.membership;
