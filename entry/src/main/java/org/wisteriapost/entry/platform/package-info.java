/**
 * What an entry reads from the platform and the VM list.
 */
package org.wisteriapost.entry.platform;
