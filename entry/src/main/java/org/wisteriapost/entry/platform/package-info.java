/**
 * Readers of the platform and of the VM list.
 */
package org.wisteriapost.entry.platform;
