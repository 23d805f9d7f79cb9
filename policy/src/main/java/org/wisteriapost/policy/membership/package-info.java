/**
 * The VMs of the VM list: which ones are leaving, which entries are advertised to
 * callers, and which links an entry opens.
 */
package org.wisteriapost.policy.membership;
